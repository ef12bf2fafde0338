//! Connections to servers, and one exchange on one connection.

use crate::limits::Limits;
use crate::message::{text, Held, BODY_MAX};
use crate::socket::{pending, Pending, Socket, Watcher};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_balancer::api::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tokio_util::sync::CancellationToken;

/// Largest head of an answer, and the most that the library buffers each way.
const BUFFER_MAX: usize = 32 << 10;
/// Most headers in an answer.
const HEADERS_MAX: usize = 256;
/// An answer that stops half-way for so long will not be whole. Servers write one
/// in one go, so this catches lengths that are too long, heads that don't end and
/// servers cut off while they write; it would harm one that writes bit by bit.
const ANSWER_STALL: Duration = Duration::from_millis(400);
/// Part of the servers' idle limit after which a connection is closed from this
/// side, so that a request does not cross the server's close.
const IDLE_SHARE: f64 = 0.8;
/// Longest body of a load report, or of an answer that is not 200.
const SMALL_MAX: usize = 4 << 10;
/// Header that marks an answer which the server never ran the request for.
const TURNED_AWAY: &str = "x-turned-away";
/// Header that carries a load report.
const LOAD_REPORT: &str = "x-pressure";

/// Follows one exchange: what the kernel took of the request, when bytes came back.
#[derive(Debug, Default)]
struct Meter {
    body: Cell<u64>,
    /// How much of the head's closing blank line has passed.
    matched: Cell<usize>,
    body_taken: Cell<u64>,
    /// When part of an answer last came, while the rest is awaited.
    answering: Cell<Option<Instant>>,
}

impl Meter {
    fn expect(&self, body: u64) {
        self.body.set(body);
        self.matched.set(0);
        self.body_taken.set(0);
        self.answering.set(None);
    }

