//! When each attempt of a request may start and end, and whether that breaks a rule.
//!
//! The worst case is reckoned, not the usual one: each attempt takes all the time that it may,
//! each pause is as long as it may be, and the first attempt may have run. Against this the
//! deadline, the dedup window and the dedup group are held.

use mintshelf_balancer::api::{Backoff, Effect, Nanos};
use mintshelf_balancer::decide::attempts::{HOLD_SHARE, HOLD_STEP};
use std::fmt;
use std::time::Duration;

/// An adaptive time-out is no shorter than this part of the aim: a second try can then still
/// be answered within the aim.
const ADAPTIVE_FLOOR: f64 = 0.5;

/// How long one attempt may take, from its connection on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptTimeout {
    /// As long as the request.
    Whole,
    /// So long.
    Fixed(Nanos),
    /// Reasoned from the answers seen, between the bounds that [`Plan::adaptive_bounds`] gives.
    Adaptive,
}

/// What further attempts may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryOn {
    /// Those that are known not to have run.
    NeverRan,
    /// Those that may have run, too.
    MayHaveRun,
}

/// Which endpoints drop each other's repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of the cluster.
    Cluster,
    /// Those of one zone.
    Zone,
}

/// The settings of one class, or of one route of it, at one cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The gravest effect that the class has by itself.
    pub effect: Effect,
    /// For how long servers drop repeats, if keyed.
    pub window: Nanos,
    /// Which servers do.
    pub group: DedupGroup,
    /// Whether all endpoints of the cluster are of one group.
    pub one_group: bool,
    /// An answer within this time earns the full worth.
    pub latency_objective: Nanos,
    /// The whole time-out.
    pub deadline: Nanos,
    /// Most attempts.
    pub attempts: u32,
    /// Longest wait for a connection.
    pub connect: Nanos,
    /// Time for one attempt.
    pub per_try: AttemptTimeout,
    /// The bound of the first pause between attempts, which doubles, and the longest.
    pub backoff: [Nanos; 2],
    /// What may be followed by a further attempt.
    pub retry_on: RetryOn,
    /// Whether there are second copies.
    pub hedged: bool,
    /// Whether the cluster allows two attempts of one request at one time.
    pub two_out: bool,
    /// The module takes a window to end so much earlier.
    pub tick: Nanos,
    /// The longest advice on when to come back.
    pub advice: Nanos,
    /// How often clients send a request again by themselves, with the same key, after its
    /// deadline or as they are told.
    pub client_retries: u32,
}

/// One attempt in the worst case; times count from the start of the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// From 1.
    pub number: u32,
    /// When it starts if each earlier one takes all its time.
    pub latest: Nanos,
    /// When it has ended in any case.
    pub end: Nanos,
}

/// What a schedule breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SafetyViolation {
    /// An unsafe request would be sent again though it may have run.
    UnsafeRetry,
    /// An unsafe or keyed request would have two attempts out.
    CopyNotSafe(Effect),
    /// A keyed one, and to servers that do not know each other's keys.
    CopyCrossesGroup,
    /// Nothing may follow what may have run, and a copy goes beside just that.
    CopyNeverRan,
    /// The cluster does not allow two attempts out.
    CopyNotAllowed,
    /// A keyed request's further attempt could reach a server after its window.
    AfterWindow {
        /// The attempt.
        attempt: u32,
        /// When it could reach a server.
        at: Nanos,
        /// What that adds up from.
        sum: String,
    },
    /// A keyed request's client could come back after the window.
    ClientAfterWindow {
        /// When its last try could reach a server.
        at: Nanos,
        /// What that adds up from.
        sum: String,
    },
    /// One attempt may take longer than the whole request.
    TryOverWhole,
    /// An attempt that can never start in time.
    CannotFit {
        /// The attempt.
        attempt: u32,
        /// When it would start.
        at: Nanos,
    },
    /// A time-out for each try, and nothing that may follow one.
    PointlessTry,
}

/// A span as people write it, to the millisecond.
pub fn told(span: Nanos) -> String {
    let rounded = Duration::from_millis(span.div_ceil(1_000_000));
    if span == 0 {
        return "0 s".into();
    }
    match rounded.as_millis() {
        ms if ms < 1000 => format!("{ms} ms"),
        ms if ms % 1000 == 0 => format!("{} s", ms / 1000),
        ms => {
            let text = format!("{:.3}", ms as f64 / 1000.0);
            format!("{} s", text.trim_end_matches('0').trim_end_matches('.'))
        }
    }
}

