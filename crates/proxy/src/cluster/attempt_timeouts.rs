//! One attempt under its own time-out, and the second copy that may go beside it.

use crate::cluster::pending_response::AttemptControl;
use crate::upstream::exchange::AttemptResult;
use mintshelf_balancer::api::{Nanos, Outcome};
use mintshelf_retry::attempts::TimeoutAction;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// How often an attempt that is not connected yet is looked at: its time counts from there.
const LOOK: Duration = Duration::from_millis(5);

/// What limits an attempt beside its request's deadline.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTimeouts {
    /// How long it may take from its connection on.
    pub limit: Option<Nanos>,
    /// When a second copy may go beside it.
    pub copy_after: Option<Nanos>,
}

/// Carries an attempt. `expired` decides what becomes of it when its own time is up; `copy`
/// asks for a second copy.
pub async fn run(
    attempt: impl Future<Output = AttemptResult>,
    trial: AttemptTimeouts,
    cancel: &AttemptControl,
    expired: impl Fn(Nanos) -> TimeoutAction,
    copy: impl Fn(),
) -> AttemptResult {
    let mut attempt = pin!(attempt);
    let begun = Instant::now();
    let copies = async {
        if let Some(after) = trial.copy_after {
            sleep_until(begun + Duration::from_nanos(after)).await;
            copy();
        }
        std::future::pending::<()>().await;
    };
    let cuts = async {
        let Some(limit) = trial.limit else { return std::future::pending().await };
        let connected = loop {
            match cancel.connected_at() {
                Some(at) => break at,
                // Bounded by the longest wait for a connection: then the attempt has ended.
                None => sleep(LOOK).await,
            }
        };
        sleep_until(connected + Duration::from_nanos(limit)).await;
        while let TimeoutAction::Wait(span) = expired(limit) {
            sleep(Duration::from_nanos(span)).await;
        }
    };
    tokio::select! {
        biased;
        ended = attempt.as_mut() => return ended,
        () = copies => {}
        () = cuts => {}
    }
    // What was written of it tells whether it may have run.
    cancel.cancel();
    let ended = attempt.await;
    match ended.outcome {
        Outcome::Cancelled => Outcome::TimedOut.into(),
        _ => ended,
    }
}
