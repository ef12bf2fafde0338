//! Connections to servers, and one exchange on one connection.

use crate::net::limits::Limits;
use crate::net::message::Held;
use crate::net::socket::{pending, Pending, Socket, Watcher};
use bytes::{Bytes, BytesMut};
use eiderusher::api::Outcome;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout, Instant, Sleep};
use tokio_util::sync::CancellationToken;

/// Answers up to this size are held whole, so that a break can be tried again.
const HELD_MAX: usize = 64 << 10;
/// Largest head of an answer, and the most that the library buffers each way.
const BUFFER_MAX: usize = 64 << 10;
/// Most headers in an answer.
const HEADERS_MAX: usize = 256;
/// A server that is silent for so long in the middle of a long answer has left
/// it unfinished. Slow ones pause for seconds.
const STREAM_SILENCE: Duration = Duration::from_secs(10);
/// Part of the servers' idle limit after which a connection is closed from this
/// side, so that a request does not cross the server's close.
const IDLE_SHARE: f64 = 0.8;
/// How long the rest of an answer that is of no use may take to come before the
/// connection is given up with it.
const TAIL_WAIT: Duration = Duration::from_millis(20);
/// Longest body of a load report, or of an answer that is not 200.
const SMALL_MAX: usize = 4 << 10;
/// Header that marks an answer which the server never ran the request for.
const TURNED_AWAY: &str = "x-turned-away";
/// Header that carries a load report.
const LOAD_REPORT: &str = "x-pressure";

/// Counts what the kernel took of one request.
#[derive(Debug, Default)]
struct Meter {
    body: Cell<u64>,
    /// How much of the head's closing blank line has passed.
    matched: Cell<usize>,
    body_taken: Cell<u64>,
}

impl Meter {
    fn expect(&self, body: u64) {
        self.body.set(body);
        self.matched.set(0);
        self.body_taken.set(0);
    }

    /// Whether the last byte may have reached the server.
    fn whole(&self) -> bool {
        self.matched.get() == HEAD_END.len() && self.body_taken.get() >= self.body.get()
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl Watcher for Meter {
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

/// One connection. It is driven by whoever uses it, so that dropping it closes
/// the socket then and there: no copy of a request outlives its attempt.
struct Link {
    send: SendRequest<Held>,
    driven: Option<Pin<Box<Driven>>>,
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
    server: SocketAddr,
    rested: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Link {
    fn drive(&mut self, cx: &mut Context<'_>) {
        if let Some(driven) = &mut self.driven {
            if driven.as_mut().poll(cx).is_ready() {
                self.driven = None;
            }
        }
    }

    /// Waits for something that this connection's traffic brings about.
    async fn until<F: Future>(&mut self, mut what: Pin<&mut F>) -> F::Output {
        poll_fn(|cx| {
            self.drive(cx);
            what.as_mut().poll(cx)
        })
        .await
    }

    async fn frame(&mut self, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
        poll_fn(|cx| {
            self.drive(cx);
            Pin::new(&mut *body).poll_frame(cx)
        })
        .await
    }

    /// Whether the connection can carry another request at once.
    fn settle(&mut self, cx: &mut Context<'_>) -> bool {
        self.drive(cx);
        self.driven.is_some()
            && self.meter.whole()
            && matches!(self.send.poll_ready(cx), Poll::Ready(Ok(())))
    }

    /// Danger: an idle connection may have been closed, or reset, unheard.
    fn alive(&self) -> bool {
        self.driven.is_some() && pending(&self.stream) == Pending::Nothing
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

/// A server's answer.
pub struct Answer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: AnswerBody,
}

/// The body of an answer, whole or still coming.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Too long to hold.
    Long(Long),
}

/// All connections to servers.
pub struct Upstream {
    idle: RefCell<HashMap<SocketAddr, VecDeque<Link>>>,
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
    pub fn close_idle(&self, server: SocketAddr) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes idle connections that have ended or stood for long.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|link| link.alive() && link.rested.elapsed() < self.idle_max);
            !links.is_empty()
        });
    }

