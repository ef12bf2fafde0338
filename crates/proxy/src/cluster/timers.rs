//! Timers of the decision module.

use mintshelf_time::Nanos;
use std::collections::HashMap;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio_util::time::{delay_queue, DelayQueue};

/// Timers that the decision module sets, identified by tokens.
#[derive(Default)]
pub(crate) struct TimerQueue {
    queue: DelayQueue<u64>,
    keys: HashMap<u64, delay_queue::Key>,
}

impl TimerQueue {
    /// Sets a timer that expires `after` nanoseconds from now.
    pub(crate) fn set(&mut self, token: u64, after: Nanos) {
        let key = self.queue.insert(token, Duration::from_nanos(after));
        self.keys.insert(token, key);
    }

    /// Cancels the timer with this token, if the timer is set.
    pub(crate) fn cancel(&mut self, token: u64) {
        if let Some(key) = self.keys.remove(&token) {
            self.queue.try_remove(&key);
        }
    }

    /// Returns the number of timers that are set.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Polls for the next timer to expire; removes it and returns its token.
    pub(crate) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<u64> {
        match self.queue.poll_expired(cx) {
            Poll::Ready(Some(expired)) => {
                let token = expired.into_inner();
                self.keys.remove(&token);
                Poll::Ready(token)
            }
            // A later insertion into an empty queue wakes the task.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }
}