impl Plan {
    /// Attempts that may follow one that may have run, and that one itself.
    fn repeats(&self) -> u32 {
        let may = match self.effect {
            Effect::Unsafe => false,
            _ => self.retry_on == RetryOn::MayHaveRun,
        };
        if may {
            self.attempts
        } else {
            1
        }
    }

    /// Bounds of an adaptive time-out for each try. The upper leaves as much to each of the
    /// attempts, once connections and pauses have taken theirs.
    pub fn adaptive_bounds(&self) -> [Nanos; 2] {
        let attempts = u64::from(self.attempts.max(1));
        let pauses: Nanos = (1..self.attempts).map(|made| self.pause(made)).sum();
        let other = pauses.saturating_add(self.connect.saturating_mul(attempts));
        let most = self.deadline.saturating_sub(other) / attempts;
        // What is answered within the aim is not to be cut, where two such tries fit.
        let most = most.max(self.latency_objective.min(self.deadline / 2)).max(1);
        let least = (self.latency_objective as f64 * ADAPTIVE_FLOOR) as Nanos;
        [least.min(most), most]
    }

    /// The longest pause after so many attempts.
    fn pause(&self, made: u32) -> Nanos {
        Backoff::from(self.backoff).bound(made as usize)
    }

    /// The time that one attempt before the last may take, its connection included.
    fn longest_try(&self) -> Nanos {
        let per_try = match self.per_try {
            AttemptTimeout::Whole => return self.deadline,
            AttemptTimeout::Fixed(span) => span,
            AttemptTimeout::Adaptive => self.adaptive_bounds()[1],
        };
        self.connect.saturating_add(per_try).min(self.deadline)
    }

    /// Each attempt in the worst case, the first at 0. Those that can't start are left out.
    pub fn steps(&self) -> Vec<Step> {
        let hold = (self.latency_objective as f64 * HOLD_SHARE) as Nanos;
        let mut latest: Nanos = 0;
        let mut steps = Vec::new();
        for number in 1..=self.attempts {
            if number > 1 {
                latest = latest.saturating_add(self.longest_try());
                latest = latest.saturating_add(self.pause(number - 1));
                if latest < hold {
                    // With no server to go to, it may be held that long.
                    latest = hold + HOLD_STEP;
                }
                latest = latest.min(self.deadline.saturating_sub(1));
            }
            let last = number == self.attempts;
            let end = if last { self.deadline } else { latest.saturating_add(self.longest_try()) };
            steps.push(Step { number, latest, end: end.min(self.deadline) });
        }
        steps
    }

    /// What the latest start of an attempt adds up from, in words.
    fn sum(&self, number: u32) -> String {
        let before = number.saturating_sub(1);
        if before == 0 {
            return String::new();
        }
        let times = |n: u32, span: Nanos| match n {
            1 => told(span),
            n => format!("{n} x {}", told(span)),
        };
        let mut parts = match self.per_try {
            AttemptTimeout::Whole => {
                return format!(
                    "attempt {before} has no per-try time-out and may break off at any time \
                     before the deadline, {}",
                    told(self.deadline)
                )
            }
            AttemptTimeout::Fixed(span) => vec![format!("{} per try", times(before, span))],
            AttemptTimeout::Adaptive => {
                vec![format!("{} per try at most", times(before, self.adaptive_bounds()[1]))]
            }
        };
        parts.push(format!("{} connecting", times(before, self.connect)));
        let pauses: Nanos = (1..number).map(|made| self.pause(made)).sum();
        if pauses > 0 {
            parts.push(format!("{} backoff", told(pauses)));
        }
        parts.push(format!("{} to connect again", told(self.connect)));
        parts.join(" + ")
    }

    /// When each further attempt that may follow one that may have run reaches a server at the
    /// latest: its number, and the time.
    fn arrivals(&self) -> Vec<(u32, Nanos)> {
        let steps = self.steps().into_iter().filter(|step| step.number > 1 && self.repeats() > 1);
        // A request reaches its server once it is connected.
        let at = |step: Step| step.latest.saturating_add(self.connect).min(self.deadline);
        steps.map(|step| (step.number, at(step))).collect()
    }

