//! Clients' connections: requests in, answers out.

use crate::driver::{Arrival, Driver, Message, Reply};
use crate::limits::Limits;
use crate::message::{strip_hop_by_hop, text, Held, BODY_MAX};
use crate::socket::{close_gently, pending, Pending, Socket, Watcher};
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_balancer::api::{Nanos, Settings};
use mintshelf_config::platform::Names;
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

/// Header with the id that a client gives a request.
const TXN: &str = "x-txn";
/// Connections that the kernel holds until they are accepted: crowds come by
/// the thousand. The kernel cuts it to its own limit.
const BACKLOG: i32 = 4096;
/// Largest head of a request, and the most that the library buffers each way.
const BUFFER_MAX: usize = 32 << 10;
/// Most headers in a request.
const HEADERS_MAX: usize = 256;
/// A request is whole so long after its first byte, and the first one of a
/// connection so long after the connection. Guards against clients that say
/// nothing, stop half-way or go on for ever; it would harm one that sends a
/// request slower than this.
const RECEIVE_LIMIT: Duration = Duration::from_millis(2_500);
/// How much longer than the longest deadline a request may hold its connection:
/// time for its client to take the answer.
const SEND_LIMIT: Duration = Duration::from_secs(5);
/// An idle connection is closed after this.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// With few places left, idle connections are closed after this.
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// Part of the places under which few are left.
const FEW_PLACES: usize = 4;
/// How long a body waits for room among the bodies held. Its sender is held
/// back meanwhile, and the client's time has not begun.
const ROOM_WAIT: Duration = Duration::from_secs(1);
/// Pause after the kernel has no descriptor or memory for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle connections are closed so long after SIGTERM. By then no new ones come,
/// and what a client sends just then it can send again elsewhere.
const WIND_DOWN: Duration = Duration::from_millis(450);

/// What a client's connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Its last answer is out; only its client's end is awaited.
    Closing,
    /// Nothing, or part of its first request, has come.
    Fresh,
    /// Between requests.
    Idle,
    /// Part of a further request has come.
    Receiving,
    /// A request is whole, and its answer not out.
    Busy,
}

/// Looks at the head of a request as it comes, for what the HTTP library hides.
/// Danger: of a request with two framings the library drops one, unseen, and what
/// one reader takes for the body another takes for a further request.
#[derive(Debug, Default)]
struct HeadScan {
    /// The start of the line that is coming, in lower case.
    line: Vec<u8>,
    /// Whether a length, and an encoding, were stated.
    framings: [bool; 2],
    /// The blank line has come.
    over: bool,
}

const FRAMINGS: [&[u8]; 2] = [b"content-length", b"transfer-encoding"];

impl HeadScan {
    fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.over => return,
                b'\r' => {}
                b'\n' => {
                    let name = self.line.split(|b| *b == b':').next().unwrap_or_default();
                    let name = name.trim_ascii();
                    for (stated, framing) in self.framings.iter_mut().zip(FRAMINGS) {
                        *stated |= name == framing;
                    }
                    self.over = self.line.is_empty();
                    self.line.clear();
                }
                // No name that matters is longer.
                _ if self.line.len() < 32 => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }
}

/// One connection as seen from outside its task.
#[derive(Debug)]
struct Client {
    stream: Rc<TcpStream>,
    phase: Cell<Phase>,
    /// When that phase began.
    since: Cell<Instant>,
    /// How long a request may hold the connection.
    busy_limit: Duration,
    head: RefCell<HeadScan>,
    /// The library has no more of the answer to ask for.
    handed_over: Cell<bool>,
    evicted: CancellationToken,
}

