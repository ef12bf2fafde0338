//! Relays one socket between its client and server connections: passes the received bytes to the
//! session, writes the session's output, and executes the actions that it requests.

use super::entry::{ScheduledEviction, ServerLocation, SocketCommand};
use super::reconnect::ServerConnection;
use super::registry::{RegisteredSocket, SlotReservation, SocketRegistry};
use crate::tcp::{close_gracefully, SharedStream};
use crate::upstream::response::UpgradedConnection;
use bytes::Bytes;
use mintshelf_time::{Nanos, SECOND};
use mintshelf_websocket::peer::Peer;
use mintshelf_websocket::session::{ClosedBy, Session, SessionAction, SessionEnd};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Sleep};

/// Connects the socket to another server; `None` if no server accepts it.
pub type Reconnect = dyn Fn() -> Pin<Box<dyn Future<Output = Option<ServerConnection>>>>;
/// Returns the seconds after which a client whose socket is closed may reconnect.
pub type RetryAfter = dyn Fn() -> u64;

/// Maximum time ahead for which a timer is set: one day.
const MAX_TIMER_NS: Nanos = 86_400 * SECOND;

/// An open socket and the resources that it owns.
pub struct Relay {
    /// The state of the WebSocket protocol between the client and the server.
    pub session: Session,
    /// The connection to the client.
    pub client: SharedStream,
    /// The connection to the server.
    pub server: Box<UpgradedConnection>,
    /// The registry of all sockets.
    pub registry: Rc<SocketRegistry>,
    /// The registration of this socket.
    pub socket: RegisteredSocket,
    /// The slot of this socket among the limited open sockets, released when the relay is dropped.
    pub slot: SlotReservation,
    /// The scheduled disconnection from the current server; `None` if none is scheduled.
    pub eviction: Option<ScheduledEviction>,
}

/// An event that interrupts the transfer between the connections.
enum RelayEvent {
    Action(SessionAction),
    Ended(SessionEnd),
}

/// The result of applying the registry's pending commands to a socket.
enum Commands {
    NonePending,
    Applied,
    EvictionScheduled,
}

impl Relay {
    /// Relays until the socket has ended. `read_ahead` are bytes that the client sent after its
    /// handshake.
    pub async fn run(
        mut self,
        read_ahead: Bytes,
        reconnect: Box<Reconnect>,
        retry_after: Box<RetryAfter>,
    ) {
        let clock = self.registry.clock();
        self.session.receive(Peer::Client, &read_ahead, clock.now());
        drop(read_ahead);
        self.receive_server_read_ahead();
        let mut timer = Box::pin(sleep_until(clock.instant(self.session.next_deadline())));
        loop {
            match poll_fn(|cx| self.poll(cx, &mut timer)).await {
                RelayEvent::Ended(end) => return Box::pin(self.close(end)).await,
                RelayEvent::Action(SessionAction::ServerLost) => {
                    // The connection is of no use; the server's socket slot is free.
                    let migrate_at = self.registry.schedule_after_loss(&self.socket.entry);
                    sleep_until(clock.instant(migrate_at)).await;
                    self.session.migrate_or_close(retry_after(), clock.now());
                }
                RelayEvent::Action(SessionAction::Migrate) => match reconnect().await {
                    Some(connection) => self.migrate(connection),
                    None => self.session.fail_migration(retry_after(), clock.now()),
                },
            }
        }
    }

    /// Passes the bytes that the server sent after its handshake response to the session.
    fn receive_server_read_ahead(&mut self) {
        let read_ahead = std::mem::take(&mut self.server.read_ahead);
        self.session.receive(Peer::Server, &read_ahead, self.registry.clock().now());
    }

    /// Continues the socket on the connection to another server.
    fn migrate(&mut self, connection: ServerConnection) {
        let close_frame = self.session.complete_migration(self.registry.clock().now());
        let old_server = std::mem::replace(&mut self.server, Box::new(connection.socket));
        let location =
            ServerLocation { cluster: connection.cluster, server: self.server.target.server };
        self.socket.entry.set_location(location);
        self.socket.record_migration();
        // A scheduled eviction from the old server is done by the migration.
        self.eviction = self.eviction.take().filter(|eviction| !eviction.request.may_migrate);
        self.receive_server_read_ahead();
        spawn_local(close_old_server(old_server, close_frame));
    }

