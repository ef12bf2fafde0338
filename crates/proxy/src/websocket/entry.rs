//! The registry's entry for one open socket, and the commands to the socket's task.

use mintshelf_admission::slots::SlotOwner;
use mintshelf_balancer::api::ServerId;
use mintshelf_time::Nanos;
use mintshelf_websocket::session::EvictionRequest;
use std::cell::{Cell, RefCell};
use std::task::Waker;

/// An eviction that is due at a given time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledEviction {
    /// The time when the socket disconnects from its server, in nanoseconds of the registry's
    /// clock.
    pub at_ns: Nanos,
    /// The close code and reason, and whether the socket may migrate.
    pub request: EvictionRequest,
}

/// A command to the task of one socket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SocketCommand {
    /// Disconnect from the current server at the scheduled time.
    Evict(ScheduledEviction),
    /// Send a WebSocket ping to the server now.
    ProbeServer,
}

/// Identifies a server of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerLocation {
    /// The number that identifies the cluster within the process.
    pub cluster: u32,
    /// The id of the server within the cluster.
    pub server: ServerId,
}

/// The state that the task of a socket shares with the registry.
pub struct SocketEntry {
    /// The tenant, route and cluster whose slot the socket uses.
    pub owner: SlotOwner,
    /// Identifies the request handler that accepted the socket.
    pub(super) handler_id: usize,
    location: Cell<ServerLocation>,
    /// The time when the last message was relayed, in nanoseconds of the registry's clock.
    last_message_at_ns: Cell<Nanos>,
    /// Whether an eviction of the socket from its current server is scheduled, or that server is
    /// lost.
    is_evicted: Cell<bool>,
    /// Whether the socket is being closed because its handler or the process shuts down.
    is_draining: Cell<bool>,
    /// The command that the task has not taken yet. A later command replaces an earlier one.
    command: RefCell<Option<SocketCommand>>,
    /// Wakes the task when there is a command.
    waker: Cell<Option<Waker>>,
}

impl SocketEntry {
    pub(super) fn new(
        owner: SlotOwner,
        handler_id: usize,
        location: ServerLocation,
        now: Nanos,
    ) -> Self {
        SocketEntry {
            owner,
            handler_id,
            location: Cell::new(location),
            last_message_at_ns: Cell::new(now),
            is_evicted: Cell::new(false),
            is_draining: Cell::new(false),
            command: RefCell::default(),
            waker: Cell::default(),
        }
    }

    /// Takes the pending command. If there is none, `waker` is woken by the next one.
    pub fn take_command(&self, waker: &Waker) -> Option<SocketCommand> {
        let command = self.command.borrow_mut().take();
        if command.is_none() {
            self.waker.set(Some(waker.clone()));
        }
        command
    }

    pub(super) fn send(&self, command: SocketCommand) {
        if matches!(command, SocketCommand::Evict(_)) {
            self.is_evicted.set(true);
        }
        *self.command.borrow_mut() = Some(command);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub(super) fn evict(&self, at_ns: Nanos, request: EvictionRequest) {
        self.send(SocketCommand::Evict(ScheduledEviction { at_ns, request }));
    }

    /// Returns the server that the socket is connected to.
    pub fn location(&self) -> ServerLocation {
        self.location.get()
    }

    /// Records that the socket has migrated to another server.
    pub fn set_location(&self, location: ServerLocation) {
        self.location.set(location);
        self.is_evicted.set(false);
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Records that the socket has lost its server, so that no command evicts it from there.
    pub(super) fn set_evicted(&self) {
        self.is_evicted.set(true);
    }

    pub(super) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    pub(super) fn set_draining(&self) {
        self.is_draining.set(true);
    }

    pub(super) fn last_message_at_ns(&self) -> Nanos {
        self.last_message_at_ns.get()
    }

    /// Sets the time of the last relayed message to `now`.
    pub(super) fn set_last_message_at(&self, now: Nanos) {
        self.last_message_at_ns.set(now);
    }
}
