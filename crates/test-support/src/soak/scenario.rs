//! The size, the load and the events of one run, drawn from its seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A class of requests, as the platform's settings name its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// May run any number of times.
    Safe,
    /// Servers run it once for each key.
    Keyed,
    /// A request may run only once.
    Unsafe,
}

impl Class {
    /// All classes, in the order of the settings.
    pub const ALL: [Class; 3] = [Class::Safe, Class::Keyed, Class::Unsafe];

    /// Returns the name of the class in settings and requests.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Class::Safe => "safe",
            Class::Keyed => "keyed",
            Class::Unsafe => "unsafe",
        }
    }
}

/// The behavior of a server towards requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Behavior {
    /// The server serves all requests.
    Serve,
    /// The server responds that its queue is full.
    Full,
    /// The server never responds.
    Hang,
    /// The server resets the connection after the request.
    Reset,
    /// The server responds with 500.
    Fail,
    /// The server resets the connection within its response.
    BreakOff,
    /// The server serves requests, and closes each connection soon after its response.
    CloseIdle,
}

/// The behavior of discovery towards calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListDelivery {
    /// Discovery responds completely.
    Complete,
    /// Discovery closes the connection within its responses.
    CutOff,
    /// Discovery sends its responses in pieces, with delays.
    Slow,
}

/// One event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Event {
    /// New servers are listed.
    Join(usize),
    /// Servers in service are listed as draining.
    Drain(usize),
    /// Draining servers are removed.
    Remove,
    /// A part of the servers, in thousandths, misbehaves for a while.
    Misbehave { thousandths: usize, behavior: Behavior, duration: Duration },
    /// Discovery accepts no calls for a while and resets those that wait.
    Outage(Duration),
    /// Open calls to discovery are never answered.
    SilentWatches,
    /// Discovery delivers lists in another way for a while.
    Deliver { delivery: ListDelivery, duration: Duration },
    /// Discovery responds to the next calls with complete lists, new servers first.
    CompleteLists,
    /// SIGHUP with another address of discovery.
    Reload,
    /// SIGTERM; SIGKILL follows at the earliest time that the platform allows, then a new start.
    Restart,
}

/// A run: its size, its load and its events.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Determines all other fields.
    pub seed: u64,
    /// Servers listed at the start.
    pub servers: usize,
    /// Requests per second of all clients.
    pub rate: f64,
    /// Longest deadline of a class.
    pub deadline: Duration,
    /// CPU time that the process gets, in thousandths of a core; none for all of one.
    pub cpu_thousandths: Option<u32>,
    /// Number of idle clients that use up the descriptors.
    pub idle_clients: usize,
    /// Whether some clients send requests in pieces, or stop within one and stay connected.
    pub has_slow_clients: bool,
    pub(super) events: Vec<(Duration, Event)>,
    pub(super) length: Duration,
}

/// Random numbers of a run.
#[derive(Debug)]
pub(super) struct SeededRandom(Pcg64Mcg);

impl SeededRandom {
    pub(super) fn new(seed: u64) -> Self {
        SeededRandom(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A uniform number in [0, 1).
    pub(super) fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An integer from `min` to `max`, both included.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a product of small numbers that are not negative, rounded down"
    )]
    pub(super) fn between(&mut self, min: usize, max: usize) -> usize {
        min + (self.uniform() * (max - min + 1) as f64) as usize
    }

    pub(super) fn is_chosen(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    pub(super) fn millis(&mut self, min: usize, max: usize) -> Duration {
        Duration::from_millis(self.between(min, max) as u64)
    }
}

/// Parts of a run that have random numbers of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RandomStream {
    Servers = 1,
    Clients,
    Environment,
    Discovery,
    SlowClients,
}

/// Length of a run before its last restart.
const LENGTH: Duration = Duration::from_secs(9);
/// The share of a core that the platform gives a sidecar.
const CPU_THOUSANDTHS: u32 = 40;

impl Scenario {
    /// The run of a seed; `servers` at the start, on a part of a core if `is_limited`.
    #[must_use]
    pub fn new(seed: u64, servers: usize, is_limited: bool) -> Self {
        let mut random = SeededRandom::new(seed);
        let mut events = release(&mut random, servers);
        events.extend(faults(&mut random));
        let reloads = random.between(0, 3);
        let reload_at = random.millis(1_000, 6_000);
        for number in 0..reloads {
            let delay = Duration::from_millis(120 * number as u64);
            events.push((reload_at + delay, Event::Reload));
        }
        events.push((random.millis(4_000, 6_000), Event::Restart));
        let rate = 20.0 + 30.0 * random.uniform();
        let deadline = random.millis(700, 2_500);
        let idle_clients = if random.is_chosen(0.25) { 140 } else { 0 };
        events.extend(list_faults(&mut random));
        events.extend(connection_faults(&mut random));
        events.sort_by_key(|(at, _)| *at);
        Scenario {
            seed,
            servers,
            rate,
            deadline,
            cpu_thousandths: is_limited.then_some(CPU_THOUSANDTHS),
            idle_clients,
            has_slow_clients: random.is_chosen(0.4),
            events,
            length: LENGTH,
        }
    }
}

impl Scenario {
    /// The random numbers of one part of the run.
    pub(super) fn random(&self, part: RandomStream) -> SeededRandom {
        SeededRandom::new(self.seed ^ (part as u64) << 32)
    }
}

/// A release: servers join, others drain and are removed, in steps.
fn release(random: &mut SeededRandom, servers: usize) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    let mut at = random.millis(500, 1_500);
    let step = (servers / 16).max(1);
    for _ in 0..random.between(2, 4) {
        if random.is_chosen(0.4) {
            events.push((at, Event::CompleteLists));
        }
        events.push((at, Event::Join(step)));
        at += random.millis(300, 1_200);
        events.push((at, Event::Drain(step)));
        at += random.millis(300, 1_500);
        events.push((at, Event::Remove));
    }
    events
}

fn faults(random: &mut SeededRandom) -> Vec<(Duration, Event)> {
    let behaviors = [Behavior::Full, Behavior::Hang, Behavior::Reset, Behavior::Fail];
    let mut events = misbehaviors(random, &behaviors, 0.6);
    if random.is_chosen(0.4) {
        events.push((random.millis(500, 5_000), Event::Outage(random.millis(300, 3_000))));
    }
    events
}

/// Some servers misbehave, in each way with this probability.
fn misbehaviors(
    random: &mut SeededRandom,
    behaviors: &[Behavior],
    probability: f64,
) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    for behavior in behaviors {
        if random.is_chosen(probability) {
            let thousandths = random.between(50, 500);
            let duration = random.millis(500, 3_000);
            let misbehave = Event::Misbehave { thousandths, behavior: *behavior, duration };
            events.push((random.millis(500, 6_000), misbehave));
        }
    }
    events
}

/// Faults between servers and the process.
fn connection_faults(random: &mut SeededRandom) -> Vec<(Duration, Event)> {
    misbehaviors(random, &[Behavior::BreakOff, Behavior::CloseIdle], 0.4)
}

/// Faults between discovery and the process.
fn list_faults(random: &mut SeededRandom) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    if random.is_chosen(0.3) {
        events.push((random.millis(200, 3_000), Event::SilentWatches));
    }
    for delivery in [ListDelivery::CutOff, ListDelivery::Slow] {
        if random.is_chosen(0.3) {
            let duration = random.millis(300, 2_000);
            events.push((random.millis(200, 5_000), Event::Deliver { delivery, duration }));
        }
    }
    events
}
