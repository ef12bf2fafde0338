//! The load of open WebSocket connections, where the decision module compares servers by requests
//! in flight.
//!
//! The module counts every request in flight as one. An open socket is less load than a request in
//! progress, but many of them add up. So each socket has a weight between 0 and 1, and of the
//! handshake attempts at a server only as many are kept in flight, as seen by the module, as the
//! weights of its open sockets add up to, rounded down.

use crate::budget::fraction_of;
use mintshelf_balancer::api::ServerId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Reports the end of a handshake attempt.
type EndCallback = Box<dyn FnOnce()>;

#[derive(Default)]
struct ServerSockets {
    open: usize,
    /// Handshake attempts that are kept in flight: their ends have not been reported.
    unreported: Vec<EndCallback>,
}

/// The load of the open sockets of one cluster.
#[derive(Default)]
pub struct SocketLoad {
    weight: f64,
    servers: RefCell<HashMap<ServerId, ServerSockets>>,
    /// Attempts whose ends are to be reported by the next [`SocketLoad::report_due`].
    due: RefCell<Vec<EndCallback>>,
}

/// Counts a socket as open until dropped.
#[must_use = "the socket counts for as long as this lives"]
pub struct SocketLoadGuard {
    load: Rc<SocketLoad>,
    server: ServerId,
}

impl SocketLoad {
    /// Creates the load of a cluster without sockets. `weight`, from 0 to 1, is the load of a
    /// socket relative to a request in flight.
    #[must_use]
    pub fn new(weight: f64) -> Rc<Self> {
        Rc::new(SocketLoad { weight, ..SocketLoad::default() })
    }

    /// Counts a new socket. `on_end` reports the end of the handshake attempt; the next or a later
    /// call of [`SocketLoad::report_due`] calls `on_end`.
    pub fn open(self: &Rc<Self>, server: ServerId, on_end: EndCallback) -> SocketLoadGuard {
        let mut servers = self.servers.borrow_mut();
        let sockets = servers.entry(server).or_default();
        sockets.open += 1;
        sockets.unreported.push(on_end);
        self.release_excess(sockets);
        SocketLoadGuard { load: self.clone(), server }
    }

    /// Returns whether no socket is open.
    pub fn is_empty(&self) -> bool {
        self.servers.borrow().is_empty()
    }

    /// Moves to `due` the ends of those attempts in flight that exceed the load of the open
    /// sockets.
    fn release_excess(&self, sockets: &mut ServerSockets) {
        let load = fraction_of(sockets.open, self.weight);
        let excess = sockets.unreported.split_off(load.min(sockets.unreported.len()));
        self.due.borrow_mut().extend(excess);
    }

    /// Reports the ends that are due. This calls into the cluster's runtime, so it must not be called
    /// while the runtime handles an event.
    pub fn report_due(&self) {
        let due = std::mem::take(&mut *self.due.borrow_mut());
        for report_end in due {
            report_end();
        }
    }
}

impl Drop for SocketLoadGuard {
    fn drop(&mut self) {
        let mut servers = self.load.servers.borrow_mut();
        if let Some(sockets) = servers.get_mut(&self.server) {
            sockets.open = sockets.open.saturating_sub(1);
            self.load.release_excess(sockets);
            if sockets.open == 0 {
                servers.remove(&self.server);
            }
        }
        drop(servers);
        let load = self.load.clone();
        // In a separate task, as the guard may be dropped while the runtime handles an event.
        tokio::task::spawn_local(async move { load.report_due() });
    }
}
