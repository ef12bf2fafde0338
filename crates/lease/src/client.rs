//! The client's side of one lease: requests it, renews it, and releases it.

use crate::command::{Command, Owner, Rejection, Response};
use crate::fence::Token;
use crate::timing::ClockError;
use mintshelf_time::Nanos;
use thiserror::Error;

/// Requests are repeated this many times within one lease duration.
const REQUESTS_PER_DURATION: Nanos = 3;

/// What the driver of a [`LeaseClient`] has to do, or is notified of.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HolderAction {
    /// Send this command to a replica; the response comes back with the same number.
    Send {
        /// Number of the request, unique over all incarnations of the owner.
        request_id: u64,
        /// The command to propose.
        command: Command,
    },
    /// The lease was granted: operations may begin.
    Acquired {
        /// Token of the grant.
        token: Token,
    },
    /// The grant is not in force any more: all operations under it must have ended.
    Lost,
    /// The request was rejected.
    Rejected(Rejection),
}

/// Why an operation may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaseUnavailable {
    /// This client does not hold the lease.
    #[error("the lease is not held")]
    NotHolder,
    /// The operation could outlast the lease.
    #[error("the operation may take {required}ns, and {remaining}ns of the lease are left")]
    ExpiresTooSoon {
        /// Longest time that the operation takes.
        required: Nanos,
        /// Time until the lease expires.
        remaining: Nanos,
    },
}

/// Which lease a client requests, and how.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Name of the lease.
    pub lease: String,
    /// Who requests it.
    pub owner: Owner,
    /// Lease duration, which starts again with each renewal.
    pub duration: Nanos,
    /// Error of the clocks that the duration is counted on.
    pub clock_error: ClockError,
    /// Whether to join the queue while another owner holds the lease.
    pub wait: bool,
}

/// A grant that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ActiveGrant {
    /// Fencing token to present to the protected resource.
    pub token: Token,
    /// When the grant expires on the client's own clock.
    pub expires_at: Nanos,
}

/// A request without a response so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingRequest {
    request_id: u64,
    sent_at: Nanos,
}

/// Client of one lease. It does no I/O: its driver calls [`LeaseClient::tick`] at
/// [`LeaseClient::next_tick_at`] and carries out the actions that come of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    config: LeaseConfig,
    is_wanted: bool,
    grant: Option<ActiveGrant>,
    /// Token of the last grant received, also after it has expired.
    last_token: Option<Token>,
    pending: Option<PendingRequest>,
    next_request_at: Nanos,
    last_request_id: u64,
    /// When the last operation that has begun ends at the latest; `None` if none is in progress.
    operations_end_at: Option<Nanos>,
    /// Whether the lease was requested and is not known to be released.
    needs_release: bool,
}

impl LeaseClient {
    /// Creates a client that requests the lease at its first tick.
    #[must_use]
    pub fn new(config: LeaseConfig) -> Self {
        // The incarnation is part of each number, so that a response to a request of a former
        // incarnation is not taken for one to this one's.
        let last_request_id = config.owner.incarnation << 32;
        LeaseClient {
            config,
            is_wanted: true,
            grant: None,
            last_token: None,
            pending: None,
            next_request_at: 0,
            last_request_id,
            operations_end_at: None,
            needs_release: false,
        }
    }

    /// Begins an operation that ends within `max_duration` in any case; returns the token to
    /// present to the protected resource.
    ///
    /// # Errors
    /// The grant is not in force for that long. The check is not sufficient by itself: the process
    /// may be stopped right after it, and then only the resource's check of the token protects.
    pub fn begin_operation(
        &mut self,
        now: Nanos,
        max_duration: Nanos,
    ) -> Result<Token, LeaseUnavailable> {
        let grant = self.active_grant(now).filter(|_| self.is_wanted);
        let ActiveGrant { token, expires_at } = grant.ok_or(LeaseUnavailable::NotHolder)?;
        let ends_at = now.saturating_add(max_duration);
        if ends_at > expires_at {
            let remaining = expires_at - now;
            return Err(LeaseUnavailable::ExpiresTooSoon { required: max_duration, remaining });
        }
        self.operations_end_at = self.operations_end_at.max(Some(ends_at));
        Ok(token)
    }

    /// All operations that have begun have ended.
    pub fn finish_operations(&mut self) {
        self.operations_end_at = None;
    }

    /// Requests the lease again after it was released.
    pub fn request(&mut self) {
        self.is_wanted = true;
    }

    /// Releases the lease as soon as no operation can be in progress, or leaves the queue.
    pub fn release(&mut self) {
        if self.is_wanted {
            self.is_wanted = false;
            self.pending = None;
            self.next_request_at = 0;
        }
    }

