//! A cluster's connections: which one carries an attempt, and what its answer says.

use crate::budget::ResourceBudget;
use crate::cluster::pending_response::AttemptControl;
use crate::headers::{text, BODY_MAX, HEADERS_MAX};
use crate::tcp::{Socket, Stream};
use crate::upstream::connection::{
    broken, drive, ConnectionLimits, Count, Target, UpgradedPermits, UpstreamConnection,
    WriteProgress,
};
use crate::upstream::request_body::RequestBody;
use crate::upstream::response_stream::ResponseStream;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::Builder;
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_balancer::api::{Outcome, ServerId};
use mintshelf_websocket::handshake::{HandshakeRequest, NegotiatedTerms};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Largest head of an answer, and the most that the library buffers each way.
const BUFFER_MAX: usize = 32 << 10;
/// Part of the servers' idle limit after which a connection is closed from this
/// side, so that a request does not cross the server's close.
const IDLE_SHARE: f64 = 0.8;
/// How long the rest of a short answer is waited for before it is passed on as it comes.
const SHORT_WAIT: Duration = Duration::from_millis(100);
/// Longest body of a load report, or of an answer that is not 200.
const SMALL_MAX: usize = 4 << 10;
/// Header that marks an answer which the server never ran the request for.
const TURNED_AWAY: &str = "x-turned-away";
/// Header that carries a load report.
const LOAD_REPORT: &str = "x-pressure";

/// How long an attempt may take.
#[derive(Debug, Clone, Copy)]
pub struct AttemptDeadlines {
    /// It ends then.
    pub end: Instant,
    /// Nothing of it is sent from then on.
    pub send_by: Option<Instant>,
    /// Longest wait for its connection, where that is less than the cluster's.
    pub connect: Option<Duration>,
    /// A connection that has rested for longer does not carry it.
    pub idle: Option<Duration>,
}

/// What came of one exchange.
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The load report that came with the answer.
    pub report: Option<String>,
    /// The answer, if it was served.
    pub answer: Option<UpstreamResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, report: None, answer: None }
    }
}

/// A server's answer.
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: UpstreamBody,
}

/// The body of an answer.
pub enum UpstreamBody {
    /// All of it.
    Whole(Bytes),
    /// As it comes.
    Stream(Box<ResponseStream>),
    /// The connection itself, after a good 101.
    Socket(Box<UpgradedConnection>),
    /// A 101 that is none: nothing of it may go to a client.
    InvalidUpgrade,
}

/// A server's end of a socket. Dropping it closes that end.
pub struct UpgradedConnection {
    /// The connection.
    pub stream: Stream,
    /// Read already.
    pub rest: Bytes,
    /// What it agreed to.
    pub agreed: NegotiatedTerms,
    /// The server.
    pub to: Target,
    /// Counts while it lives.
    pub(crate) _held: UpgradedPermits,
    /// Called when it has ended.
    pub(crate) seat: Option<Box<dyn std::any::Any>>,
}

impl UpstreamBody {
    /// A body that came whole; empty for one that is still coming.
    pub fn whole(self) -> Bytes {
        match self {
            UpstreamBody::Whole(body) => body,
            _ => Bytes::new(),
        }
    }
}

/// How the answers of a cluster's servers are read.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamProtocol {
    /// As the platform's protocol has it: 200 or nothing, short and whole.
    Platform,
    /// Any HTTP/1.1 service.
    Plain {
        /// Statuses that count as a failure of the endpoint.
        failures: Vec<u16>,
        /// A header by which a server says that it never ran the request, with the value 1.
        never_ran: Option<HeaderName>,
        /// A body that stops for so long, either way, is given up.
        stall: Duration,
    },
}

/// All connections to servers, of all clusters: they share one budget.
pub struct ConnectionPool {
    /// Danger: kept by server, not by address, or one that takes over the address
    /// of another would be sent requests on connections to the dead one.
    idle: RefCell<HashMap<(u32, ServerId), VecDeque<UpstreamConnection>>>,
    budget: Arc<Semaphore>,
    last_pool: Cell<u32>,
}

impl ConnectionPool {
    /// No connections yet.
    pub fn new(limits: &ResourceBudget) -> Rc<Self> {
        let (idle, budget) = (RefCell::default(), limits.upstream.clone());
        Rc::new(ConnectionPool { idle, budget, last_pool: Cell::new(0) })
    }

    /// Closes the idle connection that has rested longest, of one cluster or of all.
    fn close_oldest_of(&self, pool: Option<u32>) {
        let mut idle = self.idle.borrow_mut();
        let mine = idle.iter_mut().filter(|((of, _), _)| pool.is_none_or(|pool| *of == pool));
        let oldest = mine.map(|(_, links)| links).filter(|links| !links.is_empty());
        if let Some(links) = oldest.min_by_key(|links| links[0].rested) {
            links.pop_front();
        }
    }
}

