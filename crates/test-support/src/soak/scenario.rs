//! What happens in one run, drawn from its seed.

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
    /// May run once.
    Unsafe,
}

impl Class {
    /// All classes, in the order of the settings.
    pub const ALL: [Class; 3] = [Class::Safe, Class::Keyed, Class::Unsafe];

    /// Its name in the settings and in requests.
    pub fn name(self) -> &'static str {
        match self {
            Class::Safe => "safe",
            Class::Keyed => "keyed",
            Class::Unsafe => "unsafe",
        }
    }
}

/// What a server does with requests from a moment on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Behavior {
    /// Serves them.
    Serve,
    /// Says that its queue is full.
    Full,
    /// Says nothing.
    Hang,
    /// Resets the connection once it has the request.
    Reset,
    /// Answers 500.
    Fail,
    /// Resets the connection within its response.
    BreakOff,
    /// Serves them, and closes each connection soon after its response.
    CloseIdle,
}

/// What discovery does with calls for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListDelivery {
    /// Answers them.
    Complete,
    /// Ends the connection within its answers.
    CutOff,
    /// Sends its answers in pieces, with delays.
    Slow,
}

/// One event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Event {
    /// New servers are listed.
    Join(usize),
    /// Servers in service are listed as draining.
    Drain(usize),
    /// Draining servers are listed no longer.
    Remove,
    /// A part of the servers, in thousandths, behaves so for a while.
    Misbehave { thousandths: usize, behavior: Behavior, lasts: Duration },
    /// Discovery takes no calls for a while and resets those that wait.
    Outage(Duration),
    /// Open calls to discovery are never answered.
    SilentWatches,
    /// Discovery delivers lists so for a while.
    Deliver { delivery: ListDelivery, lasts: Duration },
    /// Discovery gives complete lists to the calls that come next, new servers first.
    CompleteLists,
    /// SIGHUP with another address of discovery.
    Reload,
    /// SIGTERM; SIGKILL follows at the earliest time that the platform allows, then a new start.
    Restart,
}

/// A run: its size, its load and its events.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// It determines everything below.
    pub seed: u64,
    /// Servers listed at the start.
    pub servers: usize,
    /// Requests a second.
    pub rate: f64,
    /// Longest deadline of a class.
    pub deadline: Duration,
    /// CPU time that the process gets, in thousandths of a core; none for all of one.
    pub cpu_thousandths: Option<u32>,
    /// Idle clients that take the descriptors.
    pub crowd: usize,
    /// Whether some clients send in pieces, or stop in the midst of a request and stay.
    pub has_slow_clients: bool,
    pub(super) events: Vec<(Duration, Event)>,
    pub(super) length: Duration,
}

/// Random numbers of a run.
#[derive(Debug)]
pub(super) struct Draw(Pcg64Mcg);

impl Draw {
    pub(super) fn new(seed: u64) -> Self {
        Draw(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A uniform number in [0, 1).
    pub(super) fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A whole number from `least` to `most`.
    pub(super) fn between(&mut self, least: usize, most: usize) -> usize {
        least + (self.uniform() * (most - least + 1) as f64) as usize
    }

    pub(super) fn is_chosen(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    pub(super) fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.between(least as usize, most as usize) as u64)
    }
}

/// Parts of a run with random numbers of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DrawPart {
    Servers = 1,
    Clients,
    Stage,
    Discovery,
    SlowClients,
}

/// Length of a run before its last restart.
const LENGTH: Duration = Duration::from_secs(9);
/// Shares of a core as the platform gives them.
const CPU_THOUSANDTHS: u32 = 40;

impl Scenario {
    /// The run of a seed; `servers` at the start, on a part of a core if `is_limited`.
    pub fn new(seed: u64, servers: usize, is_limited: bool) -> Self {
        let mut draw = Draw::new(seed);
        let mut events = release(&mut draw, servers);
        events.extend(faults(&mut draw));
        let reloads = draw.between(0, 3);
        let reload_at = draw.millis(1_000, 6_000);
        for number in 0..reloads {
            events.push((reload_at + Duration::from_millis(120) * number as u32, Event::Reload));
        }
        events.push((draw.millis(4_000, 6_000), Event::Restart));
        let rate = 20.0 + 30.0 * draw.uniform();
        let deadline = draw.millis(700, 2_500);
        let crowd = if draw.is_chosen(0.25) { 140 } else { 0 };
        events.extend(list_faults(&mut draw));
        events.extend(connection_faults(&mut draw));
        events.sort_by_key(|(at, _)| *at);
        Scenario {
            seed,
            servers,
            rate,
            deadline,
            cpu_thousandths: is_limited.then_some(CPU_THOUSANDTHS),
            crowd,
            has_slow_clients: draw.is_chosen(0.4),
            events,
            length: LENGTH,
        }
    }
}

impl Scenario {
    /// The random numbers of one part of the run.
    pub(super) fn draw(&self, part: DrawPart) -> Draw {
        Draw::new(self.seed ^ (part as u64) << 32)
    }
}

/// A release: servers join, others drain and go, in steps.
fn release(draw: &mut Draw, servers: usize) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    let mut at = draw.millis(500, 1_500);
    let step = (servers / 16).max(1);
    for _ in 0..draw.between(2, 4) {
        if draw.is_chosen(0.4) {
            events.push((at, Event::CompleteLists));
        }
        events.push((at, Event::Join(step)));
        at += draw.millis(300, 1_200);
        events.push((at, Event::Drain(step)));
        at += draw.millis(300, 1_500);
        events.push((at, Event::Remove));
    }
    events
}

fn faults(draw: &mut Draw) -> Vec<(Duration, Event)> {
    let behaviors = [Behavior::Full, Behavior::Hang, Behavior::Reset, Behavior::Fail];
    let mut events = misbehaviors(draw, &behaviors, 0.6);
    if draw.is_chosen(0.4) {
        events.push((draw.millis(500, 5_000), Event::Outage(draw.millis(300, 3_000))));
    }
    events
}

/// Parts of the servers misbehave, in each way with this probability.
fn misbehaviors(
    draw: &mut Draw,
    behaviors: &[Behavior],
    probability: f64,
) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    for behavior in behaviors {
        if draw.is_chosen(probability) {
            let thousandths = draw.between(50, 500);
            let lasts = draw.millis(500, 3_000);
            let misbehave = Event::Misbehave { thousandths, behavior: *behavior, lasts };
            events.push((draw.millis(500, 6_000), misbehave));
        }
    }
    events
}

/// Faults between servers and the process.
fn connection_faults(draw: &mut Draw) -> Vec<(Duration, Event)> {
    misbehaviors(draw, &[Behavior::BreakOff, Behavior::CloseIdle], 0.4)
}

/// Faults between discovery and the process.
fn list_faults(draw: &mut Draw) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    if draw.is_chosen(0.3) {
        events.push((draw.millis(200, 3_000), Event::SilentWatches));
    }
    for delivery in [ListDelivery::CutOff, ListDelivery::Slow] {
        if draw.is_chosen(0.3) {
            let lasts = draw.millis(300, 2_000);
            events.push((draw.millis(200, 5_000), Event::Deliver { delivery, lasts }));
        }
    }
    events
}
