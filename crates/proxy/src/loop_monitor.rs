//! How far the event loop is behind: what arrives is read late while it is.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep, Instant};

/// Time between two beats. What arrives waits unnoticed for up to this long.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);
/// A beat that takes longer is followed by another at once.
const LATE_BEAT: Duration = Duration::from_millis(10);

/// Measures by a regular beat for how long the event loop has not got round to its work.
///
/// A beat yields. The loop then polls the sockets, wakes their tasks, and the beat's task behind
/// them; tasks run in the order in which they were woken. So all that had come before the beat has
/// been read when it ends, and the beat counts from its begin. That holds for a task of its own
/// alone: the future that the loop blocks on is polled before all tasks.
#[derive(Debug)]
pub struct LoopMonitor {
    last_beat: Rc<Cell<Instant>>,
    beats: AbortHandle,
}

impl LoopMonitor {
    /// Starts to follow the event loop of this thread; in a `tokio::task::LocalSet`.
    pub fn start() -> Self {
        let last_beat = Rc::new(Cell::new(Instant::now()));
        let beats = spawn_local(take_beats(last_beat.clone())).abort_handle();
        LoopMonitor { last_beat, beats }
    }

    /// How long what is read now may have waited, beyond a beat's interval.
    pub fn lag(&self) -> Duration {
        self.last_beat.get().elapsed().saturating_sub(BEAT_INTERVAL)
    }
}

impl Drop for LoopMonitor {
    fn drop(&mut self) {
        self.beats.abort();
    }
}

async fn take_beats(last_beat: Rc<Cell<Instant>>) {
    loop {
        sleep(BEAT_INTERVAL).await;
        loop {
            let began_at = Instant::now();
            yield_now().await;
            last_beat.set(began_at);
            if began_at.elapsed() < LATE_BEAT {
                break;
            }
        }
    }
}