    fn take_idle(&self, server: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&server)?;
        // The one used last: the others get to rest until they are closed.
        while let Some(link) = links.pop_back() {
            if link.alive() && link.rested.elapsed() < self.idle_max {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, mut link: Link) {
        link.rested = Instant::now();
        self.idle.borrow_mut().entry(link.server).or_default().push_back(link);
    }

    /// Closes the idle connection that has rested longest.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|links| !links.is_empty());
        if let Some(links) = oldest.min_by_key(|links| links[0].rested) {
            links.pop_front();
        }
    }

    async fn connect(&self, server: SocketAddr) -> Option<Link> {
        let up = async {
            if self.budget.available_permits() == 0 {
                self.close_oldest();
            }
            let permit = self.budget.clone().acquire_owned().await.ok()?;
            let stream = TcpStream::connect(server).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (stream, meter) = (Rc::new(stream), Rc::new(Meter::default()));
            let socket = Socket::new(stream.clone(), meter.clone(), Bytes::new());
            let mut builder = Builder::new();
            builder.max_buf_size(BUFFER_MAX).max_headers(HEADERS_MAX);
            let (send, driven) = builder.handshake(TokioIo::new(socket)).await.ok()?;
            let driven = Some(Box::pin(driven));
            let rested = Instant::now();
            Some(Link { send, driven, stream, meter, server, rested, _permit: permit })
        };
        timeout(self.connect_timeout, up).await.ok().flatten()
    }

    /// Sends a request once, on one connection, and never again.
    pub async fn attempt(
        self: &Rc<Self>,
        server: SocketAddr,
        request: Request<Held>,
        until: Instant,
        cancel: &CancellationToken,
    ) -> Ended {
        let meter = RefCell::new(None);
        let stopped = tokio::select! {
            biased;
            ended = self.exchange(server, request, &meter) => return ended,
            () = cancel.cancelled() => Outcome::Cancelled,
            () = sleep_until(until) => Outcome::TimedOut,
        };
        // The exchange is dropped and its connection closed. What was not written
        // whole by then cannot have run.
        let whole = meter.borrow().as_ref().is_some_and(|meter: &Rc<Meter>| meter.whole());
        Ended::from(if whole { stopped } else { Outcome::ConnectFailed })
    }

    async fn exchange(
        self: &Rc<Self>,
        server: SocketAddr,
        request: Request<Held>,
        meter: &RefCell<Option<Rc<Meter>>>,
    ) -> Ended {
        let link = match self.take_idle(server) {
            Some(link) => Some(link),
            None => self.connect(server).await,
        };
        let Some(mut link) = link else { return Outcome::ConnectFailed.into() };
        link.meter.expect(request.body().len());
        *meter.borrow_mut() = Some(link.meter.clone());
        let response = {
            let response = pin!(link.send.send_request(request));
            link.until(response).await
        };
        match response {
            Ok(response) => self.receive(link, response).await,
            Err(error) => broken(&link, &error).into(),
        }
    }

    async fn receive(self: &Rc<Self>, mut link: Link, response: Response<Incoming>) -> Ended {
        let (head, mut body) = response.into_parts();
        let report = crate::net::message::text(&head.headers, LOAD_REPORT).map(str::to_string);
        if head.status != StatusCode::OK {
            let away = matches!(head.status.as_u16(), 503 | 504)
                && crate::net::message::text(&head.headers, TURNED_AWAY) == Some("1");
            self.finish(link, body).await;
            let outcome = if away { Outcome::Full } else { Outcome::Error };
            return Ended { outcome, report, answer: None };
        }
        let known_long = body.size_hint().lower() > HELD_MAX as u64;
        let mut held = BytesMut::new();
        let body = loop {
            match link.frame(&mut body).await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if known_long || held.len() + data.len() > HELD_MAX {
                        let head = [held.freeze(), data].into_iter().filter(|b| !b.is_empty());
                        let head = head.collect();
                        break AnswerBody::Long(Long::new(self.clone(), link, head, body));
                    }
                    held.extend_from_slice(&data);
                }
                Some(Err(error)) => {
                    let outcome = broken(&link, &error);
                    return Ended { outcome, report, answer: None };
                }
                None => {
                    self.rest(link);
                    break AnswerBody::Whole(held.freeze());
                }
            }
        };
        let answer = Some(Answer { headers: head.headers, body });
        Ended { outcome: Outcome::Ok, report, answer }
    }

    /// Reads a short answer's rest if it comes at once, to keep the connection.
    async fn finish(&self, mut link: Link, mut body: Incoming) -> Option<Bytes> {
        let rest = async {
            let mut read = BytesMut::new();
            while let Some(frame) = link.frame(&mut body).await {
                read.extend_from_slice(&frame.ok()?.into_data().unwrap_or_default());
                if read.len() > SMALL_MAX {
                    return None;
                }
            }
            Some(read.freeze())
        };
        let read = timeout(TAIL_WAIT, rest).await.ok().flatten()?;
        self.rest(link);
        Some(read)
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    fn rest(&self, mut link: Link) {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        if link.settle(&mut cx) {
            self.keep(link);
        }
    }

    /// Asks a server for a page; its status and short body.
    pub async fn get(&self, server: SocketAddr, request: Request<Held>) -> Probe {
        let link = match self.take_idle(server) {
            Some(link) => Some(link),
            None => self.connect(server).await,
        };
        let Some(mut link) = link else { return Probe::Failed(Outcome::ConnectFailed) };
        link.meter.expect(0);
        let response = {
            let response = pin!(link.send.send_request(request));
            link.until(response).await
        };
        match response {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let body = self.finish(link, body).await.unwrap_or_default();
                Probe::Answered(head.status, body)
            }
            Err(error) => Probe::Failed(broken(&link, &error)),
        }
    }
}

