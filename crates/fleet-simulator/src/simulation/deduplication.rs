//! The deduplication of idempotent requests, which all servers share.

use crate::scenario::DEDUP_WINDOW;
use mintshelf_time::Nanos;
use std::collections::HashMap;

/// Times at which the idempotent requests first ran, by client.
#[derive(Default)]
pub(super) struct Deduplication {
    first_run_at: HashMap<usize, Nanos>,
}

impl Deduplication {
    /// Whether a client's request is discarded as a repeat; otherwise its window begins.
    pub(super) fn is_repeat(&mut self, now: Nanos, client: usize) -> bool {
        let first_run_at = self.first_run_at.get(&client).copied();
        let is_repeat = first_run_at.is_some_and(|first| now - first < DEDUP_WINDOW);
        if !is_repeat {
            self.first_run_at.insert(client, now);
        }
        is_repeat
    }
}