/// The connections to one cluster's servers.
pub struct Upstream {
    all: Rc<ConnectionPool>,
    pool: u32,
    connect_timeout: Duration,
    idle_max: Duration,
    style: UpstreamProtocol,
    count: Rc<Count>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.all.idle.borrow_mut().retain(|(pool, _), _| *pool != self.pool);
    }
}

impl Upstream {
    /// No connections yet, and at most so many.
    pub fn new(
        all: Rc<ConnectionPool>,
        connect_timeout: Duration,
        idle_timeout: Duration,
        style: UpstreamProtocol,
        most: ConnectionLimits,
    ) -> Rc<Self> {
        let pool = all.last_pool.get() + 1;
        all.last_pool.set(pool);
        let idle_max = idle_timeout.mul_f64(IDLE_SHARE);
        let count = Count::new(most);
        Rc::new(Upstream { all, pool, connect_timeout, idle_max, style, count })
    }

    /// The cluster's number among all.
    pub fn number(&self) -> u32 {
        self.pool
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.all.idle.borrow_mut().remove(&(self.pool, server));
    }

    /// Closes idle connections that have ended or stood for long.
    pub fn sweep(&self) {
        self.all.idle.borrow_mut().retain(|(pool, _), links| {
            if *pool == self.pool {
                links.retain(UpstreamConnection::alive);
            }
            !links.is_empty()
        });
    }

    fn take_idle(&self, to: Target, rested: Option<Duration>) -> Option<UpstreamConnection> {
        let mut idle = self.all.idle.borrow_mut();
        let links = idle.get_mut(&(self.pool, to.server))?;
        // The one used last: the others get to rest until they are closed.
        while let Some(link) = links.pop_back() {
            if link.to == to && link.alive() {
                if rested.is_none_or(|most| link.rested.elapsed() <= most) {
                    return Some(link);
                }
                // The others have rested for longer still; other classes may take them.
                links.push_back(link);
                return None;
            }
        }
        None
    }

    /// A connection that can carry a request now.
    async fn link(
        &self,
        to: Target,
        connect: Option<Duration>,
        rested: Option<Duration>,
    ) -> Result<UpstreamConnection, Outcome> {
        match self.take_idle(to, rested) {
            Some(link) => Ok(link),
            None => self.connect(to, connect, false).await,
        }
    }

    fn keep(&self, mut link: UpstreamConnection) {
        link.rested = Instant::now();
        self.all.idle.borrow_mut().entry(link.key).or_default().push_back(link);
    }

