//! The leases, as all voters agree on them: a state machine without a clock.
//!
//! Nothing here ends by time. That a span is over is itself an entry of the log
//! ([`Command::Expire`]), which the leader proposes when its clock says so ([`crate::expiry`]).

use crate::fence::Token;
use crate::timing::{Nanos, MS, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Leases held or waited for at one time.
pub const LEASES_MAX: usize = 1_024;
/// Who may wait for one lease.
pub const WAITERS_MAX: usize = 64;
/// Longest name of a lease or a member, in bytes.
pub const NAME_MAX: usize = 128;
/// Shortest and longest span of a lease.
pub const SPAN_MIN: Nanos = 100 * MS;
/// See [`SPAN_MIN`].
pub const SPAN_MAX: Nanos = 86_400 * SECOND;

/// One life of one member: a process that starts again has a higher incarnation, and what its
/// former life held is not its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The member's name.
    pub member: String,
    /// Its life.
    pub incarnation: u64,
}

/// What can be agreed on. Sent again, late or twice, none does harm.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Command {
    /// Asks for a lease, or again where the last answer was lost; by a waiter, from time to time,
    /// to keep its place.
    Acquire {
        /// The lease.
        lease: String,
        /// Who asks.
        owner: Owner,
        /// For how long each renewal is to count.
        span: Nanos,
        /// Whether to queue for it where it is held.
        wait: bool,
    },
    /// Holds on.
    Renew {
        /// The lease.
        lease: String,
        /// Its holder.
        owner: Owner,
        /// The grant.
        token: Token,
    },
    /// Gives it back, with nothing under way any more. It names the grant: one that came late
    /// must not end what its sender has got since.
    Release {
        /// The lease.
        lease: String,
        /// Its holder.
        owner: Owner,
        /// The grant.
        token: Token,
    },
    /// Leaves the queue.
    Leave {
        /// The lease.
        lease: String,
        /// Who waits.
        owner: Owner,
    },
    /// The span of one renewal is over by the leader's clock.
    Expire {
        /// The lease.
        lease: String,
        /// The grant.
        token: Token,
        /// Which renewal: void if there has been another.
        renewal: u64,
    },
    /// Somebody in the queue has not asked for long.
    Forget {
        /// The lease.
        lease: String,
        /// Who waited.
        owner: Owner,
        /// After how many times it asked: void if it has again.
        asks: u64,
    },
    /// An operator wants the holder out: it is not renewed any more, and ends with its span. A
    /// lease that was taken from a holder who can't be told would have two.
    Revoke {
        /// The lease.
        lease: String,
    },
}

impl Command {
    /// The lease it is about.
    pub fn lease(&self) -> &str {
        match self {
            Command::Acquire { lease, .. }
            | Command::Renew { lease, .. }
            | Command::Release { lease, .. }
            | Command::Leave { lease, .. }
            | Command::Expire { lease, .. }
            | Command::Forget { lease, .. }
            | Command::Revoke { lease } => lease,
        }
    }
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Answer {
    /// The asker holds the lease, by this grant and until its span has passed since it asked.
    Granted {
        /// The grant.
        token: Token,
    },
    /// Another holds it; the asker's place in the queue, from 0, if it is in it.
    Held {
        /// Who holds it; nobody where the first of the queue has not come for it yet.
        by: Option<Owner>,
        /// Place in the queue.
        place: Option<u32>,
    },
    /// It has been given back, expired, forgotten or marked.
    Done,
    /// Nothing changed.
    Refused(Refusal),
}

/// Why nothing changed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Error,
)]
pub enum Refusal {
    /// Not its holder, not by this grant, or not by this renewal.
    #[error("not held by this grant")]
    NotHeld,
    /// An operator has revoked it.
    #[error("revoked: it ends with its span")]
    Revoked,
    /// Too many leases.
    #[error("{LEASES_MAX} leases are held or waited for")]
    TooMany,
    /// Too many in the queue.
    #[error("{WAITERS_MAX} wait for it")]
    QueueFull,
    /// A name that is empty, too long or has control characters.
    #[error("a name has 1 to {NAME_MAX} bytes and no control characters")]
    Name,
    /// A span out of bounds.
    #[error("a span is 100ms to 24h")]
    Span,
}

/// A lease's holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Who.
    pub owner: Owner,
    /// By which grant.
    pub token: Token,
    /// What each renewal counts for.
    pub span: Nanos,
    /// How often it was renewed.
    pub renewal: u64,
    /// Whether it may not be renewed.
    pub revoked: bool,
}

/// One place in a queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Waiter {
    /// Who.
    pub owner: Owner,
    /// How often it has asked.
    pub asks: u64,
    /// The span it asks for.
    pub span: Nanos,
}

/// One lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Its holder.
    pub held: Option<Held>,
    /// Who waits, in turn.
    pub queue: VecDeque<Waiter>,
}

/// All leases.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    leases: BTreeMap<String, Lease>,
    /// The last token given. It outlives the leases, so that none is given twice.
    last_token: Token,
}

