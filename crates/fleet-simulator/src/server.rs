//! A server: places, a queue, cold starts, and falling over.

use crate::plan::{Kind, Plan, CLASSES};
use crate::{MS, SECOND};
use mintshelf_balancer::api::{Nanos, RequestId};
use mintshelf_balancer::decay::DecayingCounter;
use std::collections::{HashMap, VecDeque};

/// Places of a server at this many first tries a second over all servers, for each server.
const PLACES_AT: f64 = 40.0;
/// The queue is so many times as long as the places.
const QUEUE: usize = 4;
/// A cold server falls over when for so long it is sent this multiple of what it can do.
const FALL_MULTIPLE: f64 = 3.0;
const FALL_AFTER: Nanos = SECOND;
/// Memory of what it is sent: mean age, and its half-life.
const MEMORY: f64 = 0.5 * SECOND as f64;
const HALF_LIFE: Nanos = 346_573_590;

/// One attempt as it reaches a server.
#[derive(Debug, Clone)]
pub struct Job {
    /// Who sent it.
    pub sidecar: usize,
    /// Which request.
    pub id: RequestId,
    /// Which attempt of it.
    pub attempt: u32,
    /// Whose it is.
    pub client: usize,
    /// Its class.
    pub class: usize,
    /// What it takes on a warm server.
    pub work: Nanos,
}

/// What becomes of one that arrives.
pub enum Arrived {
    /// It starts; it ends then, under this number.
    Starts(u64, Nanos),
    /// It waits.
    Waits,
    /// It is turned away, unexamined.
    Full,
    /// Nobody is there: the connection is refused.
    Refused,
    /// Nothing comes back, ever.
    Nothing,
}

/// See the module.
pub struct Server {
    places: usize,
    running: HashMap<u64, Job>,
    queue: VecDeque<Job>,
    last: u64,
    /// What is wrong with it, by the number of the trouble.
    pub troubles: Vec<(usize, Kind)>,
    started: Option<Nanos>,
    cold: Nanos,
    cold_from: f64,
    /// What it was sent, and since when that is too much.
    load: DecayingCounter,
    over_since: Option<Nanos>,
    thrash: Option<(f64, f64)>,
    queued: usize,
    /// It turns all that is new away.
    pub draining: bool,
    /// Its zone.
    pub zone: u32,
}

/// Mean work of a request, in the classes' own units.
pub fn mean_work() -> f64 {
    CLASSES.iter().map(|class| class.share * class.work).sum()
}

/// Places of each server, and how long a unit of work takes on one, so that all servers
/// together do what the plan says.
pub fn scale(plan: &Plan) -> (usize, f64) {
    let places = (plan.rate / PLACES_AT / plan.servers as f64 * 6.0).ceil().max(2.0);
    let unit = places * plan.servers as f64 / (mean_work() * plan.capacity * plan.rate);
    (places as usize, unit * SECOND as f64)
}

impl Server {
    /// One that has been up for long.
    pub fn new(plan: &Plan, zone: u32) -> Self {
        Server {
            places: scale(plan).0,
            running: HashMap::new(),
            queue: VecDeque::new(),
            last: 0,
            troubles: Vec::new(),
            started: None,
            cold: plan.cold,
            cold_from: plan.cold_from,
            load: DecayingCounter::default(),
            over_since: None,
            thrash: plan.fleet.thrash,
            queued: if plan.fleet.queue > 0 { plan.fleet.queue } else { QUEUE },
            draining: false,
            zone,
        }
    }

    fn warmth(&self, now: Nanos) -> f64 {
        let Some(started) = self.started.filter(|_| self.cold > 0) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.cold as f64;
        (self.cold_from + (1.0 - self.cold_from) * age).min(1.0)
    }

    fn is(&self, kind: Kind) -> bool {
        self.troubles.iter().any(|(_, k)| *k == kind)
    }

    /// Whether its process is gone.
    pub fn is_gone(&self) -> bool {
        self.is(Kind::Crash)
    }

    /// Whether nothing comes or goes.
    pub fn is_silent(&self) -> bool {
        self.is(Kind::Silence)
    }

    /// Whether answers of a class never come.
    pub fn hangs(&self, class: usize) -> bool {
        self.is(Kind::Hang(class))
    }

    /// Begins anew, cold.
    pub fn start(&mut self, now: Nanos) {
        self.started = Some(now);
        (self.load, self.over_since) = (DecayingCounter::default(), None);
    }

    /// Loses all that it held; back come those that it was running or had queued.
    pub fn lose(&mut self) -> Vec<Job> {
        let mut jobs: Vec<(u64, Job)> = self.running.drain().collect();
        jobs.sort_by_key(|(number, _)| *number);
        jobs.into_iter().map(|(_, job)| job).chain(self.queue.drain(..)).collect()
    }

    fn begin(&mut self, now: Nanos, job: Job) -> (u64, Nanos) {
        self.last += 1;
        let slow: f64 = self
            .troubles
            .iter()
            .map(|(_, kind)| if let Kind::Slow(by) = kind { *by } else { 1.0 })
            .product();
        let held = (self.running.len() + self.queue.len()) as f64 / self.places as f64;
        let crowd = self.thrash.map_or(1.0, |(from, by)| 1.0 + by * (held - from).max(0.0));
        let takes = job.work as f64 * slow * crowd / self.warmth(now);
        self.running.insert(self.last, job);
        (self.last, now + takes as Nanos)
    }

    /// Takes an attempt in.
    pub fn arrive(&mut self, now: Nanos, job: Job) -> Arrived {
        if self.is_gone() {
            return Arrived::Refused;
        }
        if self.is_silent() {
            return Arrived::Nothing;
        }
        if self.draining {
            return Arrived::Full;
        }
        self.load.add(now, HALF_LIFE, job.work as f64);
        let able = self.places as f64 * self.warmth(now);
        let too_much = self.warmth(now) < 1.0 && self.load.sum / MEMORY > FALL_MULTIPLE * able;
        self.over_since = too_much.then(|| self.over_since.unwrap_or(now));
        if self.running.len() < self.places {
            let (number, at) = self.begin(now, job);
            Arrived::Starts(number, at)
        } else if self.queue.len() < self.places * self.queued {
            self.queue.push_back(job);
            Arrived::Waits
        } else {
            Arrived::Full
        }
    }

    /// Whether it has been pushed over.
    pub fn falls(&self, now: Nanos) -> bool {
        self.over_since.is_some_and(|since| now - since > FALL_AFTER)
    }

    /// One is done; and the next one that starts, if one waits. Nothing for a number of
    /// before a crash.
    pub fn done(&mut self, now: Nanos, number: u64) -> Option<(Job, Option<(u64, Nanos)>)> {
        let job = self.running.remove(&number)?;
        let next = self.queue.pop_front().map(|job| self.begin(now, job));
        Some((job, next))
    }

    /// One that is running.
    pub fn running(&self, number: u64) -> Option<&Job> {
        self.running.get(&number)
    }
}

/// Latency of one way between any two.
pub const WAY: Nanos = MS / 4;
