//! Plays a plan: what happens, in order.

use crate::lists::Lists;
use crate::plan::{Kind, Plan, Retry, CLASSES, WINDOW};
use crate::report::{Report, Span, SLICE};
use crate::server::{mean_work, scale, Arrived, Job, Server, WAY};
use crate::sidecar::{Deed, Reply, Sidecar, CONNECT_TIMEOUT};
use crate::{uniform, MS, SECOND};
use mintshelf_balancer::api::{
    Effect, EndpointState, ListKind, ListedServer, Nanos, Outcome, RequestId, ServerId,
};
use rand_core::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};

/// The sidecars know their servers from here on.
const BEGIN: Nanos = SECOND;
/// Tries after a client's first.
const MORE_TRIES: u32 = 2;
/// A client waits so much longer than its sidecar.
const SLACK: Nanos = 100 * MS;
/// A server that fell over is back after this.
const DOWN_FOR: Nanos = 3 * SECOND;
/// The rule on drains, with its slack.
const DRAIN_GRACE: Nanos = 250 * MS + 50 * MS;
/// The pause of one that honours advice and had none.
const UNTOLD: Nanos = 100 * MS;

mod fleet;

use fleet::{busy, known};

enum Happens {
    Fresh,
    Try(usize),
    Tired {
        client: usize,
        tries: u32,
    },
    Arrives {
        server: usize,
        job: Job,
    },
    Done {
        server: usize,
        number: u64,
    },
    Ends {
        sidecar: usize,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    Timer {
        sidecar: usize,
        life: u64,
        token: u64,
    },
    Begins(usize),
    Over(usize),
    Rises {
        server: usize,
    },
    /// A sidecar is gone until then.
    Killed {
        sidecar: usize,
        back: Nanos,
    },
    Returns(usize),
    /// A call for the list is answered, or has failed.
    Called {
        sidecar: usize,
        life: u64,
        well: bool,
    },
    Told {
        sidecar: usize,
        life: u64,
        entry: ListedServer,
    },
    /// The source of lists hears of a change.
    Heard(ListedServer),
    Drains(usize),
    Leaves(usize),
    Born {
        old: usize,
    },
}

struct Entry {
    at: Nanos,
    number: u64,
    what: Happens,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Client {
    class: usize,
    sidecar: usize,
    born: Nanos,
    begun: Nanos,
    tries: u32,
    /// A try is open, and its id where the sidecar took it on.
    open: bool,
    id: Option<RequestId>,
    /// How often its effect happened.
    runs: u32,
    /// What part of the class's aim it waits, where it is in a hurry.
    hurry: Option<f64>,
}

struct World<'a> {
    plan: &'a Plan,
    now: Nanos,
    events: BinaryHeap<Reverse<Entry>>,
    last: u64,
    rng: Pcg64Mcg,
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    /// How often each sidecar has started, and until when it is away.
    lives: Vec<(u64, Nanos)>,
    /// The traffic of the sidecars up to each.
    busy: Vec<f64>,
    lists: Option<Lists>,
    /// Work spread by a heavy tail, with mean 1.
    tail: Option<LogNormal<f64>>,
    clients: Vec<Client>,
    /// When a keyed request first ran, as all servers know together.
    seen: HashMap<usize, Nanos>,
    /// Time that a unit of work takes.
    unit: f64,
    report: Report,
}

/// Plays a plan to its end.
pub fn play(plan: &Plan) -> Report {
    let slices = (plan.length / SLICE) as usize;
    let mut deeds = Vec::new();
    let sigma = plan.fleet.tail;
    let known = known(plan);
    let lists = plan.fleet.registry.map(|spec| Lists::new(spec, plan.sidecars, &known));
    let mut world = World {
        plan,
        now: BEGIN,
        events: BinaryHeap::new(),
        last: 0,
        rng: Pcg64Mcg::seed_from_u64(plan.seed),
        sidecars: Vec::new(),
        servers: (0..plan.servers).map(|id| Server::new(plan, plan.fleet.zone(id))).collect(),
        lives: vec![(0, 0); plan.sidecars],
        busy: busy(plan),
        lists,
        tail: (sigma > 0.0).then(|| LogNormal::new(-sigma * sigma / 2.0, sigma).ok()).flatten(),
        clients: Vec::new(),
        seen: HashMap::new(),
        unit: scale(plan).1,
        report: Report { spans: vec![Span::default(); slices], ..Report::default() },
    };
    for number in 0..plan.sidecars {
        let sidecar = Sidecar::new(plan, number, 0, BEGIN, &known, &mut deeds);
        world.sidecars.push(sidecar);
        world.carry_out(number, &mut deeds);
    }
    for (number, trouble) in plan.troubles.iter().enumerate() {
        world.at(BEGIN + trouble.from, Happens::Begins(number));
        world.at(BEGIN + trouble.until, Happens::Over(number));
    }
    for restart in &plan.fleet.restarts {
        for sidecar in restart.sidecars.clone() {
            let at = BEGIN + restart.at;
            let back = at + restart.down;
            world.at(at, Happens::Killed { sidecar, back });
            world.at(back, Happens::Returns(sidecar));
        }
    }
    for release in &plan.fleet.releases {
        let (steps, all) = (release.steps.max(1), release.servers.len());
        let span = release.until.saturating_sub(release.from);
        for (at, server) in release.servers.clone().enumerate() {
            let step = (at * steps / all.max(1)) as u64;
            let begins = BEGIN + release.from + span * step / (steps as u64 - 1).max(1);
            world.at(begins, Happens::Drains(server));
            world.at(begins + release.drain, Happens::Leaves(server));
            world.at(begins + release.start, Happens::Born { old: server });
        }
    }
    world.at(BEGIN, Happens::Fresh);
    while let Some(Reverse(entry)) = world.events.pop() {
        if entry.at >= BEGIN + plan.length {
            break;
        }
        world.now = entry.at;
        world.happen(entry.what);
    }
    world.finish()
}

impl World<'_> {
    fn at(&mut self, at: Nanos, what: Happens) {
        self.last += 1;
        self.events.push(Reverse(Entry { at, number: self.last, what }));
    }

