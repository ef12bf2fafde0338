//! Selects the replica that a member sends its requests to. Up to 2,000 members are spread evenly
//! over three or five replicas, and over the remaining ones if one fails, without a load spike
//! there.

use mintshelf_lease::command::Owner;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

/// If the selected replica does not respond within this time, the next one is selected.
pub const RESPONSE_TIMEOUT: Nanos = 800 * MILLISECOND;
/// Initial upper bound of the random backoff after a rejection, or after a round of all replicas
/// without a response. The bound doubles each time.
const BACKOFF_MIN: Nanos = 200 * MILLISECOND;
/// Maximum upper bound of the backoff.
const BACKOFF_MAX: Nanos = 5 * SECOND;
/// Maximum number of doublings; prevents an overflow of the shift. The bound reaches
/// [`BACKOFF_MAX`] before that.
const DOUBLINGS_MAX: usize = 8;
/// A member that uses another than its preferred replica returns to it after a random time between
/// one and two of these intervals.
const RETURN_INTERVAL: Nanos = 30 * SECOND;

/// Selects replicas for one incarnation of one member. Replicas are identified by their indexes.
#[derive(Debug, Clone)]
pub struct ReplicaSelector {
    /// Replicas in the member's order of preference.
    order: Vec<usize>,
    /// Position of the selected replica in `order`.
    position: usize,
    /// Time at which the oldest unanswered request to the selected replica was sent; `None` if no
    /// response is awaited.
    waiting_since: Option<Nanos>,
    /// Number of times that the next replica was selected since the last response.
    failures: usize,
    /// End of the last backoff, before which no replica is selected.
    backoff_until: Nanos,
    /// Time at which the member returns to its preferred replica; `Nanos::MAX` if no return is
    /// planned.
    return_to_preferred_at: Nanos,
    rng: Pcg64Mcg,
}

impl ReplicaSelector {
    /// Creates a selector of `replicas` replicas, at least one. The order of preference is derived
    /// from the member's name, so that a restart does not change it.
    #[must_use]
    pub fn new(owner: &Owner, replicas: usize) -> Self {
        let mut order: Vec<usize> = (0..replicas.max(1)).collect();
        // Rendezvous hashing: if a replica fails, its members spread evenly over the others.
        order.sort_by_key(|replica| xxh3_64(format!("{replica}/{}", owner.member).as_bytes()));
        let seed = xxh3_64(owner.member.as_bytes()) ^ owner.incarnation;
        ReplicaSelector {
            order,
            position: 0,
            waiting_since: None,
            failures: 0,
            backoff_until: 0,
            return_to_preferred_at: Nanos::MAX,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn random_below(&mut self, bound: Nanos) -> Nanos {
        self.rng.next_u64() % bound.max(1)
    }

    fn selected(&self) -> usize {
        self.order[self.position]
    }

    /// Returns the replica to send requests to at `now`; `None` during a backoff.
    pub fn select(&mut self, now: Nanos) -> Option<usize> {
        if self.waiting_since.is_some_and(|since| now >= since.saturating_add(RESPONSE_TIMEOUT)) {
            self.select_next(now);
        }
        if now >= self.return_to_preferred_at && self.waiting_since.is_none() {
            self.position = 0;
            self.return_to_preferred_at = Nanos::MAX;
        }
        (now >= self.backoff_until).then(|| self.selected())
    }

    /// Returns the time at which the result of [`ReplicaSelector::select`] may change next;
    /// `Nanos::MAX` if only an event can change it.
    #[must_use]
    pub fn next_change_at(&self, now: Nanos) -> Nanos {
        if now < self.backoff_until {
            return self.backoff_until;
        }
        let timeout_at = self.waiting_since.map(|since| since.saturating_add(RESPONSE_TIMEOUT));
        timeout_at.unwrap_or(Nanos::MAX).min(self.return_to_preferred_at)
    }

    /// Reports that a request was sent to the selected replica.
    pub fn request_sent(&mut self, now: Nanos) {
        self.waiting_since.get_or_insert(now);
    }

    /// Reports that a replica has responded; ignored unless it is the selected replica.
    pub fn response_received(&mut self, now: Nanos, replica: usize) {
        if replica != self.selected() {
            return;
        }
        self.waiting_since = None;
        self.failures = 0;
        if self.position == 0 {
            self.return_to_preferred_at = Nanos::MAX;
        } else if self.return_to_preferred_at == Nanos::MAX {
            let jitter = self.random_below(RETURN_INTERVAL);
            self.return_to_preferred_at = now.saturating_add(RETURN_INTERVAL + jitter);
        }
    }

    /// Reports that a replica has rejected the member or that the connection to the replica failed;
    /// ignored unless it is the selected replica.
    pub fn rejected(&mut self, now: Nanos, replica: usize) {
        if replica == self.selected() {
            self.select_next(now);
            self.back_off(now, self.failures - 1);
        }
    }

    fn select_next(&mut self, now: Nanos) {
        self.waiting_since = None;
        self.position = (self.position + 1) % self.order.len();
        self.failures = self.failures.saturating_add(1);
        let replicas = self.order.len();
        if self.failures.is_multiple_of(replicas) {
            self.back_off(now, self.failures / replicas - 1);
        }
    }

    /// Starts a random backoff, so that members that lost a replica at the same time do not retry
    /// at the same time.
    fn back_off(&mut self, now: Nanos, doublings: usize) {
        let bound = (BACKOFF_MIN << doublings.min(DOUBLINGS_MAX)).min(BACKOFF_MAX);
        let backoff = self.random_below(bound);
        self.backoff_until = self.backoff_until.max(now.saturating_add(backoff));
    }
}
