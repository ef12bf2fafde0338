//! One socket's two connections: bytes into its session, bytes and closes out of it.

use super::registry::{Listed, Order, Seated, Sockets};
use crate::tcp::{close_gently, SharedStream};
use crate::upstream::response::UpgradedConnection;
use bytes::Bytes;
use mintshelf_balancer::api::Nanos;
use mintshelf_websocket::frame::Peer;
use mintshelf_websocket::session::{ClosedBy, LeaveRequest, Session, SessionAction, SessionEnd};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Sleep};

/// Opens a socket again at another server; none if there is none.
pub type Reopen = dyn Fn() -> Pin<Box<dyn Future<Output = Option<(u32, UpgradedConnection)>>>>;
/// When a client is told to come back, in seconds.
pub type Advice = dyn Fn() -> u64;

/// A socket at work.
pub struct Relay {
    /// What it has come to.
    pub session: Session,
    /// The client's connection.
    pub client: SharedStream,
    /// The server's.
    pub server: Box<UpgradedConnection>,
    /// All sockets.
    pub sockets: Rc<Sockets>,
    /// This one among them.
    pub listed: Listed,
    /// Its seat.
    pub seated: Seated,
}

/// Why the two are no longer read and written for now.
enum Pause {
    SessionAction(SessionAction),
    LeaveRequest(Nanos, LeaveRequest),
    SessionEnd(SessionEnd),
}

impl Relay {
    /// Carries the socket to its end. `rest` was read from the client behind its handshake.
    pub async fn run(mut self, rest: Bytes, reopen: Box<Reopen>, advice: Box<Advice>) {
        let clock = self.sockets.clock();
        self.session.received(Peer::Client, &rest, clock.now());
        drop(rest);
        let ahead = std::mem::take(&mut self.server.read_ahead);
        self.session.received(Peer::Server, &ahead, clock.now());
        drop(ahead);
        let mut timer = Box::pin(sleep_until(clock.instant(self.session.next())));
        let mut leave = None;
        loop {
            let pause = poll_fn(|cx| self.poll(cx, &mut timer, &mut leave)).await;
            match pause {
                Pause::SessionEnd(over) => return Box::pin(self.end(over)).await,
                Pause::LeaveRequest(at, order) => leave = Some((at, order)),
                Pause::SessionAction(SessionAction::Lost) => {
                    // Its connection is of no use; its place at the server is free.
                    let slot = self.sockets.lost(&self.listed.entry);
                    sleep_until(clock.instant(slot)).await;
                    self.session.go(advice(), clock.now());
                }
                Pause::SessionAction(SessionAction::Move) => match reopen().await {
                    Some((pool, server)) => {
                        let farewell = self.session.moved(clock.now());
                        let old = std::mem::replace(&mut self.server, Box::new(server));
                        self.listed.entry.at(pool, self.server.target.server);
                        self.listed.moved();
                        // An order to leave the one that it has left is carried out.
                        leave = leave.filter(|(_, order): &(_, LeaveRequest)| !order.moves);
                        let ahead = std::mem::take(&mut self.server.read_ahead);
                        self.session.received(Peer::Server, &ahead, clock.now());
                        spawn_local(part(old, farewell));
                    }
                    None => self.session.stays(advice(), clock.now()),
                },
            }
        }
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
        timer: &mut Pin<Box<Sleep>>,
        leave: &mut Option<(Nanos, LeaveRequest)>,
    ) -> Poll<Pause> {
        let clock = self.sockets.clock();
        loop {
            let mut progress = self.pass(cx);
            let now = clock.now();
            while let Some(order) = self.listed.entry.take_order(cx.waker()) {
                match order {
                    Order::LeaveRequest(at, order) => {
                        return Poll::Ready(Pause::LeaveRequest(at, order))
                    }
                    Order::Doubt => self.session.doubt(now),
                }
                progress = true;
            }
            let may_leave = self.session.is_open();
            if may_leave && leave.as_ref().is_some_and(|(at, _)| *at <= now) {
                if let Some((_, order)) = leave.take() {
                    self.session.leave(order, now);
                    progress = true;
                }
            }
            if self.session.next() <= now {
                self.session.tick(now);
                progress = true;
            }
            if let Some(act) = self.session.act() {
                self.listed.note(&self.session, now);
                return Poll::Ready(Pause::SessionAction(act));
            }
            if let Some(over) = self.session.over() {
                self.listed.note(&self.session, now);
                return Poll::Ready(Pause::SessionEnd(over));
            }
            if progress {
                continue;
            }
            self.listed.note(&self.session, now);
            let leave_at = leave.as_ref().filter(|_| self.session.is_open());
            let leave_at = leave_at.map_or(Nanos::MAX, |(at, _)| *at);
            let next = clock.instant(self.session.next().min(leave_at).min(now + FAR));
            if timer.deadline() != next {
                timer.as_mut().reset(next);
            }
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Passes what can pass now; whether something did.
    fn pass(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        for end in [Peer::Server, Peer::Client] {
            progress |= self.read(end, cx);
            progress |= self.write(end.other(), cx);
            progress |= self.write(end, cx);
        }
        progress
    }

    fn stream(&self, end: Peer) -> &SharedStream {
        match end {
            Peer::Client => &self.client,
            Peer::Server => &self.server.stream,
        }
    }

    fn read(&mut self, end: Peer, cx: &mut Context<'_>) -> bool {
        if !self.session.wants_read(end) {
            return false;
        }
        let sockets = self.sockets.clone();
        let mut scratch = sockets.scratch.borrow_mut();
        let most = sockets.read_size();
        let mut buffer = ReadBuf::new(&mut scratch[..most]);
        let polled = {
            let mut stream = self.stream(end).borrow_mut();
            Pin::new(&mut *stream).poll_read(cx, &mut buffer)
        };
        let now = sockets.clock().now();
        match polled {
            Poll::Pending => return false,
            Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                self.session.received(end, buffer.filled(), now);
            }
            Poll::Ready(_) => self.session.ended(end, now),
        }
        true
    }

    fn write(&mut self, end: Peer, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        while !self.session.to_write(end).is_empty() {
            let polled = {
                let mut stream = self.stream(end).borrow_mut();
                Pin::new(&mut *stream).poll_write(cx, self.session.to_write(end))
            };
            let now = self.sockets.clock().now();
            match polled {
                Poll::Pending => break,
                Poll::Ready(Ok(count)) if count > 0 => self.session.wrote(end, count, now),
                Poll::Ready(_) => {
                    self.session.ended(end, now);
                    return true;
                }
            }
            progress = true;
        }
        progress
    }

    /// Both connections end: quietly where the closing handshake was gone through.
    async fn end(self, over: SessionEnd) {
        let Relay { session, client, server, listed, seated, .. } = self;
        listed.over(over);
        drop(listed);
        let well = [Peer::Client, Peer::Server].map(|end| session.ended_well(end));
        drop(session);
        // A client that was told something is given the time to read it.
        let told = well[0] || over.by != ClosedBy::Client;
        tokio::join!(
            async {
                if told {
                    close_gently(&client).await;
                }
            },
            async {
                if well[1] {
                    close_gently(&server.stream).await;
                }
                drop(server);
            }
        );
        drop(seated);
    }
}

/// A timer is set no further ahead than this.
const FAR: Nanos = 86_400_000_000_000;

/// Parts with a server that another has taken the place of.
async fn part(server: Box<UpgradedConnection>, farewell: Vec<u8>) {
    if !farewell.is_empty() && server.stream.borrow().try_write(&farewell).is_ok() {
        close_gently(&server.stream).await;
    }
}
