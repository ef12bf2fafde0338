//! What is played.

use crate::fleet::Fleet;
use crate::{MS, SECOND};
use mintshelf_balancer::api::{Effect, Nanos};
use std::ops::Range;

/// A class of requests of the lab.
#[derive(Debug, Clone, Copy)]
pub struct Lab {
    /// Its name.
    pub name: &'static str,
    /// What may happen to it twice.
    pub effect: Effect,
    /// Its part of the requests.
    pub share: f64,
    /// Its work, against the other classes'.
    pub work: f64,
    /// An answer within this time is in time.
    pub latency_objective: Nanos,
    /// How long a client waits for one try.
    pub deadline: Nanos,
    /// What an answer in time is worth.
    pub priority_weight: f64,
}

/// For how long servers drop the repeats of a keyed request.
pub const WINDOW: Nanos = 20 * SECOND;

const fn lab(
    name: &'static str,
    effect: Effect,
    numbers: [f64; 3],
    latency_objective: Nanos,
) -> Lab {
    let [share, work, priority_weight] = numbers;
    Lab {
        name,
        effect,
        share,
        work,
        latency_objective,
        deadline: 2 * latency_objective,
        priority_weight,
    }
}

/// The lab's four classes.
pub const CLASSES: [Lab; 4] = [
    lab("device-status", Effect::Safe, [0.5, 8.0, 1.0], 400 * MS),
    lab("run-logs", Effect::Safe, [0.25, 15.0, 1.0], 800 * MS),
    lab("queue-run", Effect::Idempotent, [0.15, 20.0, 2.0], 800 * MS),
    lab("flash-device", Effect::Unsafe, [0.1, 40.0, 4.0], 1_200 * MS),
];

/// What clients do when they are refused or have no answer. Each makes two tries more at
/// most, and none where it can't know whether an unsafe request has run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Retry {
    /// Nothing.
    Never,
    /// They come again at once.
    AtOnce,
    /// After about this time.
    Pause(Nanos),
    /// When they were told to; after a tenth of a second if they were not.
    Honour,
}

/// What is wrong with some servers for some time.
#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    /// From when.
    pub from: Nanos,
    /// Until when.
    pub until: Nanos,
    /// Which servers.
    pub servers: Range<usize>,
    /// What.
    pub kind: Kind,
}

/// A kind of trouble.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// The process is gone: its connections break, new ones are refused, it returns cold.
    Crash,
    /// The way to it is cut: nothing comes or goes, connections stay.
    Silence,
    /// Everything takes so many times as long.
    Slow(f64),
    /// Requests of one class are never answered.
    Hang(usize),
}

/// A run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Gives all random numbers.
    pub seed: u64,
    /// How many sidecars.
    pub sidecars: usize,
    /// How many servers.
    pub servers: usize,
    /// First tries a second, over all sidecars.
    pub rate: f64,
    /// What the servers can do when warm, as a multiple of the work of those.
    pub capacity: f64,
    /// How long it lasts.
    pub length: Nanos,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// What clients do.
    pub retry: Retry,
    /// The recovery package with this ramp; absent for the decision module alone.
    pub ramp: Option<Nanos>,
    /// Longest advice.
    pub max_retry_after: Nanos,
    /// How long a server that comes back warms up, and from what part of its capacity.
    pub cold: Nanos,
    /// See `cold`.
    pub cold_from: f64,
    /// What the fleet goes through beside that.
    pub fleet: Fleet,
}

impl Plan {
    /// A site as the lab's, calm, for `seconds`.
    pub fn calm(seed: u64, rate: f64, seconds: u64) -> Self {
        Plan {
            seed,
            sidecars: 50,
            servers: 6,
            rate,
            capacity: 1.5,
            length: seconds * SECOND,
            troubles: Vec::new(),
            retry: Retry::Pause(100 * MS),
            ramp: Some(2 * SECOND),
            max_retry_after: 60 * SECOND,
            cold: 0,
            cold_from: 0.3,
            fleet: Fleet::default(),
        }
    }

    /// The same with all servers in trouble from one second to another.
    pub fn outage(self, kind: Kind, from: u64, until: u64) -> Self {
        let servers = 0..self.servers;
        self.trouble(Trouble { from: from * SECOND, until: until * SECOND, servers, kind })
    }

    /// The same with one trouble more.
    pub fn trouble(mut self, trouble: Trouble) -> Self {
        self.troubles.push(trouble);
        self
    }
}
