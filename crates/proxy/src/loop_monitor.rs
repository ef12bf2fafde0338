//! Measures the lag of the event loop, which delays the reading of what arrives.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep, Instant};

/// Time between two ticks. A delay of up to this long is not measured.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A tick that takes longer than this is followed immediately by another.
const LATE_TICK_THRESHOLD: Duration = Duration::from_millis(10);

/// Measures the lag of the event loop with a periodic task.
///
/// At each tick the task yields. The event loop then polls the sockets, wakes their tasks, and
/// wakes this task after them; tasks run in the order in which they were woken. When this task runs
/// again, everything that had arrived before the start of the tick has been read, so the start is
/// recorded as the time of the tick. This has to be a separate task: the future that the loop
/// blocks on is polled before all tasks.
#[derive(Debug)]
pub struct LoopMonitor {
    last_tick: Rc<Cell<Instant>>,
    task: AbortHandle,
}

impl LoopMonitor {
    /// Starts to measure this thread's event loop. Must be called in a `tokio::task::LocalSet`.
    #[must_use]
    pub fn start() -> Self {
        let last_tick = Rc::new(Cell::new(Instant::now()));
        let task = spawn_local(run_ticks(last_tick.clone())).abort_handle();
        LoopMonitor { last_tick, task }
    }

    /// Returns how long data that is read now may have waited, less the interval between ticks.
    #[must_use]
    pub fn lag(&self) -> Duration {
        self.last_tick.get().elapsed().saturating_sub(TICK_INTERVAL)
    }
}

impl Drop for LoopMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run_ticks(last_tick: Rc<Cell<Instant>>) {
    loop {
        sleep(TICK_INTERVAL).await;
        loop {
            let began_at = Instant::now();
            yield_now().await;
            last_tick.set(began_at);
            if began_at.elapsed() < LATE_TICK_THRESHOLD {
                break;
            }
        }
    }
}
