//! One attempt under its own timeout, and the hedge that may go beside it.

use crate::upstream::attempt_control::AttemptControl;
use crate::upstream::response::AttemptResult;
use mintshelf_balancer::api::Outcome;
use mintshelf_retry::attempts::TimeoutAction;
use mintshelf_time::Nanos;
use std::future::{pending, Future};
use std::pin::pin;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// How often an attempt is checked for its connection, from which its timeout counts.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What limits an attempt beside its request's deadline.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptTimeouts {
    /// How long it may take from its connection on, in nanoseconds.
    pub(super) timeout_ns: Option<Nanos>,
    /// When a hedge may go beside it, in nanoseconds from its start.
    pub(super) hedge_after_ns: Option<Nanos>,
}

/// Runs an attempt. `on_timeout` decides what becomes of it when its own timeout has passed;
/// `hedge` requests a hedge.
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
    // Whether it may have run depends on what was written of it.
    control.cancel();
    let result = attempt.await;
    match result.outcome {
        Outcome::Cancelled => Outcome::TimedOut.into(),
        _ => result,
    }
}

/// Requests a hedge when it is due; never ends.
async fn hedge_when_due(started_at: Instant, after_ns: Option<Nanos>, hedge: impl Fn()) {
    if let Some(after_ns) = after_ns {
        sleep_until(started_at + Duration::from_nanos(after_ns)).await;
        hedge();
    }
    pending::<()>().await;
}

/// Waits until an attempt is to end for its own timeout, counted from its connection.
async fn timed_out(
    timeout_ns: Option<Nanos>,
    control: &AttemptControl,
    on_timeout: impl Fn(Nanos) -> TimeoutAction,
) {
    let Some(timeout_ns) = timeout_ns else { return pending().await };
    let connected_at = loop {
        match control.connected_at() {
            Some(connected_at) => break connected_at,
            // Bounded by the connect timeout, with which the attempt ends.
            None => sleep(CONNECTION_POLL_INTERVAL).await,
        }
    };
    sleep_until(connected_at + Duration::from_nanos(timeout_ns)).await;
    while let TimeoutAction::RecheckAfter(wait_ns) = on_timeout(timeout_ns) {
        sleep(Duration::from_nanos(wait_ns)).await;
    }
}
