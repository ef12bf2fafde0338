//! The members that one replica serves.

use mintshelf_lease::command::Owner;
use mintshelf_time::{Nanos, SECOND};
use std::collections::BTreeMap;

/// Each replica has capacity for this many times its part of the members, so that all are served
/// soon with one replica of three down.
const CAPACITY_FACTOR: usize = 2;
/// New sessions in a second, as a divisor of the capacity.
const NEW_SESSIONS_DIVISOR: usize = 4;

/// The sessions of one replica. A session ends when its member has sent no request for a while.
#[derive(Debug, Clone)]
pub struct SessionTable {
    max_sessions: usize,
    /// Most new sessions in each second: it bounds what a storm of joins costs.
    max_new_sessions: usize,
    session_timeout: Nanos,
    /// When each member has sent its last request.
    sessions: BTreeMap<Owner, Nanos>,
    current_second: u64,
    new_sessions: usize,
}

impl SessionTable {
    /// Creates the table of one of `replicas`, for `members` in all.
    #[must_use]
    pub fn new(members: usize, replicas: usize, session_timeout: Nanos) -> Self {
        let max_sessions = (members * CAPACITY_FACTOR).div_ceil(replicas.max(1)).max(1);
        SessionTable {
            max_sessions,
            max_new_sessions: max_sessions.div_ceil(NEW_SESSIONS_DIVISOR),
            session_timeout,
            sessions: BTreeMap::new(),
            current_second: 0,
            new_sessions: 0,
        }
    }

    /// A member has sent a request; returns whether it has a session, or gets one.
    pub fn admit(&mut self, now: Nanos, owner: &Owner) -> bool {
        if now / SECOND != self.current_second {
            self.begin_second(now);
        }
        if let Some(last_request_at) = self.sessions.get_mut(owner) {
            *last_request_at = now;
            return true;
        }
        let is_full = self.sessions.len() >= self.max_sessions;
        if is_full || self.new_sessions >= self.max_new_sessions {
            return false;
        }
        self.new_sessions += 1;
        self.sessions.insert(owner.clone(), now);
        true
    }

    fn begin_second(&mut self, now: Nanos) {
        self.current_second = now / SECOND;
        self.new_sessions = 0;
        let timeout = self.session_timeout;
        self.sessions.retain(|_, last_request_at| now.saturating_sub(*last_request_at) < timeout);
    }

    /// A member has left, or its connection has closed.
    pub fn remove(&mut self, owner: &Owner) {
        self.sessions.remove(owner);
    }

    /// Number of sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are no sessions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
