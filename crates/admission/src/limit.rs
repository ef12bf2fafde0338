//! The limits of one tenant or route, and the requests and bytes that count against them.

use crate::rate::{RateConfig, RateLimit};
use mintshelf_time::Nanos;

/// Limits of a tenant or a route; there are none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitConfig {
    /// Maximum rate of requests; `None` for no limit.
    pub rate: Option<RateConfig>,
    /// Maximum number of requests in flight; `None` for no limit.
    pub max_concurrency: Option<u32>,
    /// Maximum bytes of request bodies in memory; `None` for no limit.
    pub max_body_bytes: Option<u64>,
    /// Maximum number of open WebSocket connections; `None` for no limit.
    pub max_sockets: Option<u32>,
}

impl LimitConfig {
    /// Returns whether no limit is set.
    #[must_use]
    pub fn is_unlimited(&self) -> bool {
        *self == LimitConfig::default()
    }
}

/// The limits of one tenant or route, with the requests and bytes that count against them.
#[derive(Debug, Default)]
pub(crate) struct Limit {
    config: LimitConfig,
    rate: Option<RateLimit>,
    in_flight: u32,
    body_bytes: u64,
}

impl Limit {
    /// Changes the limits; requests in flight still count.
    pub(crate) fn configure(&mut self, now: Nanos, config: LimitConfig) {
        // An unchanged rate keeps its state, so that a reload does not grant another burst.
        if self.config.rate != config.rate {
            self.rate = config.rate.map(|rate| RateLimit::new(rate, now));
        }
        self.config = config;
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn is_concurrency_full(&self) -> bool {
        self.config.max_concurrency.is_some_and(|max| self.in_flight >= max)
    }

    /// Charges one request to the rate; the error is the time until the next one is allowed.
    pub(crate) fn try_acquire_rate(&self, now: Nanos) -> Result<(), Nanos> {
        self.rate.as_ref().map_or(Ok(()), |rate| rate.try_acquire(now))
    }

    pub(crate) fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Reserves memory for a request body and returns whether enough was available.
    pub(crate) fn try_reserve_bytes(&mut self, bytes: u64) -> bool {
        let reserved = self.body_bytes.saturating_add(bytes);
        if self.config.max_body_bytes.is_some_and(|max| reserved > max) {
            return false;
        }
        self.body_bytes = reserved;
        true
    }

    pub(crate) fn release_bytes(&mut self, bytes: u64) {
        self.body_bytes = self.body_bytes.saturating_sub(bytes);
    }
}