impl Client {
    fn new(stream: Rc<TcpStream>, busy_limit: Duration) -> Self {
        Client {
            stream,
            phase: Cell::new(Phase::Fresh),
            since: Cell::new(Instant::now()),
            busy_limit,
            head: RefCell::default(),
            handed_over: Cell::new(false),
            evicted: CancellationToken::new(),
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// When the connection has been in its phase for too long.
    fn dead_at(&self) -> Instant {
        self.since.get()
            + match self.phase.get() {
                Phase::Closing | Phase::Fresh | Phase::Receiving => RECEIVE_LIMIT,
                Phase::Idle => IDLE_LIMIT,
                Phase::Busy => self.busy_limit,
            }
    }

    /// Whether its request said twice how long it is.
    fn framed_twice(&self) -> bool {
        self.head.borrow().framings == [true; 2]
    }
}

impl Watcher for Client {
    fn read(&self, bytes: &[u8]) {
        if !bytes.is_empty() && self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
        self.head.borrow_mut().read(bytes);
    }

    fn flushed(&self) {
        if self.handed_over.replace(false) {
            *self.head.borrow_mut() = HeadScan::default();
            self.enter(Phase::Idle);
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

    /// Closes a connection to make room: of those whose last answer is out, else
    /// of those that have sent nothing, else of the idle ones, the one that is so
    /// for longest, if it has been for `least`. Danger: a crowd that connects and
    /// sends nothing would shut out the rest, and one whose request waits to be
    /// read must not be closed for it.
    fn evict_one(&self, least: Duration) -> bool {
        let clients = self.by_number.borrow();
        let unwanted = |c: &&Rc<Client>| {
            c.phase.get() <= Phase::Idle
                && c.since.get().elapsed() >= least
                && !c.evicted.is_cancelled()
                && (c.phase.get() == Phase::Closing || pending(&c.stream) != Pending::Bytes)
        };
        let victim =
            clients.values().filter(unwanted).min_by_key(|c| (c.phase.get(), c.since.get()));
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
    /// How long a request may hold its connection.
    busy_limit: Duration,
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
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        Rc::new(Inbound {
            driver,
            settings,
            names,
            clients: Clients::default(),
            places: limits.clients.clone(),
            room: limits.bodies.clone(),
            busy_limit: Duration::from_nanos(longest) + SEND_LIMIT,
            draining,
        })
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.clients.by_number.borrow().is_empty()
    }

    /// Accepts connections for ever.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let all = self.places.available_permits();
        loop {
            if self.places.available_permits() < all / FEW_PLACES {
                self.clients.evict_one(IDLE_LEAST);
            }
            let place = loop {
                if self.places.available_permits() == 0 {
                    // With none to evict all are busy, and the kernel keeps the others.
                    self.clients.evict_one(Duration::ZERO);
                }
                match timeout(ACCEPT_PAUSE, self.places.clone().acquire_owned()).await {
                    Ok(Ok(place)) => break place,
                    Ok(Err(_)) => return,
                    Err(_) => {}
                }
            };
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
        let client = Rc::new(Client::new(stream.clone(), self.busy_limit));
        let number = self.clients.add(client.clone());
        let mut prefix = Bytes::new();
        loop {
            match self.serve(&stream, &client, prefix).await {
                Close::Again(rest) => prefix = rest,
                Close::Gently => {
                    client.enter(Phase::Closing);
                    tokio::select! {
                        () = close_gently(&stream) => {}
                        () = client.evicted.cancelled() => {}
                    }
                    break;
                }
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
                sleep(ACCEPT_PAUSE).await;
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
        let draining = self.draining.is_cancelled();
        let mut last = draining;
        let mut headers = HeaderMap::new();
        let (status, body) = if request.uri().path() == "/-/ready" {
            match draining {
                false => (StatusCode::OK, Bytes::from_static(b"ready\n")),
                true => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"draining\n")),
            }
        } else {
            match self.take(&client, request).await {
                Ok(Reply::Served(answer)) => {
                    headers = answer.headers;
                    strip_hop_by_hop(&mut headers);
                    (StatusCode::OK, answer.body)
                }
                Ok(Reply::Refused(after)) => {
                    let seconds = HeaderValue::from_str(&format!("{:.3}", after as f64 / 1e9));
                    if let Some(seconds) = seconds.ok().filter(|_| after > 0) {
                        headers.insert(header::RETRY_AFTER, seconds);
                    }
                    (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"refused\n"))
                }
                Ok(Reply::Failed) => (StatusCode::BAD_GATEWAY, Bytes::from_static(b"failed\n")),
                Err(unfit) => {
                    // What comes behind such a request cannot be trusted either.
                    last = true;
                    (unfit.status, Bytes::from_static(unfit.what.as_bytes()))
                }
            }
        };
        client.enter(Phase::Busy);
        let mut response = Response::new(Outgoing { body: Full::new(body), client });
        (*response.status_mut(), *response.headers_mut()) = (status, headers);
        if last {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Reads a request whole and gets it its final answer.
    async fn take(
        self: &Rc<Self>,
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Reply, Unfit> {
        let bad = |what| Unfit::new(StatusCode::BAD_REQUEST, what);
        let (mut head, mut body) = request.into_parts();
        if client.framed_twice() {
            return Err(bad("Content-Length and Transfer-Encoding\n"));
        }
        let arrival = self.arrival(&head.headers)?;
        let txn = head.headers.get(TXN).cloned().ok_or(bad("X-Txn is missing\n"))?;
        let (body, room) = self.hold(&mut body).await?;
        client.enter(Phase::Busy);
        strip_hop_by_hop(&mut head.headers);
        head.version = hyper::Version::HTTP_11;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        head.uri = path.parse().map_err(|_| bad("path\n"))?;
        let request = Request::from_parts(head, body);
        let reply = self.driver.serve(arrival, Message { request, txn, _room: room }).await;
        reply.ok_or(Unfit::new(StatusCode::CONFLICT, "X-Txn is that of an open request\n"))
    }

    /// Reads what the module is told of a request.
    fn arrival(&self, headers: &HeaderMap) -> Result<Arrival, Unfit> {
        let bad = |what| Unfit::new(StatusCode::BAD_REQUEST, what);
        let number_of = |header: &str, of: &[String]| {
            text(headers, header).and_then(|name| of.iter().position(|n| n == name))
        };
        if text(headers, TXN).is_none_or(str::is_empty) {
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
    async fn hold(
        &self,
        body: &mut Incoming,
    ) -> Result<(Held, Option<OwnedSemaphorePermit>), Unfit> {
        let too_long = Unfit::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long\n");
        if body.size_hint().lower() > BODY_MAX as u64 {
            return Err(too_long);
        }
        let (mut held, mut room) = (BytesMut::new(), None::<OwnedSemaphorePermit>);
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            let frame = frame.map_err(|_| Unfit::new(StatusCode::BAD_REQUEST, "body\n"))?;
            let Ok(data) = frame.into_data() else { continue };
            if held.len() + data.len() > BODY_MAX {
                return Err(too_long);
            }
            let more = self.room.clone().acquire_many_owned(data.len() as u32);
            let Ok(Ok(more)) = timeout(ROOM_WAIT, more).await else {
                // Nothing has been sent for it: the client may try again.
                return Err(Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "no room\n"));
            };
            match &mut room {
                Some(room) => room.merge(more),
                None => room = Some(more),
            }
            held.extend_from_slice(&data);
        }
        Ok((Held::new(held.freeze()), room))
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

/// An answer's body on its way to a client.
struct Outgoing {
    body: Full<Bytes>,
    client: Rc<Client>,
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.client.handed_over.set(true);
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_framings_are_seen_however_the_head_is_cut() {
        let twice = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nCONTENT-length :3\r\n\r\n";
        let once = b"POST / HTTP/1.1\r\nContent-Length: 23\r\n\r\nTransfer-Encoding: a\r\n\r\n";
        for (head, found) in [(&twice[..], [true; 2]), (once, [true, false])] {
            for cut in 0..head.len() {
                let mut scan = HeadScan::default();
                scan.read(&head[..cut]);
                scan.read(&head[cut..]);
                assert_eq!(scan.framings, found, "{cut}");
            }
        }
    }
}
