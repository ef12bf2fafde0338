//! Budgets: descriptors and the bytes of bodies held.

use crate::headers::BODY_MAX;
use mintshelf_config::model::{BODY_SHARE, UPSTREAM_SHARE};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Descriptors that are neither clients' nor servers' connections: standard
/// streams, the reactor's own, the signal pipe, the listener, the datagram
/// socket, discovery's two connections, one being accepted; doubled for margin.
const OTHER_DESCRIPTORS: usize = 32;
/// What the process may hold at one time.
#[derive(Debug)]
pub struct ResourceBudget {
    /// Connections of clients.
    pub clients: Arc<Semaphore>,
    /// Connections to servers, idle ones too.
    pub upstream: Arc<Semaphore>,
    /// Bytes of requests' bodies.
    pub bodies: Arc<Semaphore>,
}

impl ResourceBudget {
    /// Divides so many descriptors and bytes of memory.
    pub fn new(sockets: usize, memory: usize) -> Self {
        let sockets = sockets.saturating_sub(OTHER_DESCRIPTORS);
        let upstream = (sockets as f64 * UPSTREAM_SHARE) as usize;
        let bodies = (memory as f64 * BODY_SHARE) as usize;
        ResourceBudget {
            clients: Arc::new(Semaphore::new(sockets - upstream)),
            upstream: Arc::new(Semaphore::new(upstream)),
            bodies: Arc::new(Semaphore::new(bodies.clamp(BODY_MAX, Semaphore::MAX_PERMITS))),
        }
    }
}
