//! How long one attempt may take, and when a second copy goes beside it.

use crate::latency_window::LatencyWindow;
use crate::schedule::AttemptTimeout;
use mintshelf_balancer::api::{Effect, Nanos};
use mintshelf_balancer::budget::RetryBudget;

/// An adaptive time-out is this multiple of what 99 of a hundred answers take.
const BEYOND: u64 = 3;
/// An attempt that could not be followed by another is looked at again after this part of its
/// time.
const AGAIN: u64 = 4;
/// Second copies saved up while none are sent.
const COPIES_SAVED: f64 = 4.0;

/// When a second copy goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgeDelay {
    /// After a fixed time.
    Span(Nanos),
    /// When 95 of a hundred answers would have come.
    P95,
}

/// Second copies of safe requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hedge {
    /// When one goes.
    pub after: HedgeDelay,
    /// The most of them, as a part of the requests.
    pub share: f64,
}

/// What one class of the decision module may do with its attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// Its effect.
    pub effect: Effect,
    /// Time for one attempt.
    pub per_try: AttemptTimeout,
    /// Bounds of an adaptive time.
    pub bounds: [Nanos; 2],
    /// Most attempts.
    pub attempts: u32,
    /// Second copies, if any.
    pub hedge: Option<Hedge>,
    /// Longest wait for a connection.
    pub connect: Nanos,
    /// A connection that has rested for longer is not used.
    pub idle: Nanos,
}

/// What is to be done with an attempt whose time is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeoutAction {
    /// It is ended; another may follow.
    Now,
    /// Nothing could follow: it is waited for, and looked at again after this span.
    Wait(Nanos),
}

/// The state of one class.
#[derive(Debug)]
pub struct AttemptTracker {
    plan: RetryPolicy,
    answers: LatencyWindow,
    copies: RetryBudget,
    cut: u64,
    copied: u64,
}

impl AttemptTracker {
    /// With nothing seen yet.
    pub fn new(plan: RetryPolicy, now: Nanos) -> Self {
        let share = plan.hedge.map_or(0.0, |hedge| hedge.share);
        let copies = RetryBudget::new(share, COPIES_SAVED);
        AttemptTracker { plan, answers: LatencyWindow::new(now), copies, cut: 0, copied: 0 }
    }

    /// What it was made of.
    pub fn plan(&self) -> &RetryPolicy {
        &self.plan
    }

    /// A request has come.
    pub fn begin(&mut self) {
        self.copies.earn();
    }

    /// How long attempt `number`, from 0, may take once it is connected; none for as long as
    /// the request. The last one has all the time that is left.
    pub fn limit(&mut self, now: Nanos, number: u32) -> Option<Nanos> {
        if self.plan.effect == Effect::Unsafe || number + 1 >= self.plan.attempts {
            return None;
        }
        match self.plan.per_try {
            AttemptTimeout::Whole => None,
            AttemptTimeout::Fixed(span) => Some(span),
            AttemptTimeout::Adaptive => {
                let [least, most] = self.plan.bounds;
                let seen = self.answers.quantiles(now).map(|seen| seen.p99.saturating_mul(BEYOND));
                // Before anything is known, twice the least: the aim.
                Some(seen.unwrap_or(least.saturating_mul(2)).clamp(least, most))
            }
        }
    }

    /// What becomes of an attempt that has taken `limit`. `paid`: the retry budget covers
    /// another; `elsewhere`: there is another endpoint.
    pub fn expired(
        &mut self,
        now: Nanos,
        limit: Nanos,
        paid: bool,
        elsewhere: bool,
    ) -> TimeoutAction {
        // A keyed request's attempts end when the schedule says: its window is reckoned so.
        let keyed = self.plan.effect == Effect::Idempotent;
        let elsewhere = elsewhere || self.plan.per_try != AttemptTimeout::Adaptive;
        if keyed || paid && elsewhere {
            self.cut += 1;
            // It would have taken at least that.
            self.answers.note(now, limit);
            TimeoutAction::Now
        } else {
            TimeoutAction::Wait((limit / AGAIN).max(1_000_000))
        }
    }