    async fn connect(
        &self,
        to: Target,
        wait: Option<Duration>,
        socket: bool,
    ) -> Result<UpstreamConnection, Outcome> {
        let wait = wait.map_or(self.connect_timeout, |wait| wait.min(self.connect_timeout));
        let is_full = |server| self.count.is_full(server, socket);
        if is_full(None) {
            self.all.close_oldest_of(Some(self.pool));
        }
        if is_full(None) || is_full(Some(to.server)) {
            // It has not been sent; another server may have room.
            return Err(Outcome::Unused);
        }
        let counted = self.count.one(to.server, socket);
        if self.all.budget.available_permits() == 0 {
            self.all.close_oldest_of(None);
        }
        // Danger: out of descriptors of its own, this side must not blame the server.
        // Nor may it wait so long that what was decided of the server is out of date.
        let until = Instant::now() + wait;
        let permit = timeout_at(until, self.all.budget.clone().acquire_owned()).await;
        let Ok(Ok(permit)) = permit else { return Err(Outcome::Unused) };
        let up = async {
            let stream = TcpStream::connect(to.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (stream, meter) =
                (Rc::new(RefCell::new(stream)), Rc::new(WriteProgress::default()));
            let socket = Socket::new(stream.clone(), meter.clone(), Bytes::new());
            let mut builder = Builder::new();
            builder.max_buf_size(BUFFER_MAX);
            if self.style == UpstreamProtocol::Platform {
                builder.max_headers(HEADERS_MAX);
            }
            let (send, driven) = builder.handshake(TokioIo::new(socket)).await.ok()?;
            let driven = Some(Box::pin(driven));
            let rested = Instant::now();
            let (key, idle_max) = ((self.pool, to.server), self.idle_max);
            let _counted = counted;
            let _permit = permit;
            Some(UpstreamConnection {
                send,
                driven,
                stream,
                meter,
                to,
                key,
                rested,
                idle_max,
                _permit,
                _counted,
            })
        };
        let up = timeout_at(until, up).await.ok().flatten();
        up.ok_or(Outcome::ConnectFailed)
    }

    /// Sends a request once, on one connection, and never again.
    pub async fn attempt(
        self: &Rc<Self>,
        to: Target,
        request: Request<RequestBody>,
        until: AttemptDeadlines,
        cancel: &AttemptControl,
    ) -> AttemptResult {
        let limits = until;
        let until = until.end;
        let meter = RefCell::new(None);
        let (upload, stall) = match (request.body(), &self.style) {
            (RequestBody::Streamed(upload), UpstreamProtocol::Plain { stall, .. }) => {
                (Some(upload.clone()), *stall)
            }
            _ => (None, Duration::ZERO),
        };
        let patience = until.saturating_duration_since(Instant::now());
        let overdue = async {
            match &upload {
                // The client's time for an answer begins when its body is over.
                Some(upload) => upload.overdue(stall, patience).await,
                None => sleep_until(until).await,
            }
        };
        let whole =
            || meter.borrow().as_ref().is_some_and(|meter: &Rc<WriteProgress>| meter.whole());
        // Danger: what is with a server only later may have been forgotten there.
        let lapsed = async {
            if let Some(by) = limits.send_by {
                sleep_until(by).await;
            }
            if limits.send_by.is_none() || whole() {
                std::future::pending::<()>().await;
            }
        };
        let stopped = tokio::select! {
            biased;
            ended = self.exchange(to, request, &meter, limits, cancel) => return ended,
            () = cancel.cancelled() => Outcome::Cancelled,
            () = overdue => Outcome::TimedOut,
            () = lapsed => Outcome::Unused,
        };
        // The exchange is dropped and its connection closed. What was not written
        // whole by then cannot have run.
        AttemptResult::from(match stopped {
            stopped if whole() || stopped == Outcome::Unused => stopped,
            _ => Outcome::ConnectFailed,
        })
    }

    async fn exchange(
        self: &Rc<Self>,
        to: Target,
        request: Request<RequestBody>,
        meter: &RefCell<Option<Rc<WriteProgress>>>,
        until: AttemptDeadlines,
        cancel: &AttemptControl,
    ) -> AttemptResult {
        let asked = request.extensions().get::<Arc<HandshakeRequest>>().cloned();
        let link = async {
            match &asked {
                // A socket takes its connection for good, and no idle one that may be closing.
                Some(_) => self.connect(to, until.connect, true).await,
                None => self.link(to, until.connect, until.idle).await,
            }
        };
        let link = tokio::select! {
            biased;
            () = cancel.left() => return Outcome::Unused.into(),
            link = link => link,
        };
        let mut link = match link {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        };
        cancel.connected();
        // Danger: the connection took so long that servers may have forgotten its key, or that
        // its client has gone.
        if until.send_by.is_some_and(|by| by <= Instant::now()) || cancel.is_left() {
            self.rest(link);
            return Outcome::Unused.into();
        }
        *meter.borrow_mut() = Some(link.meter.clone());
        // Danger: any server but the platform's may begin a request before its last byte.
        let plain = self.style != UpstreamProtocol::Platform;
        if let Some(asked) = asked {
            return match link.ask_upgrade(request).await {
                Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
                    self.receive_socket(link, response, &asked).await
                }
                Ok(response) => self.receive_plain(link, response).await,
                Err(outcome) => outcome.into(),
            };
        }
        match link.ask(request, plain).await {
            Ok(response) if plain => self.receive_plain(link, response).await,
            Ok(response) => self.receive(link, response).await,
            Err(outcome) => outcome.into(),
        }
    }