/// What came of a probe.
pub enum Probe {
    /// An answer: its status and body.
    Answered(StatusCode, Bytes),
    /// None.
    Failed(Outcome),
}

/// The outcome when an exchange breaks off.
fn broken(link: &Link, error: &hyper::Error) -> Outcome {
    if !link.meter.whole() {
        Outcome::ConnectFailed
    } else if error.is_parse() {
        Outcome::Error
    } else {
        Outcome::Reset
    }
}

/// What is told when a long answer ends.
type OnEnd = Box<dyn FnOnce(Outcome)>;

/// A long answer on its way from a server to a client. The client's reading
/// drives the server's connection, so no more than buffers is ever held.
pub struct Long {
    upstream: Rc<Upstream>,
    link: Option<Link>,
    head: VecDeque<Bytes>,
    body: Incoming,
    silence: Pin<Box<Sleep>>,
    waiting: bool,
    on_end: Option<OnEnd>,
}

impl Long {
    fn new(upstream: Rc<Upstream>, link: Link, head: VecDeque<Bytes>, body: Incoming) -> Self {
        let silence = Box::pin(sleep_until(Instant::now()));
        Long { upstream, link: Some(link), head, body, silence, waiting: false, on_end: None }
    }

    /// Sets what is told of the end; a drop before it counts as cancelled.
    pub fn on_end(&mut self, tell: OnEnd) {
        self.on_end = Some(tell);
    }

    fn end(&mut self, outcome: Outcome) {
        let link = self.link.take();
        if let Some(link) = link.filter(|_| outcome == Outcome::Ok) {
            self.upstream.rest(link);
        }
        if let Some(tell) = self.on_end.take() {
            tell(outcome);
        }
    }
}

impl Drop for Long {
    fn drop(&mut self) {
        let outcome = if self.body.is_end_stream() && self.head.is_empty() {
            Outcome::Ok
        } else {
            Outcome::Cancelled
        };
        self.end(outcome);
    }
}

impl Body for Long {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if let Some(data) = this.head.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        loop {
            let Some(link) = &mut this.link else { return Poll::Ready(None) };
            link.drive(cx);
            let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
                // The server's silence counts from when the client wants more.
                if !std::mem::replace(&mut this.waiting, true) {
                    this.silence.as_mut().reset(Instant::now() + STREAM_SILENCE);
                }
                ready!(this.silence.as_mut().poll(cx));
                // Danger: without this a server cut off would hold the client for ever.
                this.end(Outcome::Reset);
                return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
            };
            this.waiting = false;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                Some(Err(error)) => {
                    this.end(Outcome::Reset);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                None => {
                    this.end(Outcome::Ok);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let head: u64 = self.head.iter().map(|b| b.len() as u64).sum();
        match self.body.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(head + rest),
            None => SizeHint::default(),
        }
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