    /// When a second copy of a request may go, counted from its first attempt.
    pub fn copy_after(&mut self, now: Nanos) -> Option<Nanos> {
        let hedge = self.plan.hedge.filter(|_| self.plan.effect == Effect::Safe)?;
        match hedge.after {
            HedgeDelay::Span(span) => Some(span),
            HedgeDelay::P95 => self.answers.quantiles(now).map(|seen| seen.p95),
        }
    }

    /// Whether a second copy may go now: their share is bounded.
    pub fn may_copy(&mut self) -> bool {
        let paid = self.plan.hedge.is_some() && self.copies.pay(1.0);
        self.copied += u64::from(paid);
        paid
    }

    /// A server answered after so long.
    pub fn answered(&mut self, now: Nanos, took: Nanos) {
        self.answers.note(now, took);
    }

    /// What half of the answers take; 0 while that is not known.
    pub fn usual(&mut self, now: Nanos) -> Nanos {
        self.answers.quantiles(now).map_or(0, |seen| seen.p50)
    }

    /// Attempts that were ended for their own time, and second copies, so far.
    pub fn counts(&self) -> [u64; 2] {
        [self.cut, self.copied]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    fn tries(per_try: AttemptTimeout, effect: Effect, hedge: Option<Hedge>) -> AttemptTracker {
        let bounds = [50 * MS, 600 * MS];
        let plan =
            RetryPolicy { effect, per_try, bounds, attempts: 3, hedge, connect: MS, idle: MS };
        AttemptTracker::new(plan, 0)
    }

    #[test]
    fn a_time_out_follows_the_answers_between_its_bounds() {
        let mut tries = tries(AttemptTimeout::Adaptive, Effect::Safe, None);
        assert_eq!(tries.limit(0, 0), Some(100 * MS));
        assert_eq!(tries.limit(0, 2), None, "the last attempt has all that is left");
        for n in 0..1000 {
            tries.answered(n, 3 * MS);
        }
        assert_eq!(tries.limit(MS, 0), Some(50 * MS));
        for n in 0..1000 {
            tries.answered(MS + n, 100 * MS);
        }
        let limit = tries.limit(2 * MS, 1).unwrap();
        assert!((295 * MS..310 * MS).contains(&limit), "{limit}");
        for n in 0..10_000 {
            tries.answered(3 * MS + n, 9_000 * MS);
        }
        assert_eq!(tries.limit(4 * MS, 1), Some(600 * MS));
    }

    #[test]
    fn an_attempt_is_cut_only_where_another_can_follow() {
        let mut safe = tries(AttemptTimeout::Adaptive, Effect::Safe, None);
        assert!(matches!(safe.expired(0, 40 * MS, false, true), TimeoutAction::Wait(_)));
        assert!(matches!(safe.expired(0, 40 * MS, true, false), TimeoutAction::Wait(_)));
        assert_eq!(safe.expired(0, 40 * MS, true, true), TimeoutAction::Now);
        let mut keyed = tries(AttemptTimeout::Fixed(MS), Effect::Idempotent, None);
        assert_eq!(keyed.expired(0, MS, false, false), TimeoutAction::Now);
        let mut never = tries(AttemptTimeout::Fixed(MS), Effect::Unsafe, None);
        assert_eq!(never.limit(0, 0), None);
        assert_eq!(keyed.counts(), [1, 0]);
    }

    #[test]
    fn second_copies_keep_within_their_share() {
        let hedge = Some(Hedge { after: HedgeDelay::P95, share: 0.1 });
        let mut tries = tries(AttemptTimeout::Whole, Effect::Safe, hedge);
        assert_eq!(tries.copy_after(0), None, "nothing is known yet");
        let mut sent = 0;
        for n in 0..1000 {
            tries.begin();
            tries.answered(n, 2 * MS);
            sent += u32::from(tries.may_copy());
        }
        assert!((100..=104).contains(&sent), "{sent}");
        assert!(tries.copy_after(MS).is_some());
    }
}
