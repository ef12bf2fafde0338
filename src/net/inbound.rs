//! Clients' connections: requests in, answers out.

use crate::net::config::Names;
use crate::net::driver::{Arrival, Driver, Reply};
use crate::net::limits::Limits;
use crate::net::message::{strip_hop_by_hop, text, Held, Pieces};
use crate::net::socket::{close_gently, pending, Pending, Socket, Watcher};
use crate::net::upstream::{Answer, AnswerBody, Long};
use bytes::Bytes;
use eiderusher::api::{Nanos, Settings};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::sync::CancellationToken;

/// Connections that the kernel holds until they are accepted: crowds come by
/// the thousand. The kernel cuts it to its own limit.
const BACKLOG: i32 = 4096;
/// Largest head of a request, and the most that the library buffers each way.
const BUFFER_MAX: usize = 64 << 10;
/// Most headers in a request.
const HEADERS_MAX: usize = 256;
/// Longest body; the longest expected is 32 MB.
const BODY_MAX: usize = 40 << 20;
/// A client that has begun a request and is silent for so long has stopped.
/// Slow ones take 2 s for a head and send bodies at 64 kB/s.
const RECEIVE_SILENCE: Duration = Duration::from_secs(15);
/// A client that takes nothing of its answer for so long has stopped; slow ones
/// pause for seconds. No request waits for its answer as long as this.
const SEND_SILENCE: Duration = Duration::from_secs(30);
/// An idle connection is closed after this.
const IDLE_SILENCE: Duration = Duration::from_secs(120);
/// How long a body waits for room among the bodies held. Its sender is held
/// back meanwhile, and the client's time has not begun.
const ROOM_WAIT: Duration = Duration::from_secs(2);
/// Pause after the kernel has no descriptor or memory for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle connections are closed so long after SIGTERM. By then no new ones come,
/// and what a client sends just then it can send again elsewhere.
const WIND_DOWN: Duration = Duration::from_millis(450);

/// What a client's connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Nothing, or part of its first request, has come.
    Fresh,
    /// Between requests.
    Idle,
    /// Part of a further request has come.
    Receiving,
    /// A request is whole, and its answer not out.
    Busy,
}

/// One connection as seen from outside its task.
#[derive(Debug)]
struct Client {
    phase: Cell<Phase>,
    moved: Cell<Instant>,
    /// The library has no more of the answer to ask for.
    handed_over: Cell<bool>,
    evicted: CancellationToken,
}

impl Client {
    fn new() -> Self {
        Client {
            phase: Cell::new(Phase::Fresh),
            moved: Cell::new(Instant::now()),
            handed_over: Cell::new(false),
            evicted: CancellationToken::new(),
        }
    }

    /// When the connection counts as dead if nothing moves on it.
    fn dead_at(&self) -> Instant {
        self.moved.get()
            + match self.phase.get() {
                Phase::Fresh | Phase::Receiving => RECEIVE_SILENCE,
                Phase::Idle => IDLE_SILENCE,
                Phase::Busy => SEND_SILENCE,
            }
    }
}

impl Watcher for Client {
    fn read(&self, count: usize) {
        if count > 0 {
            self.moved.set(Instant::now());
            if self.phase.get() == Phase::Idle {
                self.phase.set(Phase::Receiving);
            }
        }
    }

    fn wrote(&self, _: &[u8]) {
        self.moved.set(Instant::now());
    }

    fn flushed(&self) {
        if self.handed_over.replace(false) {
            self.phase.set(Phase::Idle);
        }
    }
}

/// How a connection ends.
enum Close {
    /// Not yet: these bytes were read past the last answer.
    Again(Bytes),
    /// After its client has read all.
    Gently,
    /// At once.
    Now,
}

/// All clients' connections, oldest first.
#[derive(Debug, Default)]
struct Clients {
    by_number: RefCell<BTreeMap<u64, Rc<Client>>>,
    last: Cell<u64>,
}