    /// The grant that is in force now.
    #[must_use]
    pub fn active_grant(&self, now: Nanos) -> Option<ActiveGrant> {
        self.grant.filter(|grant| now < grant.expires_at)
    }

    /// Whether the client has released its lease and has nothing more to do.
    #[must_use]
    pub fn is_released(&self) -> bool {
        !self.is_wanted && !self.needs_release
    }

    /// When [`LeaseClient::tick`] has something to do.
    #[must_use]
    pub fn next_tick_at(&self) -> Nanos {
        let release_at = self.operations_end_at.filter(|_| !self.is_wanted);
        let request_at = self.next_request_at.max(release_at.unwrap_or(0));
        self.grant.map_or(request_at, |grant| request_at.min(grant.expires_at))
    }

    /// Time has passed: expires the grant and sends the next request, if they are due.
    pub fn tick(&mut self, now: Nanos, actions: &mut Vec<HolderAction>) {
        if self.grant.is_some_and(|grant| grant.expires_at <= now) {
            self.lose_grant(actions);
            self.next_request_at = self.next_request_at.min(now);
        }
        if now < self.next_request_at {
            return;
        }
        let Some(command) = self.next_command(now) else { return };
        self.last_request_id += 1;
        self.needs_release = true;
        let request_id = self.last_request_id;
        // The lease duration counts from here, before the request is sent. Counted from the
        // response, a slow one would stretch it past what the leader waits for.
        self.pending = Some(PendingRequest { request_id, sent_at: now });
        self.next_request_at = now.saturating_add(self.config.duration / REQUESTS_PER_DURATION);
        actions.push(HolderAction::Send { request_id, command });
    }

    fn next_command(&mut self, now: Nanos) -> Option<Command> {
        if self.is_released() {
            return None;
        }
        // Released with an operation in progress, the next holder would act beside it.
        if !self.is_wanted && self.operations_end_at.is_some_and(|end| now < end) {
            return None;
        }
        let LeaseConfig { lease, owner, duration, wait, .. } = self.config.clone();
        if !self.is_wanted {
            self.grant = None;
            // A grant whose response was lost has no known token: it expires.
            return Some(match self.last_token {
                Some(token) => Command::Release { lease, owner, token },
                None => Command::CancelWait { lease, owner },
            });
        }
        Some(match self.grant {
            Some(ActiveGrant { token, .. }) => Command::Renew { lease, owner, token },
            None => Command::Acquire { lease, owner, duration, wait },
        })
    }

    /// Takes the response to a request; one to any but the last request is ignored.
    pub fn handle_response(
        &mut self,
        now: Nanos,
        request_id: u64,
        response: &Response,
        actions: &mut Vec<HolderAction>,
    ) {
        let pending = self.pending.filter(|pending| pending.request_id == request_id);
        let Some(PendingRequest { sent_at, .. }) = pending else { return };
        self.pending = None;
        if !self.is_wanted {
            self.needs_release = false;
            self.last_token = None;
            return;
        }
        match response {
            Response::Granted { token } => self.accept_grant(now, sent_at, *token, actions),
            Response::Unavailable { .. } | Response::Done => self.lose_grant(actions),
            // A revoked grant stays in force until it expires, and is not renewed.
            Response::Rejected(Rejection::Revoked) => {}
            Response::Rejected(Rejection::NotHolder) => {
                self.lose_grant(actions);
                self.next_request_at = now;
            }
            Response::Rejected(rejection) => {
                self.lose_grant(actions);
                actions.push(HolderAction::Rejected(*rejection));
            }
        }
    }

    fn accept_grant(
        &mut self,
        now: Nanos,
        sent_at: Nanos,
        token: Token,
        actions: &mut Vec<HolderAction>,
    ) {
        let duration = self.config.clock_error.holder_duration(self.config.duration);
        let expires_at = sent_at.saturating_add(duration);
        if expires_at <= now {
            // The response came too late to be of use: the request is repeated at once.
            self.next_request_at = now;
            return;
        }
        let is_renewal = self.grant.is_some_and(|grant| grant.token == token);
        if !is_renewal {
            self.lose_grant(actions);
        }
        self.grant = Some(ActiveGrant { token, expires_at });
        self.last_token = Some(token);
        if !is_renewal {
            actions.push(HolderAction::Acquired { token });
        }
    }

    fn lose_grant(&mut self, actions: &mut Vec<HolderAction>) {
        if self.grant.take().is_some() {
            actions.push(HolderAction::Lost);
        }
    }

    /// The replica that the last request went to does not respond: allows the next request now.
    pub fn handle_no_response(&mut self, now: Nanos) {
        if self.pending.is_some() {
            self.next_request_at = self.next_request_at.min(now);
        }
    }
}