    /// Whether the last byte may have reached the server.
    fn whole(&self) -> bool {
        self.matched.get() == HEAD_END.len() && self.body_taken.get() >= self.body.get()
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl Watcher for Meter {
    fn read(&self, bytes: &[u8]) {
        // What ends in a blank line may be an answer ahead of the answer.
        let rest = !bytes.is_empty() && !bytes.ends_with(HEAD_END);
        self.answering.set(rest.then(Instant::now));
    }

    fn wrote(&self, bytes: &[u8]) {
        let mut matched = self.matched.get();
        let mut rest = bytes.iter();
        while matched < HEAD_END.len() {
            let Some(byte) = rest.next() else { break };
            matched = match *byte {
                b if b == HEAD_END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
        self.matched.set(matched);
        self.body_taken.set(self.body_taken.get() + rest.len() as u64);
    }
}

type Driven = Connection<TokioIo<Socket<Meter>>, Held>;

/// A server and where it listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct To {
    /// Its number.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
}

/// One connection. It is driven by whoever uses it, so that dropping it closes
/// the socket then and there: no copy of a request outlives its attempt.
struct Link {
    send: SendRequest<Held>,
    driven: Option<Pin<Box<Driven>>>,
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
    to: To,
    rested: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Link {
    /// Sends a request and waits for the head of its answer.
    async fn ask(&mut self, request: Request<Held>) -> Result<Response<Incoming>, Outcome> {
        self.meter.expect(request.body().size_hint().lower());
        let mut response = pin!(self.send.send_request(request));
        let (driven, meter) = (&mut self.driven, &self.meter);
        let answered = poll_fn(|cx| {
            drive(driven, cx);
            response.as_mut().poll(cx)
        });
        tokio::select! {
            biased;
            answered = answered => answered.map_err(|error| broken(meter, &error)),
            () = stalled(meter) => Err(Outcome::Error),
        }
    }

    /// Reads an answer's body; spoilt if it is longer than `most` or stops.
    async fn body(&mut self, mut body: Incoming, most: usize) -> Result<Bytes, Outcome> {
        if body.size_hint().lower() > most as u64 {
            return Err(Outcome::Error);
        }
        let mut read = BytesMut::new();
        let whole = async {
            loop {
                let frame = poll_fn(|cx| {
                    drive(&mut self.driven, cx);
                    Pin::new(&mut body).poll_frame(cx)
                });
                let Some(frame) = frame.await else { return Ok(()) };
                let frame = frame.map_err(|error| broken(&self.meter, &error))?;
                read.extend_from_slice(&frame.into_data().unwrap_or_default());
                if read.len() > most {
                    return Err(Outcome::Error);
                }
            }
        };
        timeout(ANSWER_STALL, whole).await.unwrap_or(Err(Outcome::Error))?;
        Ok(read.freeze())
    }

    /// Whether the connection can carry another request at once.
    fn settle(&mut self, cx: &mut Context<'_>) -> bool {
        drive(&mut self.driven, cx);
        self.driven.is_some()
            && self.meter.whole()
            && matches!(self.send.poll_ready(cx), Poll::Ready(Ok(())))
    }

    /// Danger: an idle connection may have been closed, or reset, unheard.
    fn alive(&self) -> bool {
        self.driven.is_some() && pending(&self.stream) == Pending::Nothing
    }
}

fn drive(connection: &mut Option<Pin<Box<Driven>>>, cx: &mut Context<'_>) {
    if let Some(driven) = connection {
        if driven.as_mut().poll(cx).is_ready() {
            *connection = None;
        }
    }
}

/// Waits until an answer that has begun stops coming.
async fn stalled(meter: &Meter) {
    loop {
        let due = meter.answering.get().map(|at| at + ANSWER_STALL);
        match due {
            Some(due) if due <= Instant::now() => return,
            _ => sleep_until(due.unwrap_or(Instant::now() + ANSWER_STALL)).await,
        }
    }
}

/// What came of one exchange.
pub struct Ended {
    /// How it ended.
    pub outcome: Outcome,
    /// The load report that came with the answer.
    pub report: Option<String>,
    /// The answer, if it was served.
    pub answer: Option<Answer>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, report: None, answer: None }
    }
}

/// A server's answer, whole.
pub struct Answer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// All connections to servers.
pub struct Upstream {
    /// Danger: kept by server, not by address, or one that takes over the address
    /// of another would be sent requests on connections to the dead one.
    idle: RefCell<HashMap<ServerId, VecDeque<Link>>>,
    budget: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_max: Duration,
}

impl Upstream {
    /// No connections yet.
    pub fn new(limits: &Limits, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        Upstream {
            idle: RefCell::default(),
            budget: limits.upstream.clone(),
            connect_timeout,
            idle_max: idle_timeout.mul_f64(IDLE_SHARE),
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes idle connections that have ended or stood for long.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|link| link.alive() && link.rested.elapsed() < self.idle_max);
            !links.is_empty()
        });
    }

