//! What open sockets weigh where the decision module compares how much is under way.
//!
//! The module counts requests, each for one. An idle socket is not a request at work, and many
//! of them are not nothing either. So of the handshakes at one server only as many stay under
//! way, in the module's eyes, as its open sockets weigh together.

use mintshelf_balancer::api::ServerId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

type End = Box<dyn FnOnce()>;

#[derive(Default)]
struct AtServer {
    open: u32,
    /// Ends of the attempts that stay under way.
    held: Vec<End>,
}

/// The open sockets of one cluster.
#[derive(Default)]
pub struct SocketLoad {
    weight: f64,
    servers: RefCell<HashMap<ServerId, AtServer>>,
    /// Attempts whose end is to be told.
    due: RefCell<Vec<End>>,
}

/// A socket that counts until this is dropped.
pub struct SocketLoadGuard {
    weights: Rc<SocketLoad>,
    server: ServerId,
}

impl SocketLoad {
    /// None open; each is to count for so much of a request.
    pub fn new(weight: f64) -> Rc<Self> {
        Rc::new(SocketLoad { weight, ..SocketLoad::default() })
    }

    /// A socket opens; `end` tells of the end of its handshake's attempt, now or later, once
    /// [`SocketLoad::settle`] is called.
    pub fn open(self: &Rc<Self>, server: ServerId, end: End) -> SocketLoadGuard {
        let mut servers = self.servers.borrow_mut();
        let at = servers.entry(server).or_default();
        at.open += 1;
        at.held.push(end);
        self.even(at);
        SocketLoadGuard { weights: self.clone(), server }
    }

    /// Lets go of what is more than the open sockets weigh.
    fn even(&self, at: &mut AtServer) {
        let weigh = (f64::from(at.open) * self.weight) as usize;
        let more = at.held.split_off(weigh.min(at.held.len()));
        self.due.borrow_mut().extend(more);
    }

    /// Tells of the ends that are due. Danger: that comes back to the driver, so never while
    /// that is at work.
    pub fn settle(&self) {
        let due = std::mem::take(&mut *self.due.borrow_mut());
        due.into_iter().for_each(|end| end());
    }
}

impl Drop for SocketLoadGuard {
    fn drop(&mut self) {
        let mut servers = self.weights.servers.borrow_mut();
        if let Some(at) = servers.get_mut(&self.server) {
            at.open = at.open.saturating_sub(1);
            self.weights.even(at);
            if at.open == 0 {
                servers.remove(&self.server);
            }
        }
        drop(servers);
        let weights = self.weights.clone();
        // Dropped in the midst of the driver's work, too.
        tokio::task::spawn_local(async move { weights.settle() });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;

    #[test]
    fn so_many_stay_under_way_as_the_open_ones_weigh() {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let weights = SocketLoad::new(0.25);
            let under_way = Rc::new(Cell::new(0));
            let open = |server| {
                under_way.set(under_way.get() + 1);
                let count = under_way.clone();
                let weighed = weights.open(server, Box::new(move || count.set(count.get() - 1)));
                weights.settle();
                weighed
            };
            let mut all: Vec<_> = (0..9).map(|_| open(1)).collect();
            assert_eq!(under_way.get(), 2);
            all.push(open(2));
            assert_eq!(under_way.get(), 2, "one alone weighs less than a request");
            // Whichever ends: what is left weighs what it weighs.
            all.drain(0..3);
            tokio::task::yield_now().await;
            assert_eq!(under_way.get(), 1);
            drop(all);
            tokio::task::yield_now().await;
            assert_eq!(under_way.get(), 0);
            assert!(weights.servers.borrow().is_empty());
        });
    }
}
