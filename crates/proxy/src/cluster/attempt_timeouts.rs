//! Runs an attempt under its own timeout and requests a hedge when one is due.

use crate::upstream::attempt_control::AttemptControl;
use crate::upstream::response::AttemptResult;
use mintshelf_balancer::api::Outcome;
use mintshelf_retry::attempts::TimeoutAction;
use mintshelf_time::Nanos;
use std::future::{pending, Future};
use std::pin::pin;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Interval at which an attempt is checked for its connection; its timeout starts then.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeouts of an attempt, in addition to its request's deadline.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptTimeouts {
    /// Maximum time of the attempt from the moment that it has a connection, in nanoseconds; `None`
    /// if only the deadline of the request applies.
    pub(super) timeout_ns: Option<Nanos>,
    /// Delay after which a hedge may be sent, in nanoseconds from the start of the attempt; `None`
    /// if the attempt is not hedged.
    pub(super) hedge_after_ns: Option<Nanos>,
}

/// Runs an attempt. `on_timeout` decides whether the attempt is cancelled after the attempt's own
/// timeout; `hedge` requests a hedge.
pub(super) async fn run(
    attempt: impl Future<Output = AttemptResult>,
    timeouts: AttemptTimeouts,
    control: &AttemptControl,
    on_timeout: impl Fn(Nanos) -> TimeoutAction,
    hedge: impl Fn(),
) -> AttemptResult {
    let mut attempt = pin!(attempt);
    let started_at = Instant::now();
    tokio::select! {
        biased;
        result = attempt.as_mut() => return result,
        () = hedge_when_due(started_at, timeouts.hedge_after_ns, hedge) => {}
        () = timed_out(timeouts.timeout_ns, control, on_timeout) => {}
    }
    // The cancelled attempt still reports its outcome: whether the request may have run depends on
    // how much of it was written.
    control.cancel();
    let result = attempt.await;
    match result.outcome {
        Outcome::Cancelled => Outcome::TimedOut.into(),
        _ => result,
    }
}

/// Requests a hedge when the hedge is due; never completes.
async fn hedge_when_due(started_at: Instant, after_ns: Option<Nanos>, hedge: impl Fn()) {
    if let Some(after_ns) = after_ns {
        sleep_until(started_at + Duration::from_nanos(after_ns)).await;
        hedge();
    }
    pending::<()>().await;
}

/// Waits until an attempt has to be cancelled for its own timeout, which starts when it has a
/// connection.
async fn timed_out(
    timeout_ns: Option<Nanos>,
    control: &AttemptControl,
    on_timeout: impl Fn(Nanos) -> TimeoutAction,
) {
    let Some(timeout_ns) = timeout_ns else { return pending().await };
    let connected_at = loop {
        match control.connected_at() {
            Some(connected_at) => break connected_at,
            // The connect timeout, which ends the attempt, bounds this loop.
            None => sleep(CONNECTION_POLL_INTERVAL).await,
        }
    };
    sleep_until(connected_at + Duration::from_nanos(timeout_ns)).await;
    while let TimeoutAction::RecheckAfter(wait_ns) = on_timeout(timeout_ns) {
        sleep(Duration::from_nanos(wait_ns)).await;
    }
}