impl Clients {
    fn add(&self, client: Rc<Client>) -> u64 {
        self.last.set(self.last.get() + 1);
        self.by_number.borrow_mut().insert(self.last.get(), client);
        self.last.get()
    }

    /// Closes a connection to make room: of those that have sent nothing whole,
    /// else of the idle ones, that on which nothing has moved for longest.
    /// Danger: a crowd that connects and sends nothing would shut out the rest.
    fn evict_one(&self) -> bool {
        let clients = self.by_number.borrow();
        let waiting = clients.values().filter(|c| !c.evicted.is_cancelled());
        let victim = waiting
            .filter(|c| c.phase.get() <= Phase::Idle)
            .min_by_key(|c| (c.phase.get(), c.moved.get()));
        victim.inspect(|client| client.evicted.cancel()).is_some()
    }
}

/// What all connections share.
pub struct Inbound {
    driver: Rc<Driver>,
    settings: Settings,
    names: Names,
    clients: Clients,
    places: Arc<Semaphore>,
    room: Arc<Semaphore>,
    draining: CancellationToken,
}

/// Listens on an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Type};
    let socket =
        socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restart binds the same address while old connections fade.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

impl Inbound {
    /// Ready to take connections; `draining` announces the planned end.
    pub fn new(
        driver: Rc<Driver>,
        settings: Settings,
        names: Names,
        limits: &Limits,
        draining: CancellationToken,
    ) -> Rc<Self> {
        Rc::new(Inbound {
            driver,
            settings,
            names,
            clients: Clients::default(),
            places: limits.clients.clone(),
            room: limits.body_pieces.clone(),
            draining,
        })
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.clients.by_number.borrow().is_empty()
    }

