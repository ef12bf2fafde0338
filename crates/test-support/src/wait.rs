//! Waiting for conditions and holding threads back.

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for any condition; far more than one takes even on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition is met.
///
/// # Panics
/// The condition is not met within [`TEST_TIMEOUT`].
pub fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out waiting: {description}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Holds threads back while it is closed. Clones share one state; the default is open.
#[derive(Clone, Default)]
pub struct Latch {
    state: Arc<LatchState>,
}

#[derive(Default)]
struct LatchState {
    closed: Mutex<bool>,
    changed: Condvar,
}

impl Latch {
    /// A latch that is closed.
    #[must_use]
    pub fn closed() -> Self {
        let latch = Latch::default();
        latch.set(true);
        latch
    }

    /// Closes the latch, so that waiting threads stay blocked.
    pub fn close(&self) {
        self.set(true);
    }

    /// Opens the latch for all threads that wait at it.
    pub fn open(&self) {
        self.set(false);
    }

    fn set(&self, closed: bool) {
        *self.state.closed.lock().unwrap() = closed;
        self.state.changed.notify_all();
    }

    /// Waits until the latch is open, at most for [`TEST_TIMEOUT`].
    ///
    /// # Panics
    /// A thread that holds the latch's lock panicked.
    pub fn wait(&self) {
        let closed = self.state.closed.lock().unwrap();
        let waited = self.state.changed.wait_timeout_while(closed, TEST_TIMEOUT, |closed| *closed);
        drop(waited.unwrap());
    }
}
