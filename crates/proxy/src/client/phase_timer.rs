//! The current phase of a client connection, and the time at which it times out.

use super::phase::{ClientTimeouts, Phase};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Minimum time to receive a first request, however long its connection waited to be accepted.
const MIN_FIRST_RECEIVE: Duration = Duration::from_millis(500);

/// The current phase, when it began, and its timeout.
#[derive(Debug)]
pub(super) struct PhaseTimer {
    phase: Cell<Phase>,
    /// The time when the phase began, or when bytes last passed if they restart the timeout.
    since: Cell<Instant>,
    /// Maximum time to receive the first request, counted from the accept.
    first_receive: Duration,
    timeouts: ClientTimeouts,
    /// The deadline that is waited for; `None` before the first wait.
    awaited_deadline: Cell<Option<Instant>>,
    /// Notified when a phase begins that ends before the awaited deadline.
    deadline_advanced: Notify,
}

impl PhaseTimer {
    /// Starts with [`Phase::New`]; the first request has waited `accept_wait` to be accepted.
    pub(super) fn start(timeouts: ClientTimeouts, accept_wait: Duration) -> Self {
        let min_receive = MIN_FIRST_RECEIVE.min(timeouts.receive);
        PhaseTimer {
            phase: Cell::new(Phase::New),
            since: Cell::new(Instant::now()),
            first_receive: timeouts.receive.saturating_sub(accept_wait).max(min_receive),
            timeouts,
            awaited_deadline: Cell::default(),
            deadline_advanced: Notify::new(),
        }
    }

    /// Returns the current phase.
    pub(super) fn get(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the time when the phase began, or when bytes last passed if they restart the
    /// timeout.
    pub(super) fn since(&self) -> Instant {
        self.since.get()
    }

    /// Sets the phase and restarts the timeout.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        if self.awaited_deadline.get().is_some_and(|awaited| self.deadline() < awaited) {
            self.deadline_advanced.notify_one();
        }
    }

    /// Restarts the timeout of [`Phase::Busy`] because bytes have passed, if they extend it.
    pub(super) fn record_progress(&self) {
        if self.timeouts.is_extended_by_progress && self.phase.get() == Phase::Busy {
            self.since.set(Instant::now());
        }
    }

    /// Returns the time at which the phase times out.
    pub(super) fn deadline(&self) -> Instant {
        let timeout = match self.phase.get() {
            Phase::New => self.first_receive,
            Phase::Closing | Phase::Discarding | Phase::Receiving => self.timeouts.receive,
            Phase::Idle => self.timeouts.idle,
            Phase::Busy => self.timeouts.busy.get(),
        };
        self.since.get() + timeout
    }

    /// Waits until the deadline of the phase, or until a phase with an earlier one begins.
    pub(super) async fn wait_for_deadline(&self) {
        let deadline = self.deadline();
        self.awaited_deadline.set(Some(deadline));
        tokio::select! {
            () = sleep_until(deadline) => {}
            () = self.deadline_advanced.notified() => {}
        }
    }
}
