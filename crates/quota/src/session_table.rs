//! Sessions of the members that one replica serves.

use mintshelf_lease::command::Owner;
use mintshelf_time::{Nanos, SECOND};
use std::collections::BTreeMap;

/// Each replica has capacity for this many times its even share of the members, so that all members
/// are soon served with one of three replicas down.
const CAPACITY_FACTOR: usize = 2;
/// Maximum number of new sessions per second, as a divisor of the capacity.
const NEW_SESSIONS_DIVISOR: usize = 4;

/// The sessions of one replica. A session ends if its member sends no request for the session
/// timeout.
#[derive(Debug, Clone)]
pub struct SessionTable {
    max_sessions: usize,
    /// Maximum number of new sessions per second; bounds the load when many members join at once.
    max_new_sessions: usize,
    session_timeout: Nanos,
    /// Time of the last request of each member.
    sessions: BTreeMap<Owner, Nanos>,
    current_second: u64,
    new_sessions: usize,
}

impl SessionTable {
    /// Creates the table of one of `replicas` replicas, which together serve `members` members.
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

    /// Admits a member's request if the member has a session or a new one can be created; returns
    /// whether it was admitted.
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

    /// Ends a member's session because it has left or its connection was closed.
    pub fn remove(&mut self, owner: &Owner) {
        self.sessions.remove(owner);
    }

    /// Returns the number of sessions in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether the table has no sessions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
