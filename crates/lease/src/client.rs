//! Client state machine of one lease: acquires, renews and releases it.

use crate::command::{Command, Owner, Rejection, Response};
use crate::fence::Token;
use crate::timing::ClockError;
use mintshelf_time::Nanos;
use thiserror::Error;

/// Number of requests sent within one lease duration.
const REQUESTS_PER_DURATION: Nanos = 3;

/// An action for the driver of a [`LeaseClient`], or an event that the driver is notified of.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HolderAction {
    /// Send this command to a replica and pass on its response with the same request number.
    Send {
        /// Number of the request, unique across all incarnations of the owner.
        request_id: u64,
        /// The command to propose.
        command: Command,
    },
    /// The lease was granted; operations may begin.
    Acquired {
        /// Token of the grant.
        token: Token,
    },
    /// The client no longer has the grant. All operations under the grant must have ended, because
    /// another owner may hold the lease.
    Lost,
    /// The last request was rejected for the contained reason.
    Rejected(Rejection),
}

/// Reason for which [`LeaseClient::begin_operation`] does not allow an operation to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LeaseUnavailable {
    /// This client does not hold the lease.
    #[error("this client does not hold the lease")]
    NotHolder,
    /// The operation might not end before the lease expires.
    #[error("operation may take {required}ns, but the lease expires in {remaining}ns")]
    ExpiresTooSoon {
        /// Maximum duration of the operation, in nanoseconds.
        required: Nanos,
        /// Time until the lease expires, in nanoseconds on the client's clock.
        remaining: Nanos,
    },
}

/// Configuration of a [`LeaseClient`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Name of the lease.
    pub lease: String,
    /// Member and incarnation that request the lease.
    pub owner: Owner,
    /// Lease duration, restarted by each renewal.
    pub duration: Nanos,
    /// Maximum error of the clocks that measure the duration.
    pub clock_error: ClockError,
    /// Whether to join the queue while another owner holds the lease.
    pub wait: bool,
}

/// A client's grant of the lease, with the expiry on the client's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ActiveGrant {
    /// Fencing token to present to the protected resource.
    pub token: Token,
    /// Time on the client's own clock at which the grant expires.
    pub expires_at: Nanos,
}

/// The last request sent, kept until the response arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingRequest {
    request_id: u64,
    sent_at: Nanos,
}

/// Client of one lease. The client does no I/O: the driver calls [`LeaseClient::tick`] at
/// [`LeaseClient::next_tick_at`] and carries out the resulting actions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    config: LeaseConfig,
    is_wanted: bool,
    grant: Option<ActiveGrant>,
    /// Token of the last grant received, kept after the grant has expired.
    last_token: Option<Token>,
    pending: Option<PendingRequest>,
    next_request_at: Nanos,
    last_request_id: u64,
    /// Latest end of the operations in progress; `None` if there are none.
    operations_end_at: Option<Nanos>,
    /// Whether the lease was requested and its release has not been confirmed.
    needs_release: bool,
}

impl LeaseClient {
    /// Creates a client that requests the lease at its first tick.
    #[must_use]
    pub fn new(config: LeaseConfig) -> Self {
        // Request numbers include the incarnation, so that a response to a former incarnation is
        // not mistaken for one to this incarnation.
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

    /// Begins an operation that is guaranteed to end within `max_duration`; returns the token to
    /// present to the protected resource.
    ///
    /// # Errors
    /// The grant is not in force for that long. This check is not sufficient by itself: the process
    /// may be paused right after it, and then only the resource's check of the token rejects the
    /// operation.
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

    /// Reports that all operations in progress have ended.
    pub fn finish_operations(&mut self) {
        self.operations_end_at = None;
    }

    /// Requests the lease again after it was released.
    pub fn request(&mut self) {
        self.is_wanted = true;
    }

    /// Releases the lease once no operation can be in progress any more, or leaves the queue.
    pub fn release(&mut self) {
        if self.is_wanted {
            self.is_wanted = false;
            self.pending = None;
            self.next_request_at = 0;
        }
    }

    /// Returns the client's grant; `None` without a grant or if the grant has expired at `now`.
    #[must_use]
    pub fn active_grant(&self, now: Nanos) -> Option<ActiveGrant> {
        self.grant.filter(|grant| now < grant.expires_at)
    }

    /// Returns whether the client has released its lease and sends no more requests.
    #[must_use]
    pub fn is_released(&self) -> bool {
        !self.is_wanted && !self.needs_release
    }

    /// Returns the time on the client's own clock at which [`LeaseClient::tick`] must be called
    /// next.
    #[must_use]
    pub fn next_tick_at(&self) -> Nanos {
        let release_at = self.operations_end_at.filter(|_| !self.is_wanted);
        let request_at = self.next_request_at.max(release_at.unwrap_or(0));
        self.grant.map_or(request_at, |grant| request_at.min(grant.expires_at))
    }

    /// Expires the grant and sends the next request if they are due at `now`.
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
        // The lease duration is measured from before the request is sent. Measured from the
        // response, a delayed response would extend the lease past the leader's expiry.
        self.pending = Some(PendingRequest { request_id, sent_at: now });
        self.next_request_at = now.saturating_add(self.config.duration / REQUESTS_PER_DURATION);
        actions.push(HolderAction::Send { request_id, command });
    }

    fn next_command(&mut self, now: Nanos) -> Option<Command> {
        if self.is_released() {
            return None;
        }
        // If the lease were released with an operation in progress, the next holder would act
        // concurrently.
        if !self.is_wanted && self.operations_end_at.is_some_and(|end| now < end) {
            return None;
        }
        let LeaseConfig { lease, owner, duration, wait, .. } = self.config.clone();
        if !self.is_wanted {
            self.grant = None;
            // If the response with the grant was lost, its token is unknown: the grant expires.
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

    /// Handles the response to a request. A response to any but the last request is ignored.
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
            // The client keeps a revoked grant until the grant expires, but can't renew the grant.
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
            // The grant expired before the response arrived: the client retries immediately.
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

    /// Reports that the replica did not respond to the last request: the next request is due now.
    pub fn handle_no_response(&mut self, now: Nanos) {
        if self.pending.is_some() {
            self.next_request_at = self.next_request_at.min(now);
        }
    }
}