    async fn receive(
        &self,
        mut link: UpstreamConnection,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let report = text(&head.headers, LOAD_REPORT).map(str::to_string);
        let away = text(&head.headers, TURNED_AWAY) == Some("1");
        if !framed(&head.headers) {
            return AttemptResult { outcome: Outcome::Error, report, answer: None };
        }
        let outcome = match head.status.as_u16() {
            200 => Outcome::Ok,
            503 | 504 if away => Outcome::Full,
            400..=499 => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let most = if outcome == Outcome::Ok { BODY_MAX } else { SMALL_MAX };
        match link.body(body, most).await {
            Ok(body) => {
                self.rest(link);
                let body = UpstreamBody::Whole(body);
                let answer = UpstreamResponse { status: head.status, headers: head.headers, body };
                let answer = (outcome == Outcome::Ok).then_some(answer);
                AttemptResult { outcome, report, answer }
            }
            Err(spoilt) if outcome == Outcome::Ok => {
                AttemptResult { outcome: spoilt, report, answer: None }
            }
            // The head has said what became of the request.
            Err(_) => AttemptResult { outcome, report, answer: None },
        }
    }

    /// Takes a 101 for the socket that it begins, if it is one.
    async fn receive_socket(
        &self,
        link: UpstreamConnection,
        response: Response<Incoming>,
        asked: &HandshakeRequest,
    ) -> AttemptResult {
        let (head, _) = response.into_parts();
        let to = link.to;
        let body = match (asked.check(&head.headers), link.into_socket().await) {
            (Ok(agreed), Some((stream, rest, held))) => {
                let _held = held;
                let socket = UpgradedConnection { stream, rest, agreed, to, _held, seat: None };
                UpstreamBody::Socket(Box::new(socket))
            }
            _ => UpstreamBody::InvalidUpgrade,
        };
        let answer = UpstreamResponse { status: head.status, headers: head.headers, body };
        AttemptResult { outcome: Outcome::Ok, report: None, answer: Some(answer) }
    }

    /// Takes any answer: whole if it is short and there, else as it comes.
    async fn receive_plain(
        self: &Rc<Self>,
        mut link: UpstreamConnection,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let UpstreamProtocol::Plain { failures, never_ran, stall } = &self.style else {
            return Outcome::Error.into();
        };
        let (head, mut body) = response.into_parts();
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            // Danger: nobody asked for another protocol, and what comes now is in one.
            return Outcome::Error.into();
        }
        let framings = [header::TRANSFER_ENCODING, header::CONTENT_LENGTH];
        if framings.iter().all(|framing| head.headers.contains_key(framing)) {
            // Danger: two readers may take it for two answers.
            return Outcome::Error.into();
        }
        let never_ran = never_ran.as_ref().and_then(|name| head.headers.get(name));
        let outcome = match head.status.as_u16() {
            _ if never_ran.is_some_and(|value| value == "1") => Outcome::Full,
            status if failures.contains(&status) => Outcome::Error,
            400..=499 => Outcome::Rejected,
            _ => Outcome::Ok,
        };
        // What is short is read whole, so that a break can still be tried elsewhere.
        let short = body.size_hint().exact().is_some_and(|size| size <= BODY_MAX as u64);
        let until = Instant::now() + if short { SHORT_WAIT } else { Duration::ZERO };
        let (mut frames, mut size, mut over) = (VecDeque::new(), 0, body.is_end_stream());
        while !over && size <= BODY_MAX {
            let frame = poll_fn(|cx| {
                drive(&mut link.driven, cx);
                Pin::new(&mut body).poll_frame(cx)
            });
            match timeout_at(until, frame).await {
                Err(_) => break,
                Ok(None) => over = true,
                Ok(Some(Err(error))) => return broken(&link.meter, &error).into(),
                Ok(Some(Ok(frame))) => {
                    size += frame.data_ref().map_or(0, Bytes::len);
                    frames.push_back(frame);
                }
            }
        }
        let rest = match over {
            true => {
                self.rest(link);
                None
            }
            false => Some((link, body)),
        };
        let body = if rest.is_none() && frames.iter().all(Frame::is_data) {
            UpstreamBody::Whole(joined(frames))
        } else {
            let upstream = self.clone();
            let give_back = Box::new(move |link| upstream.rest(link));
            let stream = ResponseStream::new(frames, rest, *stall, outcome, give_back);
            UpstreamBody::Stream(Box::new(stream))
        };
        let answer = UpstreamResponse { status: head.status, headers: head.headers, body };
        AttemptResult { outcome, report: None, answer: Some(answer) }
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    pub(crate) fn rest(&self, mut link: UpstreamConnection) {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        if link.settle(&mut cx) {
            self.keep(link);
        }
    }

    /// Asks a server for a page; its status and short body.
    pub async fn get(
        &self,
        to: Target,
        request: Request<RequestBody>,
    ) -> Result<(StatusCode, Bytes), Outcome> {
        let mut link = self.link(to, None, None).await?;
        let (head, body) = link.ask(request, false).await?.into_parts();
        let body = link.body(body, SMALL_MAX).await?;
        self.rest(link);
        Ok((head.status, body))
    }
}

fn joined(mut frames: VecDeque<Frame<Bytes>>) -> Bytes {
    let mut data = frames.drain(..).filter_map(|frame| frame.into_data().ok());
    let Some(first) = data.next() else { return Bytes::new() };
    let Some(second) = data.next() else { return first };
    let mut all = BytesMut::from(first);
    all.extend_from_slice(&second);
    data.for_each(|part| all.extend_from_slice(&part));
    all.freeze()
}

/// Whether an answer's end can be told from a break: it has one length, or one
/// sure end. Danger: an answer that ends with its connection may be cut short, and
/// one with both framings may be read in two ways.
fn framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) != headers.contains_key(header::CONTENT_LENGTH)
}
