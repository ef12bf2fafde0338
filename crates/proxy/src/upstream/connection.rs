//! One connection to a server: what passes on it, and one exchange at a time.

use crate::tcp::{pending, Pending, Socket, Stream, TrafficObserver};
use crate::upstream::request_body::RequestBody;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_balancer::api::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, timeout, Instant};

/// An answer that stops half-way for so long will not be whole. Servers write one
/// in one go, so this catches lengths that are too long, heads that don't end and
/// servers cut off while they write; it would harm one that writes bit by bit.
const ANSWER_STALL: Duration = Duration::from_millis(400);

/// Follows one exchange: what the kernel took of the request, when bytes came back.
#[derive(Debug, Default)]
pub(crate) struct WriteProgress {
    body: Cell<u64>,
    /// How much of the head's closing blank line has passed.
    matched: Cell<usize>,
    body_taken: Cell<u64>,
    /// Something of it has been written.
    begun: Cell<bool>,
    /// When part of an answer last came, while the rest is awaited.
    answering: Cell<Option<Instant>>,
}

impl WriteProgress {
    fn expect(&self, body: u64) {
        self.body.set(body);
        self.matched.set(0);
        self.body_taken.set(0);
        self.begun.set(false);
        self.answering.set(None);
    }

    /// Whether the last byte may have reached the server.
    pub(crate) fn whole(&self) -> bool {
        self.matched.get() == HEAD_END.len() && self.body_taken.get() >= self.body.get()
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl TrafficObserver for WriteProgress {
    fn read(&self, bytes: &[u8]) {
        // What ends in a blank line may be an answer ahead of the answer.
        let rest = !bytes.is_empty() && !bytes.ends_with(HEAD_END);
        self.answering.set(rest.then(Instant::now));
    }

    fn wrote(&self, bytes: &[u8]) {
        self.begun.set(true);
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

pub(crate) type Driven = Connection<TokioIo<Socket<WriteProgress>>, RequestBody>;

/// A server and where it listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Its number.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
}

/// What a connection counts in until this is dropped.
#[derive(Debug)]
pub(crate) struct UpgradedPermits {
    _permit: OwnedSemaphorePermit,
    _counted: ConnectionPermit,
}

/// One connection. It is driven by whoever uses it, so that dropping it closes
/// the socket then and there: no copy of a request outlives its attempt.
pub(crate) struct UpstreamConnection {
    pub(crate) send: SendRequest<RequestBody>,
    pub(crate) driven: Option<Pin<Box<Driven>>>,
    pub(crate) stream: Stream,
    pub(crate) meter: Rc<WriteProgress>,
    pub(crate) to: Target,
    /// Its place among the idle ones.
    pub(crate) key: (u32, ServerId),
    pub(crate) rested: Instant,
    pub(crate) idle_max: Duration,
    pub(crate) _permit: OwnedSemaphorePermit,
    pub(crate) _counted: ConnectionPermit,
}

impl UpstreamConnection {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn ask(
        &mut self,
        request: Request<RequestBody>,
        runs_early: bool,
    ) -> Result<Response<Incoming>, Outcome> {
        let body = if runs_early { 0 } else { request.body().size_hint().lower() };
        self.head(request, body, drive).await
    }

    /// The same for a body of so many bytes, with the library's work left to `work`.
    async fn head(
        &mut self,
        request: Request<RequestBody>,
        body: u64,
        mut work: impl FnMut(&mut Option<Pin<Box<Driven>>>, &mut Context<'_>),
    ) -> Result<Response<Incoming>, Outcome> {
        self.meter.expect(body);
        let mut response = pin!(self.send.send_request(request));
        let (driven, meter) = (&mut self.driven, &self.meter);
        let answered = poll_fn(|cx| {
            work(driven, cx);
            response.as_mut().poll(cx)
        });
        tokio::select! {
            biased;
            answered = answered => answered.map_err(|error| broken(meter, &error)),
            () = stalled(meter) => Err(Outcome::Error),
        }
    }

    /// Reads an answer's body; spoilt if it is longer than `most` or stops.
    pub(crate) async fn body(&mut self, mut body: Incoming, most: usize) -> Result<Bytes, Outcome> {
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

    /// Sends a handshake and waits for the head of its answer. If that is a 101, the
    /// connection is given up by [`UpstreamConnection::into_socket`]; else it goes on as after
    /// [`UpstreamConnection::ask`].
    pub(crate) async fn ask_upgrade(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, Outcome> {
        // The library ends with the 101, and what it read behind that is still in it.
        let mut ended = false;
        let work = |driven: &mut Option<Pin<Box<Driven>>>, cx: &mut Context<'_>| {
            if let Some(driven) = driven.as_mut().filter(|_| !ended) {
                ended = driven.poll_without_shutdown(cx).is_ready();
            }
        };
        let answered = self.head(request, 0, work).await?;
        if ended && answered.status() != StatusCode::SWITCHING_PROTOCOLS {
            self.driven = None;
        }
        Ok(answered)
    }

    /// The bare connection, and what was read behind the 101.
    pub(crate) async fn into_socket(self) -> Option<(Stream, Bytes, UpgradedPermits)> {
        let mut driven = Pin::into_inner(self.driven?);
        let over = poll_fn(|cx| driven.poll_without_shutdown(cx));
        timeout(ANSWER_STALL, over).await.ok()?.ok()?;
        let rest = driven.into_parts().read_buf;
        Some((
            self.stream,
            rest,
            UpgradedPermits { _permit: self._permit, _counted: self._counted },
        ))
    }

    /// Whether the connection can carry another request at once.
    pub(crate) fn settle(&mut self, cx: &mut Context<'_>) -> bool {
        drive(&mut self.driven, cx);
        self.driven.is_some()
            && (self.meter.whole() || !self.meter.begun.get())
            && matches!(self.send.poll_ready(cx), Poll::Ready(Ok(())))
    }

    /// Lets the library work on the connection.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) {
        drive(&mut self.driven, cx);
    }

    /// Danger: an idle connection may have been closed, or reset, unheard.
    pub(crate) fn alive(&self) -> bool {
        let rested = self.rested.elapsed() < self.idle_max;
        self.driven.is_some() && rested && pending(&self.stream) == Pending::Nothing
    }
}

pub(crate) fn drive(connection: &mut Option<Pin<Box<Driven>>>, cx: &mut Context<'_>) {
    if let Some(driven) = connection {
        if driven.as_mut().poll(cx).is_ready() {
            *connection = None;
        }
    }
}

/// Waits until an answer that has begun stops coming.
async fn stalled(meter: &WriteProgress) {
    loop {
        let due = meter.answering.get().map(|at| at + ANSWER_STALL);
        match due {
            Some(due) if due <= Instant::now() => return,
            _ => sleep_until(due.unwrap_or(Instant::now() + ANSWER_STALL)).await,
        }
    }
}

/// Connections of one cluster, all and by server, against what it may have.
#[derive(Debug, Default)]
pub(crate) struct Count {
    most: ConnectionLimits,
    all: Cell<[u32; 2]>,
    by_server: RefCell<HashMap<ServerId, [u32; 2]>>,
}

/// Most connections that a cluster may have.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionLimits {
    /// To all servers, and to each.
    pub connections: [Option<u32>; 2],
    /// Those of them that are sockets.
    pub sockets: [Option<u32>; 2],
}

/// A connection that counts until this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    count: Rc<Count>,
    server: ServerId,
    socket: bool,
}

impl Count {
    /// None yet, and at most so many.
    pub(crate) fn new(most: ConnectionLimits) -> Rc<Self> {
        Rc::new(Count { most, ..Count::default() })
    }

    /// Whether all connections, or those of one server, are as many as they may be; `socket`:
    /// whether one more socket would be too many.
    pub(crate) fn is_full(&self, server: Option<ServerId>, socket: bool) -> bool {
        let (at, [open, sockets]) = match server {
            None => (0, self.all.get()),
            Some(server) => (1, self.of(server)),
        };
        let over = |most: Option<u32>, open| most.is_some_and(|most| open >= most);
        over(self.most.connections[at], open) || socket && over(self.most.sockets[at], sockets)
    }

    fn of(&self, server: ServerId) -> [u32; 2] {
        self.by_server.borrow().get(&server).copied().unwrap_or_default()
    }

    pub(crate) fn one(self: &Rc<Self>, server: ServerId, socket: bool) -> ConnectionPermit {
        let plus = |[open, sockets]: [u32; 2]| [open + 1, sockets + u32::from(socket)];
        self.all.set(plus(self.all.get()));
        let mut by_server = self.by_server.borrow_mut();
        let of = by_server.entry(server).or_default();
        *of = plus(*of);
        ConnectionPermit { count: self.clone(), server, socket }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let minus = |[open, sockets]: [u32; 2]| {
            [open.saturating_sub(1), sockets.saturating_sub(u32::from(self.socket))]
        };
        self.count.all.set(minus(self.count.all.get()));
        let mut by_server = self.count.by_server.borrow_mut();
        match by_server.get_mut(&self.server) {
            Some(of) if of[0] > 1 => *of = minus(*of),
            _ => drop(by_server.remove(&self.server)),
        }
    }
}

/// The outcome when an exchange breaks off.
pub(crate) fn broken(meter: &WriteProgress, error: &hyper::Error) -> Outcome {
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
            let meter = WriteProgress::default();
            meter.expect(body);
            meter.wrote(&request[..cut]);
            assert!(!meter.whole(), "{cut}");
            meter.wrote(&request[cut..]);
            assert!(meter.whole(), "{cut}");
        }
    }
}
