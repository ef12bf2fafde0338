//! Whatever becomes of calls before, discovery is heard within 6 s of being reachable.

use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::Balancer;
use mintshelf_discovery::watch::*;
use proptest::prelude::*;
use std::time::Duration;

/// The longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// What a call meets while discovery can't be reached.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Refused,
    NoConnection,
    Reset(u64),
    Error(u64),
    Silent,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refused),
        Just(Fault::NoConnection),
        (0..1_000u64).prop_map(Fault::Reset),
        (0..1_000u64).prop_map(Fault::Error),
        Just(Fault::Silent),
    ]
}

/// The wait that the decision module sets for its next call.
fn next_call(actions: &[Action]) -> Option<(Nanos, u64)> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    })
}

struct Sidecar {
    module: Balancer,
    now: Nanos,
    watch: Watch,
}

impl Sidecar {
    /// A new process: when it makes its first call.
    fn start(seed: u64, poll_within: Duration) -> Self {
        let class = Class {
            effect: Effect::Safe,
            group: Group::All,
            dedup_window: 0,
            latency_objective: 1_000_000_000,
            deadline: 2_000_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
            max_attempts: 6,
            backoff: Backoff::default(),
        };
        let settings = Settings {
            must_poll: true,
            poll_within: poll_within.as_nanos() as Nanos,
            classes: vec![class],
            max_attempts: 6,
            ..Settings::default()
        };
        let mut actions = Vec::new();
        let module = Balancer::new(settings, seed, 0, &mut actions);
        let mut this = Sidecar { module, now: 0, watch: Watch::default() };
        this.listed(ListKind::Cached);
        this.wait_for_call(&actions);
        this
    }

    fn listed(&mut self, kind: ListKind) -> Vec<Action> {
        let mut actions = Vec::new();
        let event = Event::Servers { kind, version: 1, entries: Vec::new().into() };
        self.module.handle(self.now, event, &mut actions);
        actions
    }

    fn wait_for_call(&mut self, actions: &[Action]) {
        let (after, token) = next_call(actions).expect("a call is to come");
        self.now += after;
        let mut actions = Vec::new();
        self.module.handle(self.now, Event::Timer { token }, &mut actions);
        assert!(actions.contains(&Action::Watch { on: true }), "{actions:?}");
        self.watch = Watch::default();
    }

    fn pass(&mut self, span: Duration) {
        self.now += span.as_nanos() as Nanos;
    }

    /// A call that a fault meets, and the wait after it.
    fn fail(&mut self, fault: Fault) {
        let (took, end) = match fault {
            Fault::Refused => (Duration::ZERO, CallEnd::Failed),
            Fault::NoConnection => (CONNECT, CallEnd::Failed),
            Fault::Reset(ms) | Fault::Error(ms) => (Duration::from_millis(ms), CallEnd::Failed),
            Fault::Silent => (self.watch.wait() + self.watch.grace(), CallEnd::Silent),
        };
        self.pass(took);
        match self.watch.ended(end) {
            Next::GoOn | Next::Anew => {}
            Next::Fail => {
                let actions = self.listed(ListKind::Failed);
                self.wait_for_call(&actions);
            }
        }
    }

    /// A call that is answered.
    fn answer(&mut self, took: Duration) {
        self.pass(took);
        self.listed(ListKind::Changes);
        assert_eq!(self.watch.ended(CallEnd::Answered), Next::GoOn);
    }
}

/// How long a service that can be reached takes for an answer.
const SERVED_IN: Duration = Duration::from_millis(400);

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Discovery comes back at any moment between two calls, or in the middle of one that it
    /// will not answer.
    #[test]
    fn discovery_is_heard_in_time_whatever_calls_have_failed(
        seed: u64,
        poll_within in 1_000..60_000u64,
        well in 0..3usize,
        faults in proptest::collection::vec(fault(), 0..12),
        back in 0.0..1.0f64,
    ) {
        let mut sidecar = Sidecar::start(seed, Duration::from_millis(poll_within));
        prop_assert!(sidecar.now + SERVED_IN.as_nanos() as Nanos <= NOTIFIED_WITHIN, "{}", sidecar.now);
        (0..well).for_each(|_| sidecar.answer(SERVED_IN));
        let mut begun = sidecar.now;
        for fault in faults {
            begun = sidecar.now;
            sidecar.fail(fault);
        }
        // Back somewhere in the last call that failed, or the wait after it.
        let reachable = begun + ((sidecar.now - begun) as f64 * back) as Nanos;
        sidecar.answer(SERVED_IN);
        prop_assert!(sidecar.now - reachable <= NOTIFIED_WITHIN, "{}", sidecar.now - reachable);
    }

    /// A watch that goes well falls silent: what comes from then on is heard in time.
    #[test]
    fn a_silent_watch_is_noticed_in_time(seed: u64, well in 1..5usize, first in fault()) {
        let mut sidecar = Sidecar::start(seed, Duration::from_secs(10));
        (0..well).for_each(|_| sidecar.answer(SERVED_IN));
        let silent = sidecar.now;
        sidecar.fail(Fault::Silent);
        // And the call after it may meet a refusal or a break; then all is well.
        if !matches!(first, Fault::Silent | Fault::NoConnection) {
            sidecar.fail(match first {
                Fault::Reset(ms) => Fault::Reset(ms / 4),
                Fault::Error(ms) => Fault::Error(ms / 4),
                other => other,
            });
        }
        sidecar.answer(SERVED_IN);
        prop_assert!(sidecar.now - silent <= NOTIFIED_WITHIN, "{}", sidecar.now - silent);
    }
}