/// Whether a lease or a member may have this name.
pub fn is_valid_name(name: &str) -> bool {
    (1..=NAME_MAX).contains(&name.len()) && !name.chars().any(char::is_control)
}

impl Leases {
    /// Applies one agreed command.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let answer = match command {
            Command::Acquire { lease, owner, span, wait } => {
                self.acquire(lease, owner, *span, *wait)
            }
            Command::Renew { lease, owner, token } => self.renew(lease, owner, *token),
            Command::Release { lease, owner, token } => {
                self.end(lease, |held| held.owner == *owner && held.token == *token)
            }
            Command::Leave { lease, owner } => self.leave(lease, |waiter| waiter.owner == *owner),
            Command::Expire { lease, token, renewal } => {
                self.end(lease, |held| held.token == *token && held.renewal == *renewal)
            }
            Command::Forget { lease, owner, asks } => {
                self.leave(lease, |waiter| waiter.owner == *owner && waiter.asks == *asks)
            }
            Command::Revoke { lease } => match self.held_mut(lease) {
                Some(held) => {
                    held.revoked = true;
                    Answer::Done
                }
                None => Answer::Refused(Refusal::NotHeld),
            },
        };
        let empty = |lease: &Lease| lease.held.is_none() && lease.queue.is_empty();
        if self.leases.get(command.lease()).is_some_and(empty) {
            self.leases.remove(command.lease());
        }
        answer
    }

    fn held_mut(&mut self, lease: &str) -> Option<&mut Held> {
        self.leases.get_mut(lease)?.held.as_mut()
    }

    fn acquire(&mut self, name: &str, owner: &Owner, span: Nanos, wait: bool) -> Answer {
        if !is_valid_name(name) || !is_valid_name(&owner.member) {
            return Answer::Refused(Refusal::Name);
        }
        if !(SPAN_MIN..=SPAN_MAX).contains(&span) {
            return Answer::Refused(Refusal::Span);
        }
        if !self.leases.contains_key(name) && self.leases.len() >= LEASES_MAX {
            return Answer::Refused(Refusal::TooMany);
        }
        let lease = self.leases.entry(name.to_owned()).or_default();
        match &mut lease.held {
            // Asked again: as good as a renewal, by the span that was granted.
            Some(held) if held.owner == *owner => {
                if held.revoked {
                    return Answer::Refused(Refusal::Revoked);
                }
                held.renewal += 1;
                return Answer::Granted { token: held.token };
            }
            Some(_) => {}
            None if lease.queue.front().is_none_or(|first| first.owner == *owner) => {
                lease.queue.pop_front();
                self.last_token += 1;
                let (owner, token) = (owner.clone(), self.last_token);
                lease.held = Some(Held { owner, token, span, renewal: 0, revoked: false });
                return Answer::Granted { token };
            }
            None => {}
        }
        let by = lease.held.as_ref().map(|held| held.owner.clone());
        let place = match lease.queue.iter().position(|waiter| waiter.owner == *owner) {
            Some(at) => {
                let waiter = &mut lease.queue[at];
                (waiter.asks, waiter.span) = (waiter.asks + 1, span);
                Some(at as u32)
            }
            None if !wait => None,
            None if lease.queue.len() >= WAITERS_MAX => {
                return Answer::Refused(Refusal::QueueFull);
            }
            None => {
                lease.queue.push_back(Waiter { owner: owner.clone(), asks: 1, span });
                Some(lease.queue.len() as u32 - 1)
            }
        };
        Answer::Held { by, place }
    }

    fn renew(&mut self, lease: &str, owner: &Owner, token: Token) -> Answer {
        match self.held_mut(lease) {
            Some(held) if held.owner == *owner && held.token == token => {
                if held.revoked {
                    return Answer::Refused(Refusal::Revoked);
                }
                held.renewal += 1;
                Answer::Granted { token }
            }
            _ => Answer::Refused(Refusal::NotHeld),
        }
    }

    fn end(&mut self, lease: &str, which: impl Fn(&Held) -> bool) -> Answer {
        match self.leases.get_mut(lease) {
            Some(lease) if lease.held.as_ref().is_some_and(which) => {
                lease.held = None;
                Answer::Done
            }
            _ => Answer::Refused(Refusal::NotHeld),
        }
    }

    fn leave(&mut self, lease: &str, which: impl Fn(&Waiter) -> bool) -> Answer {
        let Some(lease) = self.leases.get_mut(lease) else {
            return Answer::Refused(Refusal::NotHeld);
        };
        match lease.queue.iter().position(which) {
            Some(at) => {
                lease.queue.remove(at);
                Answer::Done
            }
            None => Answer::Refused(Refusal::NotHeld),
        }
    }

    /// One lease, if it is held or waited for.
    pub fn get(&self, lease: &str) -> Option<&Lease> {
        self.leases.get(lease)
    }

    /// All that are held or waited for, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.leases.iter().map(|(name, lease)| (name.as_str(), lease))
    }

    /// The last token given; 0 for none.
    pub fn last_token(&self) -> Token {
        self.last_token
    }
}
