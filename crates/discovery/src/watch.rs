//! Timeouts of the long polls of a watch, a sequence of polls of the discovery service for changes
//! of the endpoint list, and the next step when a poll ends.
//!
//! An instance must be notified of a change within 6 s of the moment at which discovery has the
//! change and is reachable, regardless of polls that failed, were rejected or timed out. A dead
//! connection is indistinguishable from a watch without changes, so every poll must time out early
//! enough for the instance to connect and poll once more.

use std::time::Duration;

/// Time that a poll of an established watch waits for changes: half of the 6 s within which an
/// instance must be notified. Each poll of each sidecar causes work at the service; shorter polls
/// would cause more without earlier notifications.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the first poll of a watch waits for changes. The poll shows whether the watch works.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the poll timeout within which the response of an established watch may begin. The
/// service sends such a response without queueing it behind other clients.
const RESPONSE_GRACE: Duration = Duration::from_millis(400);
/// Time after the poll timeout within which the first response of a watch may begin; longer than
/// [`RESPONSE_GRACE`], as the service may still be serving many other clients one after the other.
const FIRST_RESPONSE_GRACE: Duration = Duration::from_millis(1_500);

/// Result of a call to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response was received.
    Completed,
    /// No response arrived in time.
    TimedOut,
    /// The call was rejected, its connection was reset, or the response was malformed.
    Failed,
}

/// Next step after a call to discovery has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextCall {
    /// Make the next poll of the same watch.
    Continue,
    /// Make the first poll of a new watch immediately, on a new connection.
    Reconnect,
    /// Start a new watch after a backoff: the current one has failed.
    BackOff,
}

/// The state of a watch: whether its last poll completed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchState {
    is_established: bool,
}

impl WatchState {
    /// Returns the time that the service may wait for changes before it responds to the next poll.
    #[must_use]
    pub fn poll_timeout(&self) -> Duration {
        if self.is_established {
            POLL_TIMEOUT
        } else {
            FIRST_POLL_TIMEOUT
        }
    }

    /// Returns the time after [`Self::poll_timeout`] within which the response must begin.
    #[must_use]
    pub fn response_grace(&self) -> Duration {
        if self.is_established {
            RESPONSE_GRACE
        } else {
            FIRST_RESPONSE_GRACE
        }
    }

    /// Records the result of a call and returns the next step.
    ///
    /// An established watch that times out is replaced immediately: time has been lost already, and
    /// even if the watches of many sidecars die at once, their polls time out at different times.
    /// Failures of many sidecars do coincide and may be caused by overload, so they back off.
    #[must_use]
    pub fn on_call_end(&mut self, outcome: CallOutcome) -> NextCall {
        let was_established = self.is_established;
        self.is_established = outcome == CallOutcome::Completed;
        match outcome {
            CallOutcome::Completed => NextCall::Continue,
            CallOutcome::TimedOut if was_established => NextCall::Reconnect,
            CallOutcome::TimedOut | CallOutcome::Failed => NextCall::BackOff,
        }
    }
}