    /// A uniform number in [0, 1).
    fn draw(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    fn span_at(&mut self, at: Nanos) -> &mut Span {
        let slice = (at.saturating_sub(BEGIN) / SLICE) as usize;
        let last = self.report.spans.len() - 1;
        &mut self.report.spans[slice.min(last)]
    }

    fn span(&mut self) -> &mut Span {
        self.span_at(self.now)
    }

    /// Makes two runs that differ anywhere tell so.
    fn digest(&mut self, what: u64) {
        let mixed = (self.report.digest ^ what ^ self.now).wrapping_mul(0x0100_0000_01b3);
        self.report.digest = mixed.rotate_left(23);
    }

    fn happen(&mut self, what: Happens) {
        let mut deeds = Vec::new();
        match what {
            Happens::Fresh => self.fresh(),
            Happens::Try(client) => self.try_once(client),
            Happens::Tired { client, tries } => {
                let Client { sidecar, open, tries: made, ref id, .. } = self.clients[client];
                if !open || made != tries {
                    return;
                }
                // The sidecar owed it an answer before that.
                self.report.lost += 1;
                let id = id.clone();
                self.clients[client].open = false;
                if let Some(id) = id {
                    self.sidecars[sidecar].leave(self.now, &id, &mut deeds);
                }
                self.carry_out(sidecar, &mut deeds);
            }
            Happens::Arrives { server, job } => self.arrive(server, job),
            Happens::Done { server, number } => self.done(server, number),
            Happens::Ends { sidecar, id, attempt, outcome } => {
                if self.now < self.lives[sidecar].1 {
                    return;
                }
                self.digest(u64::from(attempt) << 8 | outcome as u64);
                self.sidecars[sidecar].ended(self.now, &id, attempt, outcome, &mut deeds);
                self.carry_out(sidecar, &mut deeds);
            }
            Happens::Timer { sidecar, life, token } => {
                if self.lives[sidecar].0 != life {
                    return;
                }
                self.sidecars[sidecar].timer(self.now, token, &mut deeds);
                self.carry_out(sidecar, &mut deeds);
            }
            Happens::Begins(number) => {
                let trouble = self.plan.troubles[number].clone();
                for server in trouble.servers {
                    self.servers[server].troubles.push((number, trouble.kind));
                    if trouble.kind == Kind::Crash {
                        self.crash(server);
                        self.listed_soon(server, EndpointState::Removed, 0);
                    }
                }
            }
            Happens::Over(number) => {
                let trouble = self.plan.troubles[number].clone();
                for server in trouble.servers {
                    self.servers[server].troubles.retain(|(n, _)| *n != number);
                    if trouble.kind == Kind::Crash && !self.servers[server].is_gone() {
                        self.servers[server].start(self.now);
                        self.listed_soon(server, EndpointState::Live, self.now);
                    }
                }
            }
            Happens::Rises { server } => {
                self.servers[server].troubles.retain(|(n, _)| *n != usize::MAX);
                self.servers[server].start(self.now);
            }
            Happens::Killed { sidecar, back } => self.killed(sidecar, back),
            Happens::Returns(sidecar) => self.returns(sidecar),
            Happens::Called { sidecar, life, well } => self.called(sidecar, life, well),
            Happens::Told { sidecar, life, entry } => {
                if self.lives[sidecar].0 == life {
                    let (now, kind) = (self.now, ListKind::Changes);
                    self.sidecars[sidecar].listed(now, kind, &[entry], &mut deeds);
                    self.carry_out(sidecar, &mut deeds);
                }
            }
            Happens::Heard(entry) => self.heard(entry),
            Happens::Drains(server) => {
                self.servers[server].draining = true;
                self.listed_soon(server, EndpointState::Draining, 0);
            }
            Happens::Leaves(server) => {
                self.servers[server].troubles.push((usize::MAX - 1, Kind::Crash));
                self.crash(server);
                self.listed_soon(server, EndpointState::Removed, 0);
            }
            Happens::Born { old } => {
                let zone = self.servers[old].zone;
                self.servers.push(Server::new(self.plan, zone));
                let server = self.servers.len() - 1;
                self.servers[server].start(self.now);
                self.listed_soon(server, EndpointState::Live, self.now);
            }
        }
    }

    // --------------------------------------------------------------- clients

    fn fresh(&mut self) {
        let since = self.now - BEGIN;
        let burst = self.plan.fleet.burst.as_ref();
        let burst = burst.filter(|burst| burst.during.contains(&since));
        let rate = self.plan.rate * burst.map_or(1.0, |burst| burst.times);
        let gap = -(1.0 - self.draw()).ln() / rate * SECOND as f64;
        self.at(self.now + gap as Nanos, Happens::Fresh);
        let drawn = self.draw();
        let mut class = 0;
        let mut up_to = CLASSES[0].share;
        while drawn >= up_to && class + 1 < CLASSES.len() {
            class += 1;
            up_to += CLASSES[class].share;
        }
        let at = self.draw() * self.busy.last().copied().unwrap_or(0.0);
        let sidecar = self.busy.partition_point(|sum| *sum <= at).min(self.plan.sidecars - 1);
        if self.now < self.lives[sidecar].1 {
            // Its application waits for it, and has sent nothing.
            return;
        }
        let hurry = self.plan.fleet.hurry.as_ref();
        let hurry = hurry.filter(|hurry| hurry.during.contains(&since));
        let hurry = hurry.and_then(|hurry| {
            let [least, most] = hurry.waits;
            let waits = least + self.draw() * (most - least);
            (self.draw() < hurry.part).then_some(waits)
        });
        let (born, begun) = (self.now, self.now);
        let (open, id, runs, tries) = (false, None, 0, 0);
        self.clients.push(Client { class, sidecar, born, begun, tries, open, id, runs, hurry });
        self.span().asked += CLASSES[class].priority_weight;
        self.span().first += 1;
        self.try_once(self.clients.len() - 1);
    }

    fn try_once(&mut self, client: usize) {
        let now = self.now;
        let of = &mut self.clients[client];
        let back = self.lives[of.sidecar].1;
        if now < back {
            self.at(back, Happens::Try(client));
            return;
        }
        (of.begun, of.open, of.tries) = (now, true, of.tries + 1);
        let (class, sidecar, tries) = (of.class, of.sidecar, of.tries);
        let patience = match of.hurry {
            Some(part) => (CLASSES[class].latency_objective as f64 * part) as Nanos,
            None => CLASSES[class].deadline,
        };
        self.span().tries += 1;
        self.at(now + patience + SLACK, Happens::Tired { client, tries });
        let mut deeds = Vec::new();
        let id = self.sidecars[sidecar].serve(now, client, class, patience, &mut deeds);
        self.clients[client].id = id;
        self.carry_out(sidecar, &mut deeds);
    }

    fn replied(&mut self, client: usize, reply: Reply) {
        let of = &mut self.clients[client];
        if !std::mem::replace(&mut of.open, false) {
            self.report.lost += 1;
            return;
        }
        let (class, born, begun, tries) = (CLASSES[of.class], of.born, of.begun, of.tries);
        self.digest(client as u64);
        let harmless = match reply {
            Reply::Served => {
                if self.now - begun <= class.latency_objective {
                    self.span_at(begun).in_time += 1;
                    self.span_at(born).earned += class.priority_weight;
                }
                return;
            }
            Reply::Refused(_) => {
                self.span().refused += 1;
                true
            }
            Reply::Paced(_) => {
                self.span().refused += 1;
                self.span().paced += 1;
                true
            }
            Reply::Failed => {
                self.span().failed += 1;
                class.effect != Effect::Unsafe
            }
        };
        if !harmless || tries > MORE_TRIES {
            return;
        }
        let told = match reply {
            Reply::Refused(after) | Reply::Paced(after) => after,
            Reply::Served | Reply::Failed => 0,
        };
        let wait = match self.plan.retry {
            Retry::Never => return,
            Retry::AtOnce => MS,
            Retry::Pause(about) => (about as f64 * (0.5 + self.draw())) as Nanos,
            Retry::Honour if told > 0 => {
                self.span_at(self.now + told).told += 1;
                told
            }
            Retry::Honour => UNTOLD,
        };
        self.at(self.now + wait, Happens::Try(client));
    }

    // -------------------------------------------------------------- sidecars

    fn carry_out(&mut self, sidecar: usize, deeds: &mut Vec<Deed>) {
        for deed in deeds.drain(..) {
            match deed {
                Deed::Send { id, attempt, server, until } => {
                    self.send(sidecar, id, attempt, server, until)
                }
                Deed::Cancel { id, attempt } => {
                    let outcome = Outcome::Cancelled;
                    self.at(self.now, Happens::Ends { sidecar, id, attempt, outcome });
                }
                Deed::Reply { client, reply } => self.replied(client, reply),
                Deed::Timer { at, token } => {
                    let life = self.lives[sidecar].0;
                    self.at(at, Happens::Timer { sidecar, life, token })
                }
                Deed::CloseIdle { server } => self.sidecars[sidecar].close_idle(server as usize),
                Deed::Watch => {
                    self.span().calls += 1;
                    let now = self.now;
                    let Some(lists) = &mut self.lists else { continue };
                    let (at, well) = lists.call(now);
                    let life = self.lives[sidecar].0;
                    self.at(at, Happens::Called { sidecar, life, well });
                }
            }
        }
    }

    /// What one request takes, against the mean of its class.
    fn spread(&mut self) -> f64 {
        if let Some(tail) = &self.tail {
            return tail.sample(&mut self.rng);
        }
        // Erlang of two stages: less spread than the exponential, still a tail.
        let stages = [self.draw(), self.draw()].map(|x| -(1.0 - x).ln() / 2.0);
        stages[0] + stages[1]
    }

    fn send(&mut self, sidecar: usize, id: RequestId, attempt: u32, to: ServerId, until: Nanos) {
        let server = to as usize;
        let Some((client, class)) = self.sidecars[sidecar].of(&id) else { return };
        let work = (CLASSES[class].work * self.unit * self.spread()) as Nanos;
        let fresh = !self.sidecars[sidecar].take_idle(self.now, server);
        let told = self.sidecars[sidecar].told.get(&to);
        let late = told.is_some_and(|told| self.now > told + DRAIN_GRACE);
        self.report.undrained += u64::from(late);
        if fresh {
            let second = ((self.now - BEGIN) / SECOND) as usize;
            let connects = &mut self.report.connects;
            connects.resize(connects.len().max(server + 1), Vec::new());
            let by_second = &mut connects[server];
            by_second.resize(by_second.len().max(second + 1), 0);
            by_second[second] += 1;
        }
        let away = self.servers[server].zone != self.plan.fleet.zone(sidecar);
        let usual = mean_work();
        let span = self.span();
        span.crossed += u64::from(away);
        span.attempts += 1;
        span.work += CLASSES[class].work / usual;
        span.connects += u64::from(fresh);
        let ways = if fresh { 3 } else { 1 };
        let (now, end) = (self.now, id.clone());
        let ends = |outcome| Happens::Ends { sidecar, id: end, attempt, outcome };
        if fresh && self.servers[server].is_silent() {
            self.at((now + CONNECT_TIMEOUT).min(until), ends(Outcome::ConnectFailed));
            return;
        }
        self.at(until, ends(Outcome::TimedOut));
        let job = Job { sidecar, id, attempt, client, class, work };
        self.at(now + ways * WAY, Happens::Arrives { server, job });
    }

    // --------------------------------------------------------------- servers

    fn answer(&mut self, server: usize, job: Job, outcome: Outcome) {
        let Job { sidecar, id, attempt, .. } = job;
        if matches!(outcome, Outcome::Ok | Outcome::Full) {
            self.sidecars[sidecar].rest(self.now, server);
        }
        self.at(self.now + WAY, Happens::Ends { sidecar, id, attempt, outcome });
    }

    fn arrive(&mut self, server: usize, job: Job) {
        match self.servers[server].arrive(self.now, job.clone()) {
            Arrived::Starts(number, at) => self.started(server, number, at),
            Arrived::Waits | Arrived::Nothing => {}
            Arrived::Full => self.answer(server, job, Outcome::Full),
            Arrived::Refused => self.answer(server, job, Outcome::ConnectFailed),
        }
        if self.servers[server].falls(self.now) {
            self.report.fallen += 1;
            self.servers[server].troubles.push((usize::MAX, Kind::Crash));
            self.crash(server);
            self.at(self.now + DOWN_FOR, Happens::Rises { server });
        }
    }

    /// A request runs: its effect happens now, unless it is a repeat that is dropped.
    fn started(&mut self, server: usize, number: u64, at: Nanos) {
        self.at(at, Happens::Done { server, number });
        let Some(job) = self.servers[server].running(number) else { return };
        let (client, effect) = (job.client, CLASSES[job.class].effect);
        if effect == Effect::Idempotent {
            let first = self.seen.get(&client).copied();
            if first.is_some_and(|first| self.now - first < WINDOW) {
                return;
            }
            self.seen.insert(client, self.now);
        }
        let runs = &mut self.clients[client].runs;
        *runs += 1;
        if *runs > 1 {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => self.report.twice[0] += 1,
                Effect::Idempotent => self.report.twice[1] += 1,
            }
        }
    }

    fn done(&mut self, server: usize, number: u64) {
        let Some((job, next)) = self.servers[server].done(self.now, number) else { return };
        if let Some((number, at)) = next {
            self.started(server, number, at);
        }
        if !self.clients[job.client].open {
            self.span().wasted += CLASSES[job.class].work / mean_work();
        }
        let of = &self.servers[server];
        if !of.hangs(job.class) && !of.is_silent() {
            self.answer(server, job, Outcome::Ok);
        }
    }

    /// All that it held breaks off, and so do its connections.
    fn crash(&mut self, server: usize) {
        for job in self.servers[server].lose() {
            self.answer(server, job, Outcome::Reset);
        }
        self.sidecars.iter_mut().for_each(|sidecar| sidecar.close_idle(server));
    }

    fn finish(mut self) -> Report {
        self.report.unruly += self.sidecars.iter().map(|sidecar| sidecar.unruly).sum::<u64>();
        self.report
    }
}
