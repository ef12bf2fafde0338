//! Client state machine of one quota: requests grants and provides the current limit.

use crate::allocation::{AllocationRequest, AllocationResponse, Grant, NO_GRANT};
use crate::config::Quota;
use mintshelf_lease::command::Owner;
use mintshelf_time::Nanos;
use std::collections::VecDeque;

/// Maximum number of requests whose responses are awaited. With three requests per grant duration,
/// a grant in response to an older request would have expired.
const SENT_REQUESTS_MAX: usize = 4;
/// Number of requests sent within the duration of one grant.
const REQUESTS_PER_GRANT: Nanos = 3;
/// A demand that has grown by more than this factor is requested immediately.
const URGENT_GROWTH_FACTOR: u64 = 2;

/// A grant and its expiry on the member's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ActiveGrant {
    grant: Grant,
    expires_at: Nanos,
}

/// A request that has no response yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct SentRequest {
    sequence: u64,
    sent_at: Nanos,
}

/// Units that may be in use concurrently, or acquired per second. Admission reads it without
/// waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limit {
    /// Units that may be used until the limit expires.
    pub units: u64,
    /// Time on the member's own clock at which the limit expires. From then on only the floor may
    /// be used, unless there is a newer limit.
    pub expires_at: Nanos,
    /// Units that may be used after the limit expires.
    pub floor: u64,
}

impl Limit {
    /// Returns the units that may be used at `now`: the floor once the limit has expired.
    #[must_use]
    pub fn units_at(&self, now: Nanos) -> u64 {
        if now < self.expires_at {
            self.units
        } else {
            self.floor
        }
    }
}

/// Quota client of one owner. A new incarnation starts without a grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaClient {
    owner: Owner,
    quota: Quota,
    weight: u32,
    /// Units that the member would use in addition to its floor if they were granted.
    demand: u64,
    sent_requests: VecDeque<SentRequest>,
    last_sequence: u64,
    next_request_at: Nanos,
    active: Option<ActiveGrant>,
    /// Number of the last grant whose limit the units in use did not exceed; `None` before the
    /// first.
    confirmed_grant: Option<u64>,
    /// Whether the member has released its grants.
    is_released: bool,
    /// Time from which the floor may be used; the floor is 0 until then.
    floor_available_at: Nanos,
}

impl QuotaClient {
    /// Creates the client of an incarnation that starts at `started_at`. Its floor is available
    /// only after the maximum use duration has passed, because servers may still be processing
    /// requests that the former incarnation sent under the same floor.
    #[must_use]
    pub fn new(owner: Owner, quota: Quota, weight: u32, started_at: Nanos) -> Self {
        let former_use_duration = quota.clock_error.expiry_duration(quota.max_use_duration);
        QuotaClient {
            owner,
            quota,
            weight,
            demand: 0,
            sent_requests: VecDeque::new(),
            last_sequence: 0,
            next_request_at: 0,
            active: None,
            confirmed_grant: None,
            is_released: false,
            floor_available_at: started_at.saturating_add(former_use_duration),
        }
    }

    fn floor_at(&self, now: Nanos) -> u64 {
        if now < self.floor_available_at {
            0
        } else {
            self.quota.floor
        }
    }

    /// Sets the units, including the floor, that would be used now if they were granted.
    pub fn set_demand(&mut self, now: Nanos, units: u64) {
        let demand = units.saturating_sub(self.floor_at(now));
        // A demand that has more than doubled is requested immediately; smaller increases wait for
        // the next regular request.
        if demand > self.demand.saturating_mul(URGENT_GROWTH_FACTOR) {
            self.next_request_at = self.next_request_at.min(now);
        }
        self.demand = demand;
    }

    /// Returns the limit at `now`. The caller reads the limit again when it expires and after each
    /// response.
    #[must_use]
    pub fn limit(&self, now: Nanos) -> Limit {
        let floor = self.floor_at(now);
        match self.active.filter(|active| now < active.expires_at && !self.is_released) {
            Some(ActiveGrant { grant, expires_at }) => Limit {
                units: floor.saturating_add(grant.units),
                expires_at,
                floor: self.floor_at(expires_at),
            },
            None if now < self.floor_available_at => {
                Limit { units: 0, expires_at: self.floor_available_at, floor: self.quota.floor }
            }
            None => Limit { units: floor, expires_at: Nanos::MAX, floor },
        }
    }

    /// Releases the grant: from now on only the floor may be used.
    pub fn release(&mut self) {
        self.is_released = true;
        self.next_request_at = 0;
    }

    /// Advances the client to `now` with `used` units in use. Returns the request to send, if one
    /// is due.
    pub fn tick(&mut self, now: Nanos, used: u64) -> Option<AllocationRequest> {
        self.confirm(now, used);
        let is_over_floor = used > self.floor_at(now);
        if now < self.next_request_at || self.is_released && is_over_floor {
            return None;
        }
        self.last_sequence += 1;
        // The grant duration is measured from before the request is sent. Measured from the
        // response, a delayed response would extend the grant past the leader's expiry.
        self.sent_requests.push_back(SentRequest { sequence: self.last_sequence, sent_at: now });
        if self.sent_requests.len() > SENT_REQUESTS_MAX {
            self.sent_requests.pop_front();
        }
        // A release is repeated only after a grant duration, in case the request was lost; by then
        // the grants have expired anyway.
        let duration = self.quota.grant_duration;
        let interval = if self.is_released { duration } else { duration / REQUESTS_PER_GRANT };
        self.next_request_at = now.saturating_add(interval);
        Some(AllocationRequest {
            owner: self.owner.clone(),
            sequence: self.last_sequence,
            demand: self.demand,
            weight: self.weight,
            confirmed_grant: self.confirmed_grant.unwrap_or(NO_GRANT),
            is_release: self.is_released,
        })
    }

    /// Confirms the last grant once the units in use do not exceed the limit, which frees all
    /// earlier grants. Requests that started under a larger grant run to completion and keep that
    /// grant in use until then.
    fn confirm(&mut self, now: Nanos, used: u64) {
        let Some(active) = self.active else { return };
        if used <= self.limit(now).units {
            self.confirmed_grant = Some(active.grant.number);
        }
    }

    /// Handles a response. Responses to a former incarnation, or to a request older than the last
    /// one that was answered, are ignored.
    pub fn handle_response(&mut self, now: Nanos, response: &AllocationResponse) {
        let is_answered = |request: &&SentRequest| request.sequence == response.sequence;
        let request = self.sent_requests.iter().find(is_answered).copied();
        let Some(request) = request.filter(|_| response.owner == self.owner) else { return };
        let duration = self.quota.clock_error.holder_duration(self.quota.grant_duration);
        let expires_at = request.sent_at.saturating_add(duration);
        if self.is_released || now >= expires_at {
            return;
        }
        self.sent_requests.retain(|other| other.sequence > request.sequence);
        self.active = Some(ActiveGrant { grant: response.grant, expires_at });
    }

    /// Returns the time on the member's own clock at which the next request is due.
    #[must_use]
    pub fn next_request_at(&self) -> Nanos {
        self.next_request_at
    }
}
