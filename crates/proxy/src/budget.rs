//! Limits of the process on file descriptors and on the memory for buffered bodies.

use crate::headers::BODY_MAX;
use crate::memory::MemoryBudget;
use mintshelf_config::model::{BODY_SHARE, UPSTREAM_SHARE};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

/// Descriptors that are not available to client and server connections: standard streams, the
/// reactor, the signal pipe, the listener, the datagram socket, two discovery connections and one
/// connection that is being accepted. The number is doubled for margin.
const RESERVED_DESCRIPTORS: usize = 32;

/// The descriptors and memory of the process, divided among their uses.
#[derive(Debug)]
pub struct ResourceBudget {
    /// One permit for each client connection.
    pub clients: Arc<Semaphore>,
    /// One permit for each connection to a server, idle ones included.
    pub upstream: Arc<Semaphore>,
    /// One permit for each byte of buffered request bodies.
    pub bodies: Arc<Semaphore>,
    /// The memory that the process may allocate.
    pub memory: Rc<MemoryBudget>,
}

/// The budgets that a request body is counted against.
#[derive(Debug, Clone)]
pub struct BodyBudgets {
    /// One permit for each byte of buffered request bodies.
    pub bytes: Arc<Semaphore>,
    /// The memory that the process may allocate.
    pub memory: Rc<MemoryBudget>,
}

impl ResourceBudget {
    /// Returns the budgets that request bodies are counted against.
    #[must_use]
    pub fn for_bodies(&self) -> BodyBudgets {
        BodyBudgets { bytes: self.bodies.clone(), memory: self.memory.clone() }
    }

    /// Divides the given number of descriptors, and the memory.
    #[must_use]
    pub fn new(descriptors: usize, memory: MemoryBudget) -> Self {
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let upstream = fraction_of(connections, UPSTREAM_SHARE);
        let body_bytes = fraction_of(memory.limit(), BODY_SHARE);
        ResourceBudget {
            clients: Arc::new(Semaphore::new(connections - upstream)),
            upstream: Arc::new(Semaphore::new(upstream)),
            bodies: Arc::new(Semaphore::new(body_bytes.clamp(BODY_MAX, Semaphore::MAX_PERMITS))),
            memory: Rc::new(memory),
        }
    }
}

/// Multiplies a number by a fraction between 0 and 1, rounding down.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction of a number fits its type; the numbers are far below 2^53"
)]
pub(crate) fn fraction_of(total: usize, fraction: f64) -> usize {
    (total as f64 * fraction) as usize
}

/// Acquires permits to buffer `bytes` bytes of a body.
///
/// # Errors
/// Returns an error if the semaphore is closed.
pub(crate) async fn acquire_bytes(
    budget: &Arc<Semaphore>,
    bytes: usize,
) -> Result<OwnedSemaphorePermit, AcquireError> {
    let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
    budget.clone().acquire_many_owned(permits).await
}