    fn take_idle(&self, to: To) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&to.server)?;
        // The one used last: the others get to rest until they are closed.
        while let Some(link) = links.pop_back() {
            if link.to == to && link.alive() && link.rested.elapsed() < self.idle_max {
                return Some(link);
            }
        }
        None
    }

    /// A connection that can carry a request now.
    async fn link(&self, to: To) -> Result<Link, Outcome> {
        match self.take_idle(to) {
            Some(link) => Ok(link),
            None => self.connect(to).await,
        }
    }

    fn keep(&self, mut link: Link) {
        link.rested = Instant::now();
        self.idle.borrow_mut().entry(link.to.server).or_default().push_back(link);
    }

    /// Closes the idle connection that has rested longest.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|links| !links.is_empty());
        if let Some(links) = oldest.min_by_key(|links| links[0].rested) {
            links.pop_front();
        }
    }

    async fn connect(&self, to: To) -> Result<Link, Outcome> {
        if self.budget.available_permits() == 0 {
            self.close_oldest();
        }
        // Danger: out of descriptors of its own, this side must not blame the server.
        // Nor may it wait so long that what was decided of the server is out of date.
        let until = Instant::now() + self.connect_timeout;
        let permit = timeout_at(until, self.budget.clone().acquire_owned()).await;
        let Ok(Ok(permit)) = permit else { return Err(Outcome::Unused) };
        let up = async {
            let stream = TcpStream::connect(to.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (stream, meter) = (Rc::new(stream), Rc::new(Meter::default()));
            let socket = Socket::new(stream.clone(), meter.clone(), Bytes::new());
            let mut builder = Builder::new();
            builder.max_buf_size(BUFFER_MAX).max_headers(HEADERS_MAX);
            let (send, driven) = builder.handshake(TokioIo::new(socket)).await.ok()?;
            let driven = Some(Box::pin(driven));
            let rested = Instant::now();
            Some(Link { send, driven, stream, meter, to, rested, _permit: permit })
        };
        let up = timeout_at(until, up).await.ok().flatten();
        up.ok_or(Outcome::ConnectFailed)
    }

    /// Sends a request once, on one connection, and never again.
    pub async fn attempt(
        &self,
        to: To,
        request: Request<Held>,
        until: Instant,
        cancel: &CancellationToken,
    ) -> Ended {
        let meter = RefCell::new(None);
        let stopped = tokio::select! {
            biased;
            ended = self.exchange(to, request, &meter) => return ended,
            () = cancel.cancelled() => Outcome::Cancelled,
            () = sleep_until(until) => Outcome::TimedOut,
        };
        // The exchange is dropped and its connection closed. What was not written
        // whole by then cannot have run.
        let whole = meter.borrow().as_ref().is_some_and(|meter: &Rc<Meter>| meter.whole());
        Ended::from(if whole { stopped } else { Outcome::ConnectFailed })
    }

    async fn exchange(
        &self,
        to: To,
        request: Request<Held>,
        meter: &RefCell<Option<Rc<Meter>>>,
    ) -> Ended {
        let mut link = match self.link(to).await {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        };
        *meter.borrow_mut() = Some(link.meter.clone());
        match link.ask(request).await {
            Ok(response) => self.receive(link, response).await,
            Err(outcome) => outcome.into(),
        }
    }

    async fn receive(&self, mut link: Link, response: Response<Incoming>) -> Ended {
        let (head, body) = response.into_parts();
        let report = text(&head.headers, LOAD_REPORT).map(str::to_string);
        let away = text(&head.headers, TURNED_AWAY) == Some("1");
        if !framed(&head.headers) {
            return Ended { outcome: Outcome::Error, report, answer: None };
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
                let answer = Answer { headers: head.headers, body };
                let answer = (outcome == Outcome::Ok).then_some(answer);
                Ended { outcome, report, answer }
            }
            Err(spoilt) if outcome == Outcome::Ok => {
                Ended { outcome: spoilt, report, answer: None }
            }
            // The head has said what became of the request.
            Err(_) => Ended { outcome, report, answer: None },
        }
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    fn rest(&self, mut link: Link) {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        if link.settle(&mut cx) {
            self.keep(link);
        }
    }

    /// Asks a server for a page; its status and short body.
    pub async fn get(
        &self,
        to: To,
        request: Request<Held>,
    ) -> Result<(StatusCode, Bytes), Outcome> {
        let mut link = self.link(to).await?;
        let (head, body) = link.ask(request).await?.into_parts();
        let body = link.body(body, SMALL_MAX).await?;
        self.rest(link);
        Ok((head.status, body))
    }
}

/// Whether an answer's end can be told from a break: it has one length, or one
/// sure end. Danger: an answer that ends with its connection may be cut short, and
/// one with both framings may be read in two ways.
fn framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) != headers.contains_key(header::CONTENT_LENGTH)
}

/// The outcome when an exchange breaks off.
fn broken(meter: &Meter, error: &hyper::Error) -> Outcome {
    if !meter.whole() {
        Outcome::ConnectFailed
    } else if error.is_parse() {
        Outcome::Error
    } else {
        Outcome::Reset
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_meter_knows_the_last_byte() {
        let request = b"POST / HTTP/1.1\r\nA: b\r\r\n\r\nbo\r\n\r\ndy";
        let body = b"bo\r\n\r\ndy".len() as u64;
        for cut in 1..request.len() {
            let meter = Meter::default();
            meter.expect(body);
            meter.wrote(&request[..cut]);
            assert!(!meter.whole(), "{cut}");
            meter.wrote(&request[cut..]);
            assert!(meter.whole(), "{cut}");
        }
    }
}