    fn poll(&mut self, cx: &mut Context<'_>, timer: &mut Pin<Box<Sleep>>) -> Poll<RelayEvent> {
        loop {
            let mut has_progressed = self.transfer(cx);
            let now = self.registry.clock().now();
            match self.apply_commands(cx, now) {
                Commands::NonePending => {}
                Commands::Applied => has_progressed = true,
                Commands::EvictionScheduled => continue,
            }
            has_progressed |= self.evict_if_due(now);
            has_progressed |= self.handle_timers_if_due(now);
            if let Some(event) = self.take_event() {
                self.socket.record_progress(&self.session, now);
                return Poll::Ready(event);
            }
            if has_progressed {
                continue;
            }
            self.socket.record_progress(&self.session, now);
            self.set_timer(timer, now);
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn apply_commands(&mut self, cx: &Context<'_>, now: Nanos) -> Commands {
        let mut commands = Commands::NonePending;
        while let Some(command) = self.socket.entry.take_command(cx.waker()) {
            match command {
                SocketCommand::Evict(eviction) => {
                    self.eviction = Some(eviction);
                    return Commands::EvictionScheduled;
                }
                SocketCommand::ProbeServer => self.session.probe_server(now),
            }
            commands = Commands::Applied;
        }
        commands
    }

    /// Starts the eviction if it is due, and returns whether it was.
    fn evict_if_due(&mut self, now: Nanos) -> bool {
        if !self.session.is_open() {
            return false;
        }
        let due = self.eviction.take_if(|eviction| eviction.at_ns <= now);
        let Some(eviction) = due else { return false };
        self.session.evict(eviction.request, now);
        true
    }

    fn handle_timers_if_due(&mut self, now: Nanos) -> bool {
        let is_due = self.session.next_deadline() <= now;
        if is_due {
            self.session.handle_timers(now);
        }
        is_due
    }

    fn take_event(&mut self) -> Option<RelayEvent> {
        match self.session.take_action() {
            Some(action) => Some(RelayEvent::Action(action)),
            None => self.session.end().map(RelayEvent::Ended),
        }
    }

    /// Sets the timer to the session's next deadline or the eviction, whichever is earlier.
    fn set_timer(&self, timer: &mut Pin<Box<Sleep>>, now: Nanos) {
        let eviction = self.eviction.as_ref().filter(|_| self.session.is_open());
        let eviction_at_ns = eviction.map_or(Nanos::MAX, |eviction| eviction.at_ns);
        let next_ns = self.session.next_deadline().min(eviction_at_ns).min(now + MAX_TIMER_NS);
        let next = self.registry.clock().instant(next_ns);
        if timer.deadline() != next {
            timer.as_mut().reset(next);
        }
    }

    /// Reads and writes as much as is possible now, and returns whether there was any progress.
    fn transfer(&mut self, cx: &mut Context<'_>) -> bool {
        let mut has_progressed = false;
        for peer in [Peer::Server, Peer::Client] {
            has_progressed |= self.read(peer, cx);
            has_progressed |= self.write(peer.other(), cx);
            has_progressed |= self.write(peer, cx);
        }
        has_progressed
    }

    fn stream(&self, peer: Peer) -> &SharedStream {
        match peer {
            Peer::Client => &self.client,
            Peer::Server => &self.server.stream,
        }
    }

    fn read(&mut self, peer: Peer, cx: &mut Context<'_>) -> bool {
        if !self.session.wants_read(peer) {
            return false;
        }
        let registry = self.registry.clone();
        let mut scratch = registry.scratch.borrow_mut();
        let mut buffer = ReadBuf::new(&mut scratch[..registry.read_size()]);
        let polled = {
            let mut stream = self.stream(peer).borrow_mut();
            Pin::new(&mut *stream).poll_read(cx, &mut buffer)
        };
        let now = registry.clock().now();
        match polled {
            Poll::Pending => return false,
            Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                self.session.receive(peer, buffer.filled(), now);
            }
            Poll::Ready(_) => self.session.peer_disconnected(peer, now),
        }
        true
    }

    fn write(&mut self, peer: Peer, cx: &mut Context<'_>) -> bool {
        let mut has_progressed = false;
        while !self.session.pending_output(peer).is_empty() {
            let polled = {
                let mut stream = self.stream(peer).borrow_mut();
                Pin::new(&mut *stream).poll_write(cx, self.session.pending_output(peer))
            };
            let now = self.registry.clock().now();
            match polled {
                Poll::Pending => break,
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.session.record_written(peer, count, now);
                }
                Poll::Ready(_) => {
                    self.session.peer_disconnected(peer, now);
                    return true;
                }
            }
            has_progressed = true;
        }
        has_progressed
    }

    /// Closes both connections, gracefully if the closing handshake was completed.
    async fn close(self, end: SessionEnd) {
        let Relay { session, client, server, socket, slot, .. } = self;
        socket.record_end(end);
        drop(socket);
        let client_closed_cleanly = session.closed_cleanly(Peer::Client);
        let server_closed_cleanly = session.closed_cleanly(Peer::Server);
        drop(session);
        // Leaves the client time to read what was sent to it.
        let linger_for_client = client_closed_cleanly || end.by != ClosedBy::Client;
        tokio::join!(
            async {
                if linger_for_client {
                    close_gracefully(&client).await;
                }
            },
            async {
                if server_closed_cleanly {
                    close_gracefully(&server.stream).await;
                }
                drop(server);
            }
        );
        drop(slot);
    }
}

/// Closes the connection to the old server after a migration.
async fn close_old_server(server: Box<UpgradedConnection>, close_frame: Vec<u8>) {
    if !close_frame.is_empty() && server.stream.borrow().try_write(&close_frame).is_ok() {
        close_gracefully(&server.stream).await;
    }
}
