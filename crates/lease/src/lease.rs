//! The replicated state machine of all leases.
//!
//! It has no clock: the expiry of a lease is itself a log entry ([`Command::Expire`]), which the
//! leader proposes by its own clock ([`crate::expiry`]).

use crate::command::{
    is_valid_name, Command, Owner, Rejection, Response, DURATION_MAX, DURATION_MIN, LEASES_MAX,
    WAITERS_MAX,
};
use crate::fence::Token;
use mintshelf_time::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The current grant of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Member and incarnation that hold the lease.
    pub owner: Owner,
    /// Fencing token of the grant.
    pub token: Token,
    /// Lease duration, restarted by each renewal.
    pub duration: Nanos,
    /// Number of renewals of the grant; 0 for a new grant.
    pub renewals: u64,
    /// Whether an operator has revoked the grant: it can't be renewed.
    pub is_revoked: bool,
}

impl LeaseHolder {
    fn renew(&mut self) -> Response {
        if self.is_revoked {
            return Response::Rejected(Rejection::Revoked);
        }
        self.renewals += 1;
        Response::Granted { token: self.token }
    }
}

/// An owner that waits in the queue of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Waiter {
    /// Member and incarnation that wait for the lease.
    pub owner: Owner,
    /// Number of requests for the lease since the waiter joined the queue, from 1.
    pub requests: u64,
    /// Lease duration in the waiter's last request.
    pub duration: Nanos,
}

/// One lease: its holder and its queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Current holder and its grant; `None` if the lease is free.
    pub holder: Option<LeaseHolder>,
    /// The waiters, in order of arrival.
    pub queue: VecDeque<Waiter>,
}

/// Converts a queue position to the type used in responses. The conversion never saturates, since
/// a queue has at most [`WAITERS_MAX`] entries.
fn queue_position(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

impl Lease {
    fn is_unused(&self) -> bool {
        self.holder.is_none() && self.queue.is_empty()
    }

    /// Returns whether the lease is free and `owner` is first in the queue or the queue is empty.
    fn is_available_to(&self, owner: &Owner) -> bool {
        self.holder.is_none() && self.queue.front().is_none_or(|first| first.owner == *owner)
    }

    /// Refreshes the request of a waiter, or enqueues a new waiter if `wait` is set.
    fn enqueue_or_refresh(&mut self, owner: &Owner, duration: Nanos, wait: bool) -> Response {
        let position = self.queue.iter().position(|waiter| waiter.owner == *owner);
        let queue_position = match position {
            Some(position) => {
                let waiter = &mut self.queue[position];
                waiter.requests += 1;
                waiter.duration = duration;
                Some(queue_position(position))
            }
            None if !wait => None,
            None if self.queue.len() >= WAITERS_MAX => {
                return Response::Rejected(Rejection::QueueFull);
            }
            None => {
                let position = self.queue.len();
                self.queue.push_back(Waiter { owner: owner.clone(), requests: 1, duration });
                Some(queue_position(position))
            }
        };
        let holder = self.holder.as_ref().map(|holder| holder.owner.clone());
        Response::Unavailable { holder, queue_position }
    }
}

/// All leases. Deterministic: equal sequences of commands give equal states.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    leases: BTreeMap<String, Lease>,
    /// Token of the last grant of any lease. Kept after leases are removed, so that no token is
    /// granted twice.
    last_token: Token,
}

