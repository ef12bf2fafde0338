//! Accepts clients' connections, and serves each through a front.

use crate::budget::ResourceBudget;
use crate::client::connection::{Client, ClientTimeouts, Clients, Phase, Upgrade};
use crate::client::handler::{ClientRequest, RequestHandler, TrackedBody};
use crate::tcp::{close_gracefully, is_reset, pending, ObservedStream, Pending, SharedStream};
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
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
const BUFFER_MAX: usize = 32 << 10;
/// With few places left, idle connections are closed after this.
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// Part of the places under which few are left.
const FEW_PLACES: usize = 4;
/// Pause after the kernel has no descriptor or memory for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle connections are closed so long after SIGTERM. By then no new ones come,
/// and what a client sends just then it can send again elsewhere.
const WIND_DOWN: Duration = Duration::from_millis(450);

/// How a connection ends.
enum Close {
    /// Not yet: these bytes were read past the last answer.
    Again(Bytes),
    /// After its client has read all.
    Gently,
    /// At once: its client can't be told anything, or would not listen.
    Now,
    /// It speaks another protocol now; these bytes were read past the 101.
    Upgraded(Bytes),
}

/// What all connections share.
pub struct ClientListener<F> {
    front: Rc<F>,
    clients: Rc<Clients>,
    places: Arc<Semaphore>,
    patience: ClientTimeouts,
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

impl<F: RequestHandler> ClientListener<F> {
    /// Ready to take connections, which count among `clients`; `draining` announces the end.
    pub fn new(
        front: Rc<F>,
        clients: Rc<Clients>,
        limits: &ResourceBudget,
        patience: ClientTimeouts,
        draining: CancellationToken,
    ) -> Rc<Self> {
        let places = limits.clients.clone();
        Rc::new(ClientListener { front, clients, places, patience, draining })
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
                Ok((stream, peer)) => {
                    spawn_local(self.clone().converse(stream, peer, place));
                }
                // Danger: out of descriptors, accept fails at once and for ever.
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn converse(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        _place: OwnedSemaphorePermit,
    ) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = Rc::new(RefCell::new(stream));
        let client = Rc::new(Client::new(stream.clone(), peer, self.patience));
        let number = self.clients.add(client.clone());
        let mut prefix = Bytes::new();
        loop {
            // In a box: a socket that comes after it lives long, and has no use for its room.
            match Box::pin(self.serve(&stream, &client, prefix)).await {
                Close::Again(rest) => prefix = rest,
                Close::Gently => {
                    client.enter(Phase::Closing);
                    tokio::select! {
                        biased;
                        () = close_gracefully(&stream) => {}
                        () = self.in_the_way(&client) => {}
                    }
                    break;
                }
                Close::Now => break,
                Close::Upgraded(rest) => {
                    // No further head is to come.
                    client.scanner.take();
                    let upgrade = client.upgrade.borrow_mut().take();
                    if let Some(Upgrade(upgrade)) = upgrade {
                        upgrade(stream.clone(), rest).await;
                    }
                    break;
                }
            }
        }
        self.clients.remove(number);
    }

    /// Serves a connection until a side ends it.
    async fn serve(
        self: &Rc<Self>,
        stream: &SharedStream,
        client: &Rc<Client>,
        prefix: Bytes,
    ) -> Close {
        let socket = ObservedStream::new(stream.clone(), client.clone(), prefix);
        let service = service_fn(|request| {
            let (front, client) = (self.front.clone(), client.clone());
            let draining = self.draining.clone();
            Box::pin(async move {
                let is_draining = draining.is_cancelled();
                let request = ClientRequest { client: client.clone(), request, is_draining };
                let mut response = front.respond(request).await;
                // Danger: asked again, since a request may wait for longer than the end is
                // announced. Its client would go on with a connection that is about to die.
                let upgraded = response.status() == StatusCode::SWITCHING_PROTOCOLS;
                if draining.is_cancelled() && !upgraded {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                client.enter(Phase::Busy);
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, client)))
            })
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX);
        builder.half_close(self.patience.half_close);
        if let Some(most) = F::HEADERS_MAX {
            builder.max_headers(most);
        }
        let mut connection = builder.serve_connection(TokioIo::new(socket), service);
        let ended = tokio::select! {
            biased;
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => ended,
            close = self.unwanted(client) => return close,
            () = self.reset(stream, client) => return Close::Now,
        };
        match ended {
            // A malformed request has had its answer, 400.
            Err(_) => Close::Gently,
            Ok(()) => {
                let rest = connection.into_parts().read_buf;
                if client.upgrade.borrow().is_some() {
                    return Close::Upgraded(rest);
                }
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

    /// Waits until the other side of a connection that is answered to its end has reset it.
    /// The library does not look while a request is open.
    async fn reset(&self, stream: &SharedStream, client: &Client) {
        poll_fn(|cx| {
            if !self.patience.half_close || client.phase() != Phase::Busy {
                return Poll::Pending;
            }
            let ready = stream.borrow().poll_read_ready(cx).is_ready();
            if ready && is_reset(stream) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await
    }

    /// Waits until a connection that is being closed has to make room: its client has had a
    /// moment to read what there is, and to end its side.
    async fn in_the_way(&self, client: &Client) {
        client.evicted.cancelled().await;
        sleep(ACCEPT_PAUSE).await;
    }

    /// Waits until a connection is dead, evicted, or idle at the planned end; how it is to be
    /// closed. Danger: what a client sends in that very moment would be met by a reset, and take
    /// an answer with it that the client has not read yet.
    async fn unwanted(&self, client: &Client) -> Close {
        let dead = async {
            loop {
                if client.dead_at() > Instant::now() {
                    sleep_until(client.dead_at()).await;
                } else if client.phase() == Phase::Idle && client.has_pending() {
                    sleep(ACCEPT_PAUSE).await;
                } else {
                    return;
                }
            }
        };
        let evicted = async {
            client.evicted.cancelled().await;
            // A request that came meanwhile is answered first.
            quiet(client, |phase| phase <= Phase::Idle).await;
        };
        let over = async {
            self.draining.cancelled().await;
            sleep(WIND_DOWN).await;
            quiet(client, |phase| phase == Phase::Idle).await;
        };
        tokio::select! {
            () = dead => {}
            () = evicted => {}
            () = over => {}
        }
        match client.phase() {
            // Its request is not answered, or its answer not read, and never will be.
            Phase::Busy => Close::Now,
            _ => Close::Gently,
        }
    }
}

/// Waits until a connection's phase fits and nothing stands on it that nobody has read yet: that
/// is served first.
async fn quiet(client: &Client, fits: impl Fn(Phase) -> bool) {
    while !fits(client.phase()) || client.has_pending() {
        sleep(ACCEPT_PAUSE).await;
    }
}
