//! Calls to discovery, one after the other on one connection.

use crate::tcp::{ObservedStream, TrafficObserver};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{handshake, Connection, SendRequest};
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_discovery::watch::CallEnd;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer is overdue so long after it was due. The service works through
/// calls in turn and fails those that waited too long, a second or two.
pub const ANSWER_GRACE: Duration = Duration::from_millis(2_500);
/// An answer that pauses for so long will not be completed.
const STALL: Duration = Duration::from_millis(600);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest answer: some twenty thousand servers. More would not fit in little memory.
const ANSWER_MAX: usize = 4 << 20;

/// The body of an answer, maybe cut short.
#[derive(Debug, Default)]
pub struct Received {
    /// What came of it.
    pub bytes: Vec<u8>,
    /// It has come to its end.
    pub whole: bool,
    /// Nothing came in its time.
    pub silent: bool,
}

impl Received {
    /// How the call ended; `taken`: its answer was whole and well formed.
    pub fn end(&self, taken: bool) -> CallEnd {
        match (taken, self.silent) {
            (true, _) => CallEnd::Answered,
            (false, true) => CallEnd::Silent,
            (false, false) => CallEnd::Failed,
        }
    }
}

struct Nothing;
impl TrafficObserver for Nothing {}

type Driven = Connection<TokioIo<ObservedStream<Nothing>>, Empty<Bytes>>;

/// A connection to discovery, kept between calls.
struct Line {
    send: SendRequest<Empty<Bytes>>,
    driven: Pin<Box<Driven>>,
    up: bool,
}

impl Line {
    async fn open(to: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let socket = ObservedStream::new(Rc::new(stream.into()), Rc::new(Nothing), Bytes::new());
        let (send, driven) = handshake(TokioIo::new(socket)).await.ok()?;
        Some(Line { send, driven: Box::pin(driven), up: true })
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        self.up = self.up && self.driven.as_mut().poll(cx).is_pending();
    }

    /// Whether another call can go out on it.
    fn usable(&mut self) -> bool {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        self.drive(&mut cx);
        self.up && self.send.is_ready()
    }

    async fn ask(&mut self, request: Request<Empty<Bytes>>) -> Option<Response<Incoming>> {
        let mut response = pin!(self.send.send_request(request));
        let (up, driven) = (&mut self.up, &mut self.driven);
        poll_fn(|cx| {
            *up = *up && driven.as_mut().poll(cx).is_pending();
            response.as_mut().poll(cx)
        })
        .await
        .ok()
    }

    /// Reads an answer's body, as far as it comes.
    async fn read(&mut self, mut body: Incoming) -> Received {
        let mut received = Received::default();
        while received.bytes.len() <= ANSWER_MAX {
            let next = poll_fn(|cx| {
                self.drive(cx);
                Pin::new(&mut body).poll_frame(cx)
            });
            match timeout(STALL, next).await {
                Ok(Some(Ok(frame))) => received.bytes.extend(frame.into_data().unwrap_or_default()),
                Ok(None) => {
                    received.whole = true;
                    return received;
                }
                Ok(Some(Err(_))) | Err(_) => break,
            }
        }
        self.up = false;
        received
    }
}

/// Makes calls to discovery, one after the other on one connection.
pub struct Caller {
    /// Where it calls.
    pub to: SocketAddr,
    line: Option<Line>,
}

impl Caller {
    /// Has no connection yet.
    pub fn new(to: SocketAddr) -> Self {
        Caller { to, line: None }
    }

    /// One call; what came of the answer. One that does not begin within `grace` is silent.
    pub async fn call(&mut self, query: &str, grace: Duration) -> Received {
        let kept = self.line.take().and_then(|mut line| line.usable().then_some(line));
        let line = match kept {
            Some(line) => Some(line),
            None => Line::open(self.to).await,
        };
        let Some(mut line) = line else { return Received::default() };
        let uri = format!("/api/targets{query}");
        let request = Request::get(uri).header(header::HOST, self.to.to_string());
        let Ok(request) = request.body(Empty::new()) else { return Received::default() };
        let response = match timeout(grace, line.ask(request)).await {
            Ok(Some(response)) => response,
            Ok(None) => return Received::default(),
            Err(_) => return Received { silent: true, ..Received::default() },
        };
        if response.status() != StatusCode::OK {
            return Received::default();
        }
        let received = line.read(response.into_body()).await;
        self.line = Some(line).filter(|line| line.up);
        received
    }

    /// A call that waits for what is newer than the list held, and for its answer `grace` longer.
    pub async fn news(&mut self, after: u64, wait: Duration, grace: Duration) -> Received {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        self.call(&query, wait + grace).await
    }
}