impl Leases {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &Command) -> Response {
        let response = match command {
            Command::Acquire { lease, owner, duration, wait } => {
                self.acquire(lease, owner, *duration, *wait)
            }
            Command::Renew { lease, owner, token } => self.renew(lease, owner, *token),
            Command::Release { lease, owner, token } => {
                self.end_grant(lease, |holder| holder.owner == *owner && holder.token == *token)
            }
            Command::CancelWait { lease, owner } => {
                self.remove_waiter(lease, |waiter| waiter.owner == *owner)
            }
            Command::Expire { lease, token, renewals } => self
                .end_grant(lease, |holder| holder.token == *token && holder.renewals == *renewals),
            Command::ExpireWaiter { lease, owner, requests } => self
                .remove_waiter(lease, |waiter| {
                    waiter.owner == *owner && waiter.requests == *requests
                }),
            Command::Revoke { lease } => self.revoke(lease),
        };
        self.remove_if_unused(command.lease());
        response
    }

    fn acquire(&mut self, name: &str, owner: &Owner, duration: Nanos, wait: bool) -> Response {
        if let Err(rejection) = self.check_request(name, owner, duration) {
            return Response::Rejected(rejection);
        }
        let lease = self.leases.entry(name.to_owned()).or_default();
        // A repeated request of the holder is a renewal, with the duration originally granted.
        if let Some(holder) = lease.holder.as_mut().filter(|holder| holder.owner == *owner) {
            return holder.renew();
        }
        if !lease.is_available_to(owner) {
            return lease.enqueue_or_refresh(owner, duration, wait);
        }
        lease.queue.pop_front();
        self.last_token += 1;
        lease.holder = Some(LeaseHolder {
            owner: owner.clone(),
            token: self.last_token,
            duration,
            renewals: 0,
            is_revoked: false,
        });
        Response::Granted { token: self.last_token }
    }

    fn check_request(&self, name: &str, owner: &Owner, duration: Nanos) -> Result<(), Rejection> {
        if !is_valid_name(name) || !is_valid_name(&owner.member) {
            return Err(Rejection::InvalidName);
        }
        if !(DURATION_MIN..=DURATION_MAX).contains(&duration) {
            return Err(Rejection::InvalidDuration);
        }
        if !self.leases.contains_key(name) && self.leases.len() >= LEASES_MAX {
            return Err(Rejection::TooManyLeases);
        }
        Ok(())
    }

    fn renew(&mut self, name: &str, owner: &Owner, token: Token) -> Response {
        match self.holder_mut(name) {
            Some(holder) if holder.owner == *owner && holder.token == token => holder.renew(),
            _ => Response::Rejected(Rejection::NotHolder),
        }
    }

    fn revoke(&mut self, name: &str) -> Response {
        let Some(holder) = self.holder_mut(name) else {
            return Response::Rejected(Rejection::NotHolder);
        };
        holder.is_revoked = true;
        Response::Done
    }

    fn end_grant(&mut self, name: &str, matches: impl Fn(&LeaseHolder) -> bool) -> Response {
        match self.leases.get_mut(name) {
            Some(lease) if lease.holder.as_ref().is_some_and(matches) => {
                lease.holder = None;
                Response::Done
            }
            _ => Response::Rejected(Rejection::NotHolder),
        }
    }

    fn remove_waiter(&mut self, name: &str, matches: impl Fn(&Waiter) -> bool) -> Response {
        let Some(lease) = self.leases.get_mut(name) else {
            return Response::Rejected(Rejection::NotHolder);
        };
        match lease.queue.iter().position(matches) {
            Some(position) => {
                lease.queue.remove(position);
                Response::Done
            }
            None => Response::Rejected(Rejection::NotHolder),
        }
    }

    fn remove_if_unused(&mut self, name: &str) {
        if self.leases.get(name).is_some_and(Lease::is_unused) {
            self.leases.remove(name);
        }
    }

    fn holder_mut(&mut self, name: &str) -> Option<&mut LeaseHolder> {
        self.leases.get_mut(name)?.holder.as_mut()
    }

    /// Returns the named lease; `None` if it has neither a holder nor waiters.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Returns all leases that have a holder or waiters, in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.leases.iter().map(|(name, lease)| (name.as_str(), lease))
    }

    /// Returns the token of the last grant of any lease; 0 before the first grant.
    #[must_use]
    pub fn last_token(&self) -> Token {
        self.last_token
    }
}