    /// The latest of them; without any, of the first attempt.
    fn last_arrival(&self) -> Nanos {
        self.arrivals().last().map_or(self.connect.min(self.deadline), |(_, at)| *at)
    }

    /// Everything that the settings break.
    pub fn breaches(&self) -> Vec<SafetyViolation> {
        let mut breaches = Vec::new();
        if self.effect == Effect::Unsafe && self.retry_on == RetryOn::MayHaveRun {
            breaches.push(SafetyViolation::UnsafeRetry);
        }
        if self.hedged {
            match self.effect {
                Effect::Idempotent if !self.one_group => {
                    breaches.push(SafetyViolation::CopyCrossesGroup)
                }
                Effect::Safe if self.retry_on == RetryOn::NeverRan => {
                    breaches.push(SafetyViolation::CopyNeverRan)
                }
                Effect::Safe => {}
                effect => breaches.push(SafetyViolation::CopyNotSafe(effect)),
            }
            if !self.two_out {
                breaches.push(SafetyViolation::CopyNotAllowed);
            }
        }
        if let AttemptTimeout::Fixed(span) = self.per_try {
            if span > self.deadline {
                breaches.push(SafetyViolation::TryOverWhole);
            } else {
                let cannot = (2..=self.attempts)
                    .map(|n| (n, span.saturating_mul(u64::from(n - 1))))
                    .find(|(_, at)| *at >= self.deadline);
                breaches
                    .extend(cannot.map(|(attempt, at)| SafetyViolation::CannotFit { attempt, at }));
            }
            if self.repeats() < 2 {
                breaches.push(SafetyViolation::PointlessTry);
            }
        }
        if self.effect == Effect::Idempotent {
            self.window_breaches(&mut breaches);
        }
        breaches
    }

    fn window_breaches(&self, breaches: &mut Vec<SafetyViolation>) {
        let until = self.window.saturating_sub(self.tick);
        if until == 0 {
            // Without a window it is not keyed, which is told elsewhere.
            return;
        }
        let after = self.arrivals().into_iter().find(|(_, at)| *at >= until);
        if let Some((attempt, at)) = after {
            breaches.push(SafetyViolation::AfterWindow { attempt, at, sum: self.sum(attempt) });
        }
        // Each try of a client may last to the deadline, then it waits as it is told, and its
        // last one reaches a server as late as a further attempt of ours.
        if self.client_retries > 0 {
            let tries = u64::from(self.client_retries);
            let waits = self.deadline.saturating_add(self.advice).saturating_mul(tries);
            let ours = self.last_arrival();
            let at = waits.saturating_add(ours);
            if at >= until {
                let sum = format!(
                    "{tries} x ({} deadline + {} retry advice) + {} for the attempts of its last try",
                    told(self.deadline),
                    told(self.advice),
                    told(ours)
                );
                breaches.push(SafetyViolation::ClientAfterWindow { at, sum });
            }
        }
    }

    /// Most attempts that fit with a fixed time for each: what a default is lowered to.
    pub fn fitting_attempts(&self) -> u32 {
        match self.per_try {
            AttemptTimeout::Fixed(span) if span > 0 => {
                let fit = self.deadline.saturating_sub(1) / span + 1;
                self.attempts.min(u32::try_from(fit).unwrap_or(u32::MAX)).max(1)
            }
            _ => self.attempts,
        }
    }
}

impl SafetyViolation {
    /// Whether an effect could happen twice by it.
    pub fn twice(&self) -> bool {
        !matches!(
            self,
            SafetyViolation::TryOverWhole
                | SafetyViolation::CannotFit { .. }
                | SafetyViolation::PointlessTry
                | SafetyViolation::CopyNeverRan
                | SafetyViolation::CopyNotAllowed
        )
    }

