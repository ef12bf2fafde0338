//! How far the event loop is behind: what arrives is read late while it is.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time between two beats. What arrives waits unnoticed for up to this long.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Measures by a regular timer for how long the event loop has not got round to its work.
///
/// The loop polls sockets and timers together, and wakes the tasks of sockets first. So what waited
/// to be read while the loop was busy, or the process had no processor, is read before the beat
/// that was due meanwhile.
#[derive(Debug)]
pub struct LoopMonitor {
    last_beat: Cell<Instant>,
}

impl Default for LoopMonitor {
    fn default() -> Self {
        LoopMonitor { last_beat: Cell::new(Instant::now()) }
    }
}

impl LoopMonitor {
    /// Takes the beats; never ends.
    pub async fn run(&self) {
        loop {
            sleep(BEAT_INTERVAL).await;
            self.last_beat.set(Instant::now());
        }
    }

    /// How long what is read now may have waited, beyond a beat's interval.
    pub fn lag(&self) -> Duration {
        self.last_beat.get().elapsed().saturating_sub(BEAT_INTERVAL)
    }
}
