//! What open WebSocket connections count for where the decision module compares requests in flight.
//!
//! The module counts each request as one. An idle socket is less than a request in progress, and
//! many of them are not nothing either. So of the handshakes at one server only as many stay in
//! flight, as the module sees it, as its open sockets weigh together.

use crate::budget::fraction_of;
use mintshelf_balancer::api::ServerId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Reports the end of a handshake's attempt.
type EndCallback = Box<dyn FnOnce()>;

#[derive(Default)]
struct ServerSockets {
    open: usize,
    /// Ends of the attempts that stay in flight.
    unreported: Vec<EndCallback>,
}

/// The open sockets of one cluster.
#[derive(Default)]
pub struct SocketLoad {
    weight: f64,
    servers: RefCell<HashMap<ServerId, ServerSockets>>,
    /// Attempts whose end is to be reported.
    due: RefCell<Vec<EndCallback>>,
}

/// A socket that counts until this is dropped.
#[must_use = "the socket counts for as long as this lives"]
pub struct SocketLoadGuard {
    load: Rc<SocketLoad>,
    server: ServerId,
}

impl SocketLoad {
    /// A cluster without sockets; each is to count for `weight` requests, 0 to 1.
    #[must_use]
    pub fn new(weight: f64) -> Rc<Self> {
        Rc::new(SocketLoad { weight, ..SocketLoad::default() })
    }

    /// Counts a socket; `on_end` reports the end of its handshake's attempt, now or later, when
    /// [`SocketLoad::report_due`] is called.
    pub fn open(self: &Rc<Self>, server: ServerId, on_end: EndCallback) -> SocketLoadGuard {
        let mut servers = self.servers.borrow_mut();
        let sockets = servers.entry(server).or_default();
        sockets.open += 1;
        sockets.unreported.push(on_end);
        self.release_excess(sockets);
        SocketLoadGuard { load: self.clone(), server }
    }

    /// Whether no socket is open.
    pub fn is_empty(&self) -> bool {
        self.servers.borrow().is_empty()
    }

    /// Makes due what is in flight beyond the weight of the open sockets.
    fn release_excess(&self, sockets: &mut ServerSockets) {
        let load = fraction_of(sockets.open, self.weight);
        let excess = sockets.unreported.split_off(load.min(sockets.unreported.len()));
        self.due.borrow_mut().extend(excess);
    }

    /// Reports the ends that are due. That calls back into the cluster's runtime, so it must not
    /// be called while the runtime handles an event.
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
        // In a task of its own, as the guard may be dropped while the runtime handles an event.
        tokio::task::spawn_local(async move { load.report_due() });
    }
}