    /// The setting to look at, as the file names it.
    pub fn setting(&self) -> &'static str {
        match self {
            SafetyViolation::UnsafeRetry => "retry-on",
            SafetyViolation::CopyNotSafe(_)
            | SafetyViolation::CopyCrossesGroup
            | SafetyViolation::CopyNeverRan
            | SafetyViolation::CopyNotAllowed => "hedge",
            SafetyViolation::AfterWindow { .. } => "window",
            SafetyViolation::ClientAfterWindow { .. } => "client-retries",
            SafetyViolation::TryOverWhole | SafetyViolation::PointlessTry => "per-try-timeout",
            SafetyViolation::CannotFit { .. } => "max-attempts",
        }
    }

    /// How to mend it.
    pub fn mend(&self) -> &'static str {
        match self {
            SafetyViolation::UnsafeRetry => "write retry-on = \"never-ran\", or leave it out",
            SafetyViolation::CopyNotSafe(_) => {
                "remove hedge from this class and from what it inherits"
            }
            SafetyViolation::CopyCrossesGroup => "remove hedge: second copies are for safe classes",
            SafetyViolation::CopyNeverRan => "remove hedge, or write retry-on = \"may-have-run\"",
            SafetyViolation::CopyNotAllowed => {
                "write second-copies = true in the cluster, or remove hedge"
            }
            SafetyViolation::AfterWindow { .. } => {
                "shorten per-try-timeout, backoff or the cluster's connect-timeout, or lower \
                 max-attempts or the deadline"
            }
            SafetyViolation::ClientAfterWindow { .. } => {
                "shorten the deadline or max-retry-after, or lower client-retries"
            }
            SafetyViolation::TryOverWhole => "make it shorter than the deadline",
            SafetyViolation::CannotFit { .. } => "lower max-attempts, or shorten per-try-timeout",
            SafetyViolation::PointlessTry => {
                "remove it: the deadline bounds the one attempt that there is"
            }
        }
    }

    /// A plain sentence.
    pub fn sentence(&self, plan: &Plan) -> String {
        match self {
            SafetyViolation::UnsafeRetry => {
                "an unsafe request would be sent again after an attempt that may have run".into()
            }
            SafetyViolation::CopyNotSafe(Effect::Idempotent) => {
                "a keyed request would have two attempts out at once".into()
            }
            SafetyViolation::CopyNotSafe(_) => {
                "an unsafe request would have a second copy beside one that may have run".into()
            }
            SafetyViolation::CopyCrossesGroup => {
                "a second copy could go to an endpoint outside the first one's dedup group".into()
            }
            SafetyViolation::CopyNeverRan => {
                "a second copy goes beside an attempt that may run, which retry-on forbids".into()
            }
            SafetyViolation::CopyNotAllowed => {
                "the cluster does not allow two attempts of one request at a time".into()
            }
            SafetyViolation::AfterWindow { attempt, at, sum } => format!(
                "attempt {attempt} could reach a server at {} ({sum}); the window is {}",
                told(*at),
                told(plan.window)
            ),
            SafetyViolation::ClientAfterWindow { at, sum } => format!(
                "a client's own retry could reach a server at {} ({sum}); the window is {}",
                told(*at),
                told(plan.window)
            ),
            SafetyViolation::TryOverWhole => {
                format!("one try may take longer than the whole request, {}", told(plan.deadline))
            }
            SafetyViolation::CannotFit { attempt, at } => format!(
                "attempt {attempt} cannot fit: {} x per-try-timeout is {}, and the deadline {}",
                attempt - 1,
                told(*at),
                told(plan.deadline)
            ),
            SafetyViolation::PointlessTry => {
                "no attempt may follow one that ran out of its own time".into()
            }
        }
    }
}

/// The schedule as a time line, a line for each attempt.
impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const WIDTH: u64 = 48;
        let place = |at: Nanos| {
            (u128::from(at.min(self.deadline)) * u128::from(WIDTH)
                / u128::from(self.deadline.max(1))) as usize
        };
        writeln!(
            f,
            "  worst case, from the first attempt to the deadline, {}:",
            told(self.deadline)
        )?;
        for step in self.steps() {
            let (from, to) = (place(step.latest), place(step.end));
            let mut line: Vec<char> = vec!['.'; WIDTH as usize + 1];
            line[from..=to].fill('=');
            line[from] = '|';
            if place(self.latency_objective) < line.len()
                && line[place(self.latency_objective)] == '.'
            {
                line[place(self.latency_objective)] = 'a';
            }
            let line: String = line.into_iter().collect();
            let (from, to) = (told(step.latest), told(step.end));
            writeln!(f, "  try {} [{line}] starts by {from}, ends by {to}", step.number)?;
        }
        if self.effect == Effect::Idempotent {
            let at = told(self.last_arrival());
            writeln!(f, "  the last may reach a server at {at}; window {}", told(self.window))?;
        }
        if self.repeats() < 2 && self.attempts > 1 {
            writeln!(f, "  a further try only if the earlier ones are known not to have run")?;
        }
        Ok(())
    }
}