    /// Accepts connections for ever.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        loop {
            if self.places.available_permits() == 0 {
                // With none to evict all are busy, and the kernel keeps the others.
                self.clients.evict_one();
            }
            let Ok(place) = self.places.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().converse(stream, place));
                }
                // Danger: out of descriptors, accept fails at once and for ever.
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn converse(self: Rc<Self>, stream: TcpStream, _place: OwnedSemaphorePermit) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = Rc::new(stream);
        let client = Rc::new(Client::new());
        let number = self.clients.add(client.clone());
        let mut prefix = Bytes::new();
        loop {
            match self.serve(&stream, &client, prefix).await {
                Close::Again(rest) => prefix = rest,
                Close::Gently => break close_gently(&stream).await,
                Close::Now => break,
            }
        }
        self.clients.by_number.borrow_mut().remove(&number);
    }

    /// Serves a connection until a side ends it.
    async fn serve(
        self: &Rc<Self>,
        stream: &Rc<TcpStream>,
        client: &Rc<Client>,
        prefix: Bytes,
    ) -> Close {
        let socket = Socket::new(stream.clone(), client.clone(), prefix);
        let service = service_fn(|request| Box::pin(self.clone().respond(client.clone(), request)));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX).max_headers(HEADERS_MAX);
        let mut connection = builder.serve_connection(TokioIo::new(socket), service);
        let ended = tokio::select! {
            biased;
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => ended,
            () = self.unwanted(client) => return Close::Now,
        };
        match ended {
            // Danger: an answer without a length must not look whole.
            Err(error) if error.is_user() => {
                let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
                Close::Now
            }
            // A malformed request has had its answer, 400.
            Err(_) => Close::Gently,
            Ok(()) => {
                let rest = connection.into_parts().read_buf;
                // Danger: a further request that was written before the client
                // could read "close" has been taken, and must be answered.
                let more = !rest.is_empty() || pending(stream) == Pending::Bytes;
                if more && self.draining.is_cancelled() {
                    Close::Again(rest)
                } else {
                    Close::Gently
                }
            }
        }
    }

    /// Waits until a connection is dead, evicted, or idle at the planned end.
    async fn unwanted(&self, client: &Client) {
        let dead = async {
            while client.dead_at() > Instant::now() {
                sleep_until(client.dead_at()).await;
            }
        };
        let evicted = async {
            client.evicted.cancelled().await;
            // A request that came meanwhile is answered first.
            while client.phase.get() > Phase::Idle {
                sleep(WIND_DOWN).await;
            }
        };
        let over = async {
            self.draining.cancelled().await;
            sleep(WIND_DOWN).await;
            while client.phase.get() != Phase::Idle {
                sleep(ACCEPT_PAUSE).await;
            }
        };
        tokio::select! {
            () = dead => {}
            () = evicted => {}
            () = over => {}
        }
    }

    // ------------------------------------------------------------ requests

    async fn respond(
        self: Rc<Self>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<Outgoing>, Infallible> {
        let (status, retry_after, content) = if request.uri().path() == "/-/ready" {
            let ready = !self.draining.is_cancelled();
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            (status, None, Content::Text(if ready { "ready\n" } else { "draining\n" }))
        } else {
            match self.take(&client, request).await {
                Ok(Reply::Served(answer)) => {
                    return Ok(self.served(&client, *answer));
                }
                Ok(Reply::Refused(after)) => {
                    (StatusCode::SERVICE_UNAVAILABLE, Some(after), Content::Text("refused\n"))
                }
                Ok(Reply::Failed) => (StatusCode::BAD_GATEWAY, None, Content::Text("failed\n")),
                Err(refusal) => (refusal.status, None, Content::Text(refusal.what)),
            }
        };
        let mut response = Response::new(self.outgoing(&client, content));
        *response.status_mut() = status;
        if let Some(after) = retry_after.filter(|after| *after > 0) {
            let seconds = format!("{:.3}", after as f64 / 1e9);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        self.mark_closing(&mut response);
        Ok(response)
    }

    fn served(&self, client: &Rc<Client>, answer: Answer) -> Response<Outgoing> {
        let content = match answer.body {
            AnswerBody::Whole(bytes) => Content::Whole(bytes),
            AnswerBody::Long(body) => Content::Long(Box::new(body)),
        };
        let mut response = Response::new(self.outgoing(client, content));
        *response.headers_mut() = answer.headers;
        strip_hop_by_hop(response.headers_mut());
        self.mark_closing(&mut response);
        response
    }

    fn outgoing(&self, client: &Rc<Client>, content: Content) -> Outgoing {
        client.phase.set(Phase::Busy);
        client.moved.set(Instant::now());
        Outgoing { content, client: client.clone() }
    }

    fn mark_closing(&self, response: &mut Response<Outgoing>) {
        if self.draining.is_cancelled() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Reads a request whole and gets it its final answer.
    async fn take(
        self: &Rc<Self>,
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Reply, Unfit> {
        let (mut head, mut body) = request.into_parts();
        let arrival = self.arrival(&head.headers)?;
        let held = self.hold(&mut body).await?;
        client.phase.set(Phase::Busy);
        client.moved.set(Instant::now());
        strip_hop_by_hop(&mut head.headers);
        head.version = hyper::Version::HTTP_11;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        head.uri = path.parse().map_err(|_| Unfit::new(StatusCode::BAD_REQUEST, "path\n"))?;
        Ok(self.driver.serve(arrival, Request::from_parts(head, held)).await)
    }

    /// Reads what the module is told of a request.
    fn arrival(&self, headers: &HeaderMap) -> Result<Arrival, Unfit> {
        let bad = |what| Unfit::new(StatusCode::BAD_REQUEST, what);
        let number_of = |header: &str, of: &[String]| {
            text(headers, header).and_then(|name| of.iter().position(|n| n == name))
        };
        if text(headers, "x-txn").is_none_or(str::is_empty) {
            return Err(bad("X-Txn is missing\n"));
        }
        let class =
            number_of("x-lane", &self.names.classes).ok_or(bad("X-Lane is not a class\n"))?;
        let tenant = match number_of("x-org", &self.names.tenants) {
            Some(tenant) => tenant,
            None if self.names.tenants.is_empty() => 0,
            None => return Err(bad("X-Org is not a tenant\n")),
        };
        let deadline = self.settings.classes[class].deadline;
        let patience = match figure::<u64>(headers, "x-remaining-ms") {
            Ok(left) => left.map_or(deadline, |ms| ms.saturating_mul(1_000_000).min(deadline)),
            Err(()) => return Err(bad("X-Remaining-Ms is not a number\n")),
        };
        let cost_hint = figure::<f64>(headers, "x-estimate")
            .map_err(|()| bad("X-Estimate is not a number\n"))?
            .map(|micros| (micros * 1e3) as Nanos);
        let labels = text(headers, "x-labels").unwrap_or_default();
        let mut labels = labels.split(',').filter(|label| !label.trim().is_empty());
        if !labels.all(|label| {
            label.split_once('=').is_some_and(|(_, value)| value.trim().parse::<f64>().is_ok())
        }) {
            return Err(bad("X-Labels are not figures\n"));
        }
        let cookies = headers.get_all(header::COOKIE).iter().filter_map(|c| c.to_str().ok());
        let mut pairs = cookies.flat_map(|cookie| cookie.split(';'));
        let key = pairs.find_map(|pair| pair.trim().strip_prefix("obj="));
        Ok(Arrival {
            class: class as u32,
            tenant: tenant as u32,
            key: key.and_then(|key| u64::from_str_radix(key, 16).ok()),
            cost_hint: cost_hint.filter(|cost| *cost > 0),
            repeat: text(headers, "x-resent") == Some("1"),
            patience,
        })
    }

    /// Reads a body, as far as there is room for it among those held.
    async fn hold(&self, body: &mut Incoming) -> Result<Held, Unfit> {
        let mut pieces = Pieces::default();
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            let frame = frame.map_err(|_| Unfit::new(StatusCode::BAD_REQUEST, "body\n"))?;
            let Ok(data) = frame.into_data() else { continue };
            if pieces.len() + data.len() > BODY_MAX {
                return Err(Unfit::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long\n"));
            }
            let needed = pieces.needs(data.len());
            if needed > 0 {
                let more = self.room.clone().acquire_many_owned(needed as u32);
                let Ok(Ok(permit)) = timeout(ROOM_WAIT, more).await else {
                    drop(pieces);
                    // Nothing has been sent for it: the client may try again.
                    self.read_out(body).await;
                    return Err(Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "no room\n"));
                };
                pieces.add_room(permit);
            }
            pieces.push(&data);
        }
        Ok(pieces.finish())
    }

    /// Reads the rest of a body and drops it, so that its sender gets to read
    /// the answer.
    async fn read_out(&self, body: &mut Incoming) {
        while let Some(Ok(_)) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {}
    }
}

/// Reads a header that holds a number, if it is there.
fn figure<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, ()> {
    match headers.get(name) {
        None => Ok(None),
        Some(_) => text(headers, name).and_then(|v| v.parse().ok()).map(Some).ok_or(()),
    }
}

/// Why a request goes no further.
#[derive(Debug)]
struct Unfit {
    status: StatusCode,
    what: &'static str,
}

impl Unfit {
    fn new(status: StatusCode, what: &'static str) -> Self {
        Unfit { status, what }
    }
}

// ----------------------------------------------------------------- answers

enum Content {
    Text(&'static str),
    Whole(Bytes),
    Long(Box<Long>),
}

/// An answer's body on its way to a client.
struct Outgoing {
    content: Content,
    client: Rc<Client>,
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.client.handed_over.set(true);
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let bytes = match &mut self.content {
            Content::Text(text) => Bytes::from_static(std::mem::take(text).as_bytes()),
            Content::Whole(bytes) => std::mem::take(bytes),
            Content::Long(body) => return Pin::new(body.as_mut()).poll_frame(cx),
        };
        Poll::Ready(Some(bytes).filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Text(text) => text.is_empty(),
            Content::Whole(bytes) => bytes.is_empty(),
            Content::Long(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Text(text) => SizeHint::with_exact(text.len() as u64),
            Content::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Content::Long(body) => body.size_hint(),
        }
    }
}
