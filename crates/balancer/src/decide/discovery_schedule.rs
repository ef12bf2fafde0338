//! Schedule of the polls of discovery.

use crate::api::NOTIFICATION_DEADLINE;
use crate::rng::Rng;
use mintshelf_time::{as_float, from_float, Nanos, MILLISECOND};

/// Maximum delay of the first poll: 2/5 of the time within which an instance must be notified of a
/// change.
const FIRST_POLL_JITTER: Nanos = NOTIFICATION_DEADLINE / 5 * 2;
/// Maximum delay of the poll after discovery's address has changed; the old address may stop
/// responding.
const ADDRESS_CHANGE_JITTER: Nanos = 600 * MILLISECOND;
/// Mean delay from a failed poll to the next poll.
const RETRY_DELAY: Nanos = NOTIFICATION_DEADLINE / 5;
/// Minimum factor by which jitter multiplies [`RETRY_DELAY`]; the maximum factor is greater by 1.
const MIN_RETRY_DELAY_FACTOR: f64 = 0.5;

/// State of this instance's watch on discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum DiscoveryState {
    /// No poll has begun since the start or since the last failure.
    #[default]
    Idle,
    /// A poll is in flight, and no watch is established.
    Pending,
    /// A watch is established.
    Watching,
}

impl DiscoveryState {
    /// Begins a poll. Returns false if a poll is in flight or a watch is established.
    #[must_use]
    pub(crate) fn begin_poll(&mut self) -> bool {
        let is_idle = *self == DiscoveryState::Idle;
        if is_idle {
            *self = DiscoveryState::Pending;
        }
        is_idle
    }

    /// Records that discovery has responded to the poll in flight, if there is one.
    pub(crate) fn on_response(&mut self) {
        if *self == DiscoveryState::Pending {
            *self = DiscoveryState::Watching;
        }
    }

    /// Records that the poll or the watch has failed or is obsolete.
    pub(crate) fn on_failure(&mut self) {
        *self = DiscoveryState::Idle;
    }
}

/// Returns the delay of the first poll, with jitter: instances that start together must not poll
/// discovery at the same time.
pub(crate) fn first_poll_delay(poll_within: Nanos, rng: &mut Rng) -> Nanos {
    uniform_jitter(poll_within.min(FIRST_POLL_JITTER), rng)
}

/// Returns the delay of the first poll of a new address, with jitter, since all instances learn the
/// address at the same time.
pub(crate) fn address_change_delay(rng: &mut Rng) -> Nanos {
    uniform_jitter(ADDRESS_CHANGE_JITTER, rng)
}

/// Returns the delay from a failed poll to the next poll.
pub(crate) fn retry_delay(rng: &mut Rng) -> Nanos {
    from_float(as_float(RETRY_DELAY) * (MIN_RETRY_DELAY_FACTOR + rng.draw()))
}

fn uniform_jitter(max: Nanos, rng: &mut Rng) -> Nanos {
    from_float(rng.draw() * as_float(max))
}
