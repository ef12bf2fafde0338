//! HTTP client for the discovery service: one request at a time on one connection.

use super::protocol::{changes_path, LIST_PATH};
use crate::list_arrival::ListArrival;
use crate::tcp::ObservedStream;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{handshake, Connection, SendRequest};
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_discovery::watch::CallOutcome;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for the head of the response to a request for the full list. The service processes
/// requests in sequence and fails those that have waited for one to two seconds.
pub const LIST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A response body without progress for this long is treated as truncated.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time to establish a connection to the service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a response body, enough for about 20,000 servers. It bounds the memory use.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The part of a response body that was received; empty if there was no usable response.
#[derive(Debug, Default)]
pub struct ReceivedBody {
    /// The received bytes of the body, up to its end or the point of the failure.
    pub bytes: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
    /// Whether the response head did not arrive in time.
    pub has_timed_out: bool,
}

impl ReceivedBody {
    /// Returns the outcome of the call; `is_valid` is whether the response was complete and well
    /// formed.
    pub fn outcome(&self, is_valid: bool) -> CallOutcome {
        if is_valid {
            CallOutcome::Completed
        } else if self.has_timed_out {
            CallOutcome::TimedOut
        } else {
            CallOutcome::Failed
        }
    }
}

type HttpConnection = Connection<TokioIo<ObservedStream<ListArrival>>, Empty<Bytes>>;

/// A connection to the service, used for one request after another.
struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    connection: Pin<Box<HttpConnection>>,
    is_open: bool,
}

impl DiscoveryConnection {
    async fn open(address: SocketAddr, arrival: &Rc<ListArrival>) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = Rc::new(RefCell::new(stream));
        arrival.track(&stream);
        let socket = ObservedStream::new(stream, arrival.clone(), Bytes::new());
        let (sender, connection) = handshake(TokioIo::new(socket)).await.ok()?;
        let connection = Box::pin(connection);
        Some(DiscoveryConnection { sender, connection, is_open: true })
    }

    /// Polls the connection, which reads and writes, and records whether it has ended.
    fn drive(&mut self, cx: &mut Context<'_>) {
        self.is_open = self.is_open && self.connection.as_mut().poll(cx).is_pending();
    }

    /// Returns whether another request can be sent on the connection.
    fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        self.drive(&mut cx);
        self.is_open && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its response; `None` if the connection fails.
    async fn send(&mut self, request: Request<Empty<Bytes>>) -> Option<Response<Incoming>> {
        let mut response = pin!(self.sender.send_request(request));
        poll_fn(|cx| {
            self.is_open = self.is_open && self.connection.as_mut().poll(cx).is_pending();
            response.as_mut().poll(cx)
        })
        .await
        .ok()
    }

    /// Reads a response body until it ends, stalls, fails or is too long.
    async fn read_body(&mut self, mut body: Incoming) -> ReceivedBody {
        let mut received = ReceivedBody::default();
        while received.bytes.len() <= MAX_RESPONSE_BYTES {
            let next_frame = poll_fn(|cx| {
                self.drive(cx);
                Pin::new(&mut body).poll_frame(cx)
            });
            match timeout(BODY_STALL_TIMEOUT, next_frame).await {
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    received.bytes.extend_from_slice(&data);
                }
                Ok(None) => {
                    received.is_complete = true;
                    return received;
                }
                Ok(Some(Err(_))) | Err(_) => break,
            }
        }
        self.is_open = false;
        received
    }
}

/// Sends requests to the service, one at a time on one connection.
pub struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<DiscoveryConnection>,
    arrival: Rc<ListArrival>,
}

impl DiscoveryClient {
    /// Creates a client without a connection. The first request opens one, whose incoming lists
    /// `arrival` tracks.
    pub fn new(address: SocketAddr, arrival: Rc<ListArrival>) -> Self {
        DiscoveryClient { address, connection: None, arrival }
    }

    /// Returns the address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests the full list.
    pub async fn fetch_list(&mut self) -> ReceivedBody {
        self.get(LIST_PATH, LIST_RESPONSE_TIMEOUT).await
    }

    /// Long poll: the service waits up to `poll_timeout` for a list newer than `after_revision`. The
    /// response head may arrive up to `response_grace` later.
    pub async fn poll_changes(
        &mut self,
        after_revision: u64,
        poll_timeout: Duration,
        response_grace: Duration,
    ) -> ReceivedBody {
        let path = changes_path(after_revision, poll_timeout);
        self.get(&path, poll_timeout + response_grace).await
    }

    /// Sends a request, whose response head has to arrive within `response_timeout`.
    async fn get(&mut self, path: &str, response_timeout: Duration) -> ReceivedBody {
        let Some(mut connection) = self.connect().await else { return ReceivedBody::default() };
        let request =
            Request::get(path).header(header::HOST, self.address.to_string()).body(Empty::new());
        let Ok(request) = request else { return ReceivedBody::default() };
        let response = match timeout(response_timeout, connection.send(request)).await {
            Ok(Some(response)) => response,
            Ok(None) => return ReceivedBody::default(),
            Err(_) => return ReceivedBody { has_timed_out: true, ..ReceivedBody::default() },
        };
        if response.status() != StatusCode::OK {
            return ReceivedBody::default();
        }
        let received = connection.read_body(response.into_body()).await;
        self.connection = Some(connection).filter(|connection| connection.is_open);
        received
    }

    /// Returns the idle connection if it is still usable, otherwise a new one.
    async fn connect(&mut self) -> Option<DiscoveryConnection> {
        let idle = self.connection.take();
        match idle.and_then(|mut connection| connection.is_ready().then_some(connection)) {
            Some(connection) => Some(connection),
            None => DiscoveryConnection::open(self.address, &self.arrival).await,
        }
    }
}
