//! Every decision of the balancer, and every number it decides by.
//!
//! The ordinary path is He and Down's line for servers of unequal speed
//! (section 4 of their paper). Exceptions act only through who is ready, what
//! a server's speed is, whether a request is admitted and when it is tried again.

use crate::api::*;
use crate::fading::Fading;
use crate::peer::Evidence;
use crate::rng::{mix, Rng};
use std::collections::HashMap;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

/// Share of requests that go to a server without a comparison (the paper's p).
const DEDICATED: f64 = 0.05;
/// ε as a fraction of its bound in (4.1).
const EPSILON_FRACTION: f64 = 0.5;
/// The line is rebuilt at least this often, since speeds drift.
const LINE_AGE: Nanos = 200 * MS;
/// Fleets up to this size (servers) are used whole by every instance.
const SUBSET_MIN: usize = 6;
/// Down to this where a server more on every line costs this much in connections.
const SUBSET_PRICED: usize = 3;
const SUBSET_COST: f64 = 0.02;
/// Uses of a connection within its idle time that make it worth keeping.
const SUBSET_USES: f64 = 12.0;

/// Weight of one new sample in a class's typical latency.
const TYPICAL_GAIN: f64 = 0.05;
/// Samples that a server's own latency needs to outweigh the prior.
const SPEED_PRIOR: f64 = 3.0;
/// Power of the latency ratio in a server's weight: above 1, load leaves a jam.
const SPEED_POWER: f64 = 1.5;
/// The same for its kind, with no sizes listed: waiting elsewhere hides speed.
const KIND_POWER: f64 = 2.5;
/// A server's samples lose half their weight in this time.
const SPEED_HALF_LIFE: Nanos = 12 * SECOND;
/// The same two where peers pool what they see.
const POOLED_PRIOR: f64 = 0.5;
const POOLED_HALF_LIFE: Nanos = 6 * SECOND;
/// An instance gives half its evidence to one peer this often, if it has traffic.
const TELL_EVERY: Nanos = SECOND;
/// One sample says at most this much (log of a latency ratio): work is heavy-tailed.
const SAMPLE_CLIP: f64 = 2.5;
/// Requests presumed to be served side by side.
const SIDE_BY_SIDE: f64 = 6.0;
/// Bounds of the learned factor on a server's listed size.
const FACTOR_MIN: f64 = 0.03;
const FACTOR_MAX: f64 = 1.5;
/// Price of crossing zones (points per request) at which an away server counts half.
const CROSS_HALF: f64 = 0.01;

/// A server is ready for a request of known work if it takes this part of the aim or less.
const FIT_SHARE: f64 = 0.8;

/// Known work is refused if it takes more than this part of the aim on the quickest kind.
const HOPELESS_AT: f64 = 2.5;

/// Failures in a row (weighted) that eject a server.
const EJECT_AFTER: f64 = 3.0;
/// Failures are forgotten by half in this time.
const FAIL_HALF_LIFE: Nanos = 8 * SECOND;
/// First and longest ejection.
const EJECT_BASE: Nanos = 2 * SECOND;
const EJECT_MAX: Nanos = 16 * SECOND;
/// Under this ready share of the listed size, ejections are ignored (panic threshold).
const PANIC_SHARE: f64 = 0.5;

/// Part of the fall budget that instances may spend together.
const COLD_SAFETY: f64 = 0.6;
/// Memory of the arrival and answer rates: mean age in seconds, and its half-life.
const RATE_SPAN: f64 = 10.0;
const RATE_HALF_LIFE: Nanos = 6_931 * MS;

/// Retries and second copies allowed per request, and the most saved up.
const RETRY_RATIO: f64 = 0.1;
const RETRY_SAVED: f64 = 5.0;
/// A request without a server is looked at again after this.
const HOLD_STEP: Nanos = 40 * MS;
/// Longest hold, as a fraction of the class's aim.
const HOLD_SHARE: f64 = 0.5;

/// An attempt is overdue, and counts as congested, past this fraction of its aim.
const CONGESTED_AT: f64 = 0.6;
/// Nor before this many times what its known work usually takes; nor what the
/// class usually takes on that kind, there up to the aim. 1.5 is within its spread.
const OVERDUE_AT: f64 = 2.0;
/// Congested share of ended attempts at which the refused share holds still.
const CONGESTED_TARGET: f64 = 0.12;
/// Refused share that a second of nothing but congested ends adds.
const ADMIT_GAIN: f64 = 0.4;
/// Memory of the usual refused share, and how much faster it falls above that.
const USUAL_SPAN: Nanos = 15 * SECOND;
const ABOVE_GAIN: f64 = 2.0;
/// Bounds of what one ended attempt moves it by.
const ADMIT_STEP_MIN: f64 = 0.03;
const ADMIT_STEP_MAX: f64 = 0.15;
/// With no attempt ended for so long, the refused share fades by 1/e in the time below.
const ADMIT_SILENCE: Nanos = SECOND;
const ADMIT_FADE: Nanos = 4 * SECOND;
/// Wait at a server, as a part of what the tightest aim leaves, at which a send is refused.
const WAIT_SHARE: f64 = 0.7;
/// What a "queue full" answer counts as, of a congested attempt.
const FULL_COUNTS: f64 = 0.3;
/// Most that is refused of any class in share.
const ADMIT_MAX: f64 = 0.97;
/// Levels up to this refuse nothing: a lone slow answer is no overload.
const ADMIT_DEADBAND: f64 = 0.15;
/// Level at which traffic past a quota known from peers begins to be refused
/// (else the dead band), and how much more refuses all of it.
const OVER_FROM: f64 = 0.05;
const OVER_SPAN: f64 = 0.1;
/// Memory of the traffic mix, in requests.
const MIX_MEMORY: f64 = 300.0;

/// A report stands in for a queue this long; older ones are asked for again.
const REPORT_FRESH: Nanos = 6 * MS;
/// How many ticks a request waits for the reports of its pair.
const REPORT_TICKS: Nanos = 4;
/// Price of a probe (points per request) up to which reports are asked for.
const PROBE_PRICE_MAX: f64 = 0.004;
/// Reports that may repeat old figures before they count as stale.
const REPORT_TRIALS: u32 = 3;
/// Share of a server's usual traffic in reported errors that ejects it.
const ERROR_SHARE: f64 = 0.15;

/// First discovery call falls within this part of `ask_within`.
const WATCH_SPREAD: f64 = 0.7;
/// The same where discovery has moved: its old address may fall silent.
const MOVE_SPREAD: Nanos = 600 * MS;
/// First wait after a failed discovery call; doubles up to `ask_within`.
const WATCH_RETRY: Nanos = SECOND;

/// The paper's line over servers of unequal speed: shares, pairs, ties.
#[derive(Debug, Clone, Default)]
pub struct Line {
    members: Vec<usize>,
    speeds: Vec<f64>,
    sums: Vec<f64>,
    pair_sums: Vec<f64>,
    epsilon: f64,
}

impl Line {
    /// Lays servers (any index with a positive speed) out in the given order.
    pub fn new(servers: impl IntoIterator<Item = (usize, f64)>) -> Self {
        let mut line = Line::default();
        let mut sum = 0.0;
        for (member, speed) in servers {
            let speed = if speed.is_finite() { speed.max(1e-9) } else { 1e-9 };
            sum += speed;
            line.members.push(member);
            line.speeds.push(speed);
            line.sums.push(sum);
        }
        let n = line.members.len();
        if n >= 3 {
            // (4.2), then the second bound of (4.1).
            let bar = (2..n)
                .fold(f64::INFINITY, |least, j| least.min(line.speeds[j - 1] / (j - 1) as f64));
            let last = (line.speeds[n - 1] + line.speeds[n - 2]) / (n - 2) as f64;
            line.epsilon = EPSILON_FRACTION * bar.min(last);
        }
        let mut pairs = 0.0;
        for j in 1..n {
            pairs += line.pair_weight(j);
            line.pair_sums.push(pairs);
        }
        line
    }

    /// ε of (4.1).
    pub fn epsilon(&self) -> f64 {
        self.epsilon
    }

    /// Weight μ_j + ε_j of the pair (j, j+1), j from 1 to N−1.
    pub fn pair_weight(&self, j: usize) -> f64 {
        let n = self.members.len();
        let eps = if j + 1 < n {
            self.epsilon
        } else {
            self.speeds[n - 1] - (n - 2) as f64 * self.epsilon
        };
        self.speeds[j - 1] + eps
    }

    /// Chance that a tie in pair (j, j+1) goes to j: the left part of (4.4).
    pub fn left_share(&self, j: usize) -> f64 {
        (self.speeds[j - 1] - (j - 1) as f64 * self.epsilon) / self.pair_weight(j)
    }

    /// Draws the dedicated server or the adjacent pair for one request.
    /// `draw` gives uniform numbers in [0, 1).
    pub fn draw(&self, mut draw: impl FnMut() -> f64) -> Option<Drawn> {
        let n = self.members.len();
        if n <= 1 {
            return self.members.first().map(|s| Drawn::One(*s));
        }
        if draw() < DEDICATED {
            let at = draw() * self.sums[n - 1];
            let j = self.sums.partition_point(|s| *s <= at).min(n - 1);
            return Some(Drawn::One(self.members[j]));
        }
        let at = draw() * self.pair_sums[n - 2];
        let left = self.pair_sums.partition_point(|s| *s <= at).min(n - 2);
        Some(Drawn::Pair(Pair {
            servers: [self.members[left], self.members[left + 1]],
            speeds: [self.speeds[left], self.speeds[left + 1]],
            left_share: self.left_share(left + 1),
        }))
    }
}

/// What the line gives for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Drawn {
    /// Its dedicated server.
    One(usize),
    /// Two neighbours to compare.
    Pair(Pair),
}

/// Two neighbours on the line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pair {
    /// Left and right.
    pub servers: [usize; 2],
    /// Their speeds.
    pub speeds: [f64; 2],
    /// Chance that a tie goes left.
    pub left_share: f64,
}

impl Pair {
    /// The one with the shorter expected wait, queue over speed; equal waits
    /// are split by (4.4).
    pub fn join(&self, mut draw: impl FnMut() -> f64, queues: [f64; 2]) -> usize {
        let wait = [queues[0] / self.speeds[0], queues[1] / self.speeds[1]];
        let left = if wait[0] == wait[1] { draw() < self.left_share } else { wait[0] < wait[1] };
        self.servers[usize::from(!left)]
    }
}

#[derive(Debug, Default)]
struct Server {
    listed: ListedServer,
    /// Place on this instance's line.
    rank: u64,
    /// When it started, if that is known to be recent.
    started: Option<Nanos>,
    in_flight: u32,
    overdue: u32,
    /// Until when it is out for each class, and when what it last answered was sent.
    stuck: Vec<Nanos>,
    answered: Nanos,
    /// Decayed sum and count of log latency ratios.
    slow_sum: Fading,
    slow_count: Fading,
    fails: Fading,
    ejected_until: Nanos,
    ejections: u32,
    /// Sends a cold server may still get from this instance.
    cold_credit: f64,
    credit_at: Nanos,
    /// The last load report, its queue with what was sent since, and times.
    report: Vec<f64>,
    report_queue: f64,
    report_at: Nanos,
    asked_at: Nanos,
}

impl Server {
    /// Draining or gone, as far as this instance has heard.
    fn leaving(&self) -> bool {
        self.listed.condition != Condition::Live
    }
}

#[derive(Debug, Clone, Default)]
struct Attempt {
    server: ServerId,
    sent: Nanos,
    outcome: Option<Outcome>,
    overdue: bool,
}

impl Attempt {
    fn out(&self) -> bool {
        self.outcome.is_none()
    }
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

#[derive(Debug, Default)]
struct Request {
    class: usize,
    tenant: usize,
    /// Log of the work expected, if the client says.
    cost: Option<f64>,
    repeat: bool,
    arrived: Nanos,
    deadline: Nanos,
    attempts: Vec<Attempt>,
    finished: bool,
    streaming: bool,
    /// Waiting for reports of these two.
    pair: Option<Pair>,
}

/// What may be done with a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Legal {
    /// Another attempt may go out.
    send: bool,
    /// It must go to the group of this server.
    group_of: Option<ServerId>,
    /// It may be refused; otherwise it can only fail.
    refuse: bool,
}

type Out<'a> = &'a mut Vec<Action>;

#[derive(Debug, Clone)]
enum Wake {
    Overdue(RequestId, usize),
    Held(RequestId),
    Reports(RequestId),
    Discovery,
}

/// The balancer of one instance.
#[derive(Debug, Default)]
pub struct Balancer {
    set: Settings,
    rng: Rng,
    index: HashMap<ServerId, usize>,
    servers: Vec<Server>,
    order: Vec<usize>,
    /// One for each class: kinds of server may suit some classes and not others.
    lines: Vec<Line>,
    line_at: Nanos,
    line_stale: bool,
    requests: HashMap<RequestId, Request>,
    wakes: HashMap<u64, Wake>,
    next_token: u64,
    /// Typical log latency per class, once seen, and the same over the cost hint.
    typical: Vec<Option<f64>>,
    pace: Vec<Option<f64>>,
    /// Answers those were learned from.
    taught: Vec<f64>,
    /// What a kind of server adds to each class's log latency.
    kind_offset: Vec<Vec<f64>>,
    arrivals: Fading,
    born: Nanos,
    told_at: Nanos,
    retry_credit: f64,
    refuse_level: f64,
    usual_level: f64,
    level_at: Nanos,
    ended_at: Nanos,
    refuse: Vec<f64>,
    mix: Vec<f64>,
    /// Traffic of each tenant, and how many instances' worth it is.
    tenant_seen: Vec<Fading>,
    tenant_weight: Fading,
    served: Fading,
    waiting: Vec<RequestId>,
    /// Repeated reports that told nothing new, and those that did.
    reports: [u32; 2],
    watching: bool,
    call_out: bool,
    call_fails: u32,
}

impl Balancer {
    /// A fresh instance: it knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Nanos, out: &mut Vec<Action>) -> Self {
        let mut this = Balancer {
            rng: Rng::new(seed),
            line_stale: true,
            typical: vec![None; settings.classes.len()],
            pace: vec![None; settings.classes.len()],
            taught: vec![0.0; settings.classes.len()],
            kind_offset: vec![vec![0.0; settings.kinds.max(1) as usize]; settings.classes.len()],
            born: now,
            told_at: now,
            retry_credit: RETRY_SAVED,
            level_at: now,
            ended_at: now,
            refuse: vec![0.0; settings.classes.len()],
            mix: vec![1.0; settings.classes.len()],
            tenant_seen: vec![Fading::default(); settings.tenants.len()],
            set: settings,
            ..Balancer::default()
        };
        this.tenant_weight.add(now, RATE_HALF_LIFE, 1.0 / RATE_SPAN);
        this.call_discovery((this.set.ask_within as f64 * WATCH_SPREAD) as Nanos, out);
        this
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Servers { kind, entries, .. } => self.on_servers(now, kind, &entries, out),
            Event::DiscoveryMoved => {
                (self.watching, self.call_out, self.call_fails) = (false, false, 0);
                self.call_discovery(MOVE_SPREAD, out);
            }
            Event::Request { id, class, tenant, patience, repeat, cost_hint, .. } => {
                let request = Request {
                    class: class as usize,
                    tenant: tenant as usize,
                    repeat,
                    cost: cost_hint.filter(|cost| *cost > 0).map(|cost| (cost as f64).ln()),
                    arrived: now,
                    deadline: now.saturating_add(patience),
                    ..Request::default()
                };
                self.on_request(now, id, request, out)
            }
            Event::StreamStarted { id, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.streaming = true;
                }
            }
            Event::AttemptEnded { id, attempt, outcome, finished, took, .. } => {
                self.on_ended(now, id, attempt as usize, (outcome, finished, took), out)
            }
            Event::Abandoned { id } => self.close(&id),
            Event::Timer { token } => self.on_timer(now, token, out),
            Event::Probed { server, outcome, report, .. } => {
                self.on_probed(now, server, (outcome == Outcome::Ok, report), out)
            }
            Event::PeerMessage { payload, .. } => self.on_peer(now, &payload),
        }
    }

    fn wake(&mut self, after: Nanos, what: Wake, out: Out<'_>) {
        self.next_token += 1;
        self.wakes.insert(self.next_token, what);
        out.push(Action::SetTimer { after: after.max(1), token: self.next_token });
    }

    fn on_timer(&mut self, now: Nanos, token: u64, out: Out<'_>) {
        match self.wakes.remove(&token) {
            Some(Wake::Overdue(id, attempt)) => self.on_overdue(now, id, attempt),
            Some(Wake::Held(id)) => self.advance(now, &id, out),
            Some(Wake::Reports(id)) => self.settle(now, &id, true, out),
            Some(Wake::Discovery) if !self.watching && !self.call_out => {
                self.call_out = true;
                out.push(Action::Watch { on: true });
            }
            None | Some(Wake::Discovery) => {}
        }
    }

    /// Fraction of its capacity that a server surely has: the slowest warming allowed.
    fn warmth(&self, server: &Server, now: Nanos) -> f64 {
        match server.started {
            Some(at) if self.set.cold > 0 => {
                let age = now.saturating_sub(at) as f64 / self.set.cold as f64;
                (self.set.cold_from + (1.0 - self.set.cold_from) * age).clamp(0.01, 1.0)
            }
            _ => 1.0,
        }
    }

    fn away(&self, zone: u32) -> f64 {
        1.0 + f64::from(u8::from(zone != self.set.zone)) * self.set.prices.cross_zone / CROSS_HALF
    }

    fn speed(&self, server: &Server, now: Nanos) -> f64 {
        let fails = server.fails.get(now, FAIL_HALF_LIFE);
        let away = self.away(server.listed.zone);
        let slow = SPEED_POWER * self.slowness(server, now);
        let factor = (-slow).exp().clamp(FACTOR_MIN, FACTOR_MAX);
        server.listed.size.max(1e-6) * self.warmth(server, now) * factor / away / (1.0 + fails)
    }

    /// Speed for a class: how its kind suits it, against how it suits all.
    fn speed_for(&self, class: usize, s: usize, now: Nanos) -> f64 {
        let kind = self.kind_of(s);
        let all: f64 = self.kind_offset.iter().map(|by_kind| by_kind[kind]).sum();
        let fit = match self.set.size_kind {
            // Danger: with no sizes listed, slow kinds would get as much as quick ones.
            SizeKind::Absent => -KIND_POWER * self.kind_offset[class][kind],
            _ => all / self.kind_offset.len() as f64 - self.kind_offset[class][kind],
        };
        self.speed(&self.servers[s], now) * fit.exp()
    }

    /// Learns from an attempt's time. Only answers teach what is typical; a
    /// time-out says "at least this slow", and an error says nothing, since a
    /// quick error must never look like speed.
    fn learn(&mut self, now: Nanos, s: usize, what: (usize, Option<f64>), took: Nanos, ok: bool) {
        let ((class, cost), log) = (what, (took.max(1) as f64).ln());
        let kind = self.kind_of(s);
        let clip = |gap: f64| gap.clamp(-SAMPLE_CLIP, SAMPLE_CLIP);
        // Danger: a first sample would stand for long; the first ones are averaged.
        let gain = if ok { TYPICAL_GAIN.max(1.0 / (self.taught[class] + 1.0)) } else { 0.0 };
        self.taught[class] += f64::from(u8::from(ok));
        let typical = self.typical[class].get_or_insert(log);
        let mut gap = clip(log - *typical - self.kind_offset[class][kind]);
        *typical += gain * gap;
        if let Some(cost) = cost {
            // With the work known, the rest of the time is the server's doing.
            let pace = self.pace[class].get_or_insert(log - cost);
            gap = clip(log - cost - *pace - self.kind_offset[class][kind]);
            *pace += gain * gap;
        }
        self.kind_offset[class][kind] += gain.min(2.0 * TYPICAL_GAIN) * gap;
        if !ok && gap < 0.0 {
            return;
        }
        self.add_evidence(now, s, gap, 1.0);
    }

    fn kind_of(&self, s: usize) -> usize {
        (self.servers[s].listed.kind).min(self.set.kinds.max(1) - 1) as usize
    }

    /// Usual time of a hinted request on a server's kind; 0 if nothing is known.
    fn usual(&self, s: usize, request: &Request) -> f64 {
        let known = request.cost.zip(self.pace[request.class]);
        let offset = self.kind_offset[request.class][self.kind_of(s)];
        known.map_or(0.0, |(cost, pace)| (cost + pace + offset).exp())
    }

    /// Expected time of a hinted request at a server; 0 if nothing is known.
    fn expected(&self, now: Nanos, s: usize, request: &Request) -> f64 {
        self.usual(s, request) * self.slowness(&self.servers[s], now).exp()
    }

    /// Mean log latency ratio of a server's samples, drawn to 0 by the prior.
    fn slowness(&self, server: &Server, now: Nanos) -> f64 {
        let (prior, half_life) = self.speed_memory();
        server.slow_sum.get(now, half_life) / (server.slow_count.get(now, half_life) + prior)
    }

    fn speed_memory(&self) -> (f64, Nanos) {
        let pooled = self.set.peers;
        [(SPEED_PRIOR, SPEED_HALF_LIFE), (POOLED_PRIOR, POOLED_HALF_LIFE)][usize::from(pooled)]
    }

    fn add_evidence(&mut self, now: Nanos, s: usize, sum: f64, count: f64) {
        let half_life = self.speed_memory().1;
        let server = &mut self.servers[s];
        server.slow_sum.add(now, half_life, sum);
        server.slow_count.add(now, half_life, count);
    }

    /// Gives half of what this instance knows of servers to a random peer.
    /// Danger: a trickle over many servers shows no instance which is slow; by
    /// passing on halves, nothing counts twice and all come to hold the mean.
    fn tell_peer(&mut self, now: Nanos, out: Out<'_>) {
        let others = self.set.instances.saturating_sub(1);
        if !self.set.peers || others == 0 || now.saturating_sub(self.told_at) < TELL_EVERY {
            return;
        }
        self.told_at = now;
        let half_life = self.speed_memory().1;
        let n = self.order.len();
        let from = (self.rng.draw() * n as f64) as usize;
        let halve = |seen: &mut Fading| {
            seen.sum /= 2.0;
            seen.get(now, RATE_HALF_LIFE)
        };
        let weight = halve(&mut self.tenant_weight);
        let tenants: Vec<f64> = self.tenant_seen.iter_mut().map(halve).collect();
        let room = Evidence::room(tenants.len());
        let mut told = Evidence { weight, tenants, servers: Vec::new() };
        for i in 0..n {
            let at = self.order[(from + i) % n];
            let server = &self.servers[at];
            let sum = server.slow_sum.get(now, half_life) / 2.0;
            let count = server.slow_count.get(now, half_life) / 2.0;
            let (id, leaving) = (server.listed.id, server.leaving());
            if count > 0.05 && !leaving && told.servers.len() < room {
                told.servers.push((id, sum, count));
                self.add_evidence(now, at, -sum, -count);
            }
        }
        let peer = (self.rng.draw() * f64::from(others)) as u32;
        let peer = Some(peer + u32::from(peer >= self.set.self_index));
        out.push(Action::TellPeer { peer, payload: told.encode() });
    }

    fn on_peer(&mut self, now: Nanos, payload: &[u8]) {
        let Some(told) = Evidence::decode(payload) else { return };
        self.tenant_weight.fill(now, RATE_HALF_LIFE);
        self.tenant_weight.add(now, RATE_HALF_LIFE, told.weight);
        for (seen, sum) in self.tenant_seen.iter_mut().zip(told.tenants) {
            seen.add(now, RATE_HALF_LIFE, sum);
        }
        for (id, sum, count) in told.servers {
            if let Some(&s) = self.index.get(&id) {
                self.add_evidence(now, s, sum, count);
            }
        }
    }

    /// Wait per reported queue over speed.
    fn slope(&self) -> f64 {
        let mean = |line: &Line| Some(line.sums.last()? / line.members.len() as f64);
        let speed = self.lines.first().and_then(mean).unwrap_or(1.0);
        let n = self.typical.len();
        let typical: f64 = (0..n).map(|c| self.typical_of(c)).sum::<f64>() / n as f64;
        typical * speed / SIDE_BY_SIDE
    }

    /// The one gate for sends: known, not leaving, cold budget left.
    fn may_send(&mut self, now: Nanos, s: usize) -> bool {
        !self.servers[s].leaving() && self.cold_credit(now, s) >= 1.0
    }

    /// Sends this instance may still make to a server. Danger: all together may
    /// push a cold one over. Each keeps to a part of the multiple of what it would
    /// send it warm; credit starts at random so that first sends don't coincide.
    fn cold_credit(&mut self, now: Nanos, s: usize) -> f64 {
        let warmth = self.warmth(&self.servers[s], now);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let total: f64 = self
            .servers
            .iter()
            .filter(|o| !o.leaving())
            .map(|o| o.listed.size * self.warmth(o, now))
            .sum();
        let share = self.servers[s].listed.size / total.max(1e-9);
        let rate = self.served_rate(now) * share * warmth * self.set.fall_multiple * COLD_SAFETY;
        let depth = (rate * self.set.tip_after as f64 / SECOND as f64 * 0.5).max(1.0);
        let server = &mut self.servers[s];
        let passed = now.saturating_sub(server.credit_at) as f64 / SECOND as f64;
        server.credit_at = now;
        server.cold_credit = (server.cold_credit + rate * passed).clamp(-1.0, depth);
        server.cold_credit
    }

    /// Arrivals a second, over the part of the memory that this instance has lived.
    fn arrival_rate(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.born) as f64 / SECOND as f64;
        let lived = 1.0 - (-age.max(1.0) / RATE_SPAN).exp();
        self.arrivals.get(now, RATE_HALF_LIFE) / RATE_SPAN / lived
    }

    /// Answers a second, and a little for an instance that has seen none. What
    /// was served never exceeds what servers can do; arrivals may, by repeats.
    fn served_rate(&self, now: Nanos) -> f64 {
        self.served.get(now, RATE_HALF_LIFE) / RATE_SPAN + 0.05 * self.arrival_rate(now)
    }

    fn record_failure(&mut self, now: Nanos, s: usize, weight: f64) {
        let server = &mut self.servers[s];
        server.fails.add(now, FAIL_HALF_LIFE, weight);
        if server.fails.sum >= EJECT_AFTER && server.ejected_until <= now {
            let span = (EJECT_BASE << server.ejections.min(8)).min(EJECT_MAX);
            server.ejected_until = now + span;
            server.ejections += 1;
            // On its return one more failure ejects it again.
            server.fails.sum = EJECT_AFTER - 1.0;
            self.line_stale = true;
        }
    }

    fn record_success(&mut self, s: usize) {
        let server = &mut self.servers[s];
        server.fails.sum *= 0.6;
        if server.fails.sum < 0.5 {
            server.ejections = 0;
        }
    }

    fn refresh_line(&mut self, now: Nanos) {
        if !self.line_stale && now.saturating_sub(self.line_at) < LINE_AGE {
            return;
        }
        let live: Vec<usize> =
            self.order.iter().copied().filter(|s| !self.servers[*s].leaving()).collect();
        let fit = |s: &&usize| {
            let server = &self.servers[**s];
            server.ejected_until <= now && server.overdue == 0
        };
        let size = |s: &usize| self.servers[*s].listed.size;
        let all: f64 = live.iter().map(size).sum();
        let ready: f64 = live.iter().filter(fit).map(size).sum();
        // Panic threshold: when most look bad, the fault is likely elsewhere.
        let panic = ready < PANIC_SHARE * all;
        let mut chosen: Vec<usize> = live.iter().filter(|s| panic || fit(s)).copied().collect();
        let uses = self.arrival_rate(now) * self.set.idle_timeout as f64 / SECOND as f64;
        // Danger: instances that outnumber servers hold hundreds of connections each.
        let held = f64::from(self.set.instances) / live.len().max(1) as f64;
        let afford = SUBSET_COST / (self.set.prices.connection * held / 100.0);
        let least = (afford as usize).clamp(SUBSET_PRICED, SUBSET_MIN);
        chosen.truncate(((uses / SUBSET_USES) as usize).max(least));
        let of = |c| {
            let stuck = |s: &&usize| self.servers[**s].stuck.get(c).is_some_and(|at| *at > now);
            // With most of them stuck it is the requests that are heavy.
            let all = 2 * chosen.iter().filter(stuck).count() > chosen.len();
            let fit = chosen.iter().filter(|s| all || !stuck(s));
            Line::new(fit.map(|s| (*s, self.speed_for(c, *s, now))))
        };
        self.lines = (0..self.set.classes.len()).map(of).collect();
        self.line_at = now;
        self.line_stale = false;
    }

    /// Draws by the line, less the servers the request may not go to.
    fn draw_for(&mut self, now: Nanos, request: &Request, legal: Legal) -> Option<Drawn> {
        self.refresh_line(now);
        let aim = self.set.classes[request.class].aim as f64;
        if request.attempts.is_empty() {
            let drawn = self.lines[request.class].draw(|| self.rng.draw());
            let mut open = |s: usize| {
                self.may_send(now, s) && self.expected(now, s, request) <= aim * FIT_SHARE
            };
            let open = drawn.is_some_and(|drawn| match drawn {
                Drawn::One(s) => open(s),
                Drawn::Pair(p) => open(p.servers[0]) && open(p.servers[1]),
            });
            if open {
                return drawn;
            }
        }
        let tried = |s: usize| {
            let id = self.servers[s].listed.id;
            request.attempts.iter().any(|a| a.server == id)
        };
        let group = legal.group_of.and_then(|id| self.index.get(&id)).copied();
        let class = &self.set.classes[request.class];
        let allowed = |s: usize| match (group, class.group) {
            (_, Group::All) => true,
            // Of a server that is forgotten the group is not known.
            (None, _) => legal.group_of.is_none(),
            (Some(g), Group::Zone) => self.servers[s].listed.zone == self.servers[g].listed.zone,
            (Some(g), Group::Cell) => self.servers[s].listed.cell == self.servers[g].listed.cell,
        };
        let mut fit: Vec<usize> = self.lines[request.class].members.clone();
        fit.retain(|s| allowed(*s) && !tried(*s));
        for again in [false, true] {
            if fit.is_empty() {
                fit = self.order.clone();
                fit.retain(|s| allowed(*s) && (again || !tried(*s)));
            }
        }
        fit.retain(|s| self.may_send(now, *s));
        // Danger: a long request on a slow kind is late by its work alone. Only
        // servers that can still make it are ready for it, if there are any.
        let soonest = fit.iter().map(|s| self.expected(now, *s, request));
        let limit = soonest.fold(f64::INFINITY, f64::min).max(aim * FIT_SHARE);
        fit.retain(|s| self.expected(now, *s, request) <= limit * 1.01);
        let line = Line::new(fit.iter().map(|s| (*s, self.speed_for(request.class, *s, now))));
        line.draw(|| self.rng.draw())
    }

    /// Queues that stand for a pair: fresh reports if there are two, with what
    /// was sent since, else this instance's own requests in flight.
    fn queues(&self, now: Nanos, pair: &Pair) -> [f64; 2] {
        let reported = pair.servers.iter().all(|s| self.has_report(now, *s));
        pair.servers.map(|s| {
            let server = &self.servers[s];
            [f64::from(server.in_flight), server.report_queue][usize::from(reported)]
        })
    }

    /// Reported queue over speed; 0 without a fresh report.
    fn reported_queue(&self, now: Nanos, s: usize) -> f64 {
        let server = &self.servers[s];
        let queue = if self.has_report(now, s) { server.report_queue } else { 0.0 };
        queue / self.speed(server, now)
    }

    fn has_report(&self, now: Nanos, s: usize) -> bool {
        let at = self.servers[s].report_at;
        at > 0 && now.saturating_sub(at) <= REPORT_FRESH
    }

    /// Reports are worth asking for before a send: cheap, and shown to be fresh.
    fn asks_first(&self) -> bool {
        self.set.probes
            && self.set.report_fields.contains(&ReportField::InFlight)
            && self.set.prices.probe <= PROBE_PRICE_MAX
            && self.reports[0] <= self.reports[1] + REPORT_TRIALS
    }

    fn ask(&mut self, now: Nanos, s: usize, out: Out<'_>) {
        let server = &mut self.servers[s];
        if !server.leaving() && now.saturating_sub(server.asked_at) > REPORT_FRESH {
            server.asked_at = now;
            out.push(Action::Probe { server: server.listed.id });
        }
    }

    fn on_report(&mut self, now: Nanos, id: ServerId, report: &[f64]) {
        let Some(&s) = self.index.get(&id) else { return };
        let field = |f| self.set.report_fields.iter().position(|g| *g == f);
        let value = |f| report.get(field(f)?).copied();
        let held = value(ReportField::InFlight);
        let waiting = value(ReportField::Queue);
        let Some(queue) = held.or(waiting).map(|q| q + waiting.unwrap_or(0.0)) else { return };
        let size = self.servers[s].listed.size;
        let all: f64 = self.servers.iter().filter(|o| !o.leaving()).map(|o| o.listed.size).sum();
        let usual = self.served_rate(now) * f64::from(self.set.instances) * size / all.max(1e-9);
        let server = &mut self.servers[s];
        // Learn whether reports keep up: the same figures again are old ones. Danger:
        // asked again while they are fresh, the same ones say nothing.
        let gap = now.saturating_sub(server.report_at);
        let moved = server.report != report;
        if (REPORT_FRESH..SECOND).contains(&gap) && (moved || queue > 0.0) {
            self.reports[usize::from(moved)] += 1;
        }
        server.report = report.to_vec();
        server.report_queue = queue;
        server.report_at = now;
        if let Some(errors) = value(ReportField::ErrorsPerS) {
            if errors > 1.0 && errors > ERROR_SHARE * usual {
                self.record_failure(now, s, EJECT_AFTER);
            }
        }
    }

    fn on_probed(
        &mut self,
        now: Nanos,
        id: ServerId,
        (ok, report): (bool, Option<Vec<f64>>),
        out: Out<'_>,
    ) {
        match (report, self.index.get(&id)) {
            (Some(report), _) if ok => self.on_report(now, id, &report),
            (_, Some(&s)) if !ok => self.record_failure(now, s, 0.5),
            _ => {}
        }
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            self.settle(now, &request, false, out);
        }
    }

    /// Joins the better of a pair once both have reported, or time is up.
    fn settle(&mut self, now: Nanos, id: &RequestId, force: bool, out: Out<'_>) {
        let live = self.requests.get(id).filter(|r| !r.finished);
        let Some(pair) = live.and_then(|r| r.pair) else { return };
        if !force && !pair.servers.iter().all(|s| self.has_report(now, *s)) {
            self.waiting.push(id.clone());
            return;
        }
        self.requests.entry(id.clone()).and_modify(|request| request.pair = None);
        let legal = self.legal(now, &self.requests[id]);
        let queues = self.queues(now, &pair);
        let first = pair.join(|| self.rng.draw(), queues);
        let other = pair.servers[usize::from(pair.servers[0] == first)];
        let fit = |this: &mut Self, s: usize| {
            this.may_send(now, s) && this.servers[s].ejected_until <= now
        };
        let chosen = if fit(self, first) { Some(first) } else { fit(self, other).then_some(other) };
        // Refuse what would wait past its aim: sent, it would be work for nothing.
        let request = &self.requests[id];
        let limit = self.wait_limit();
        let too_long = chosen.is_some_and(|s| self.slope() * self.reported_queue(now, s) > limit);
        match chosen {
            Some(_) if too_long && request.attempts.is_empty() => self.end(now, id, out),
            Some(s) if legal.send => self.send(now, id, s, out),
            _ => self.advance(now, id, out),
        }
    }

    /// Moves the share of work refused by what an ended attempt shows.
    /// Danger: overdue work and clients' repeats keep servers jammed (metastable
    /// overload); refusing early is what lets the queues drain.
    fn note_congestion(&mut self, now: Nanos, congested: f64) {
        self.fade_level(now);
        self.ended_at = now;
        let rate = self.served_rate(now).max(1e-3);
        let step = (ADMIT_GAIN / rate).clamp(ADMIT_STEP_MIN, ADMIT_STEP_MAX);
        // Danger: a jam leaves the level far above what the day needs, and it
        // refuses long after; answers in time let it fall faster from there.
        let above = (self.refuse_level - self.usual_level).max(0.0);
        let faster = if congested > 0.0 { 1.0 } else { 1.0 + ABOVE_GAIN * above };
        let moved = self.refuse_level + step * (congested - CONGESTED_TARGET * faster);
        self.refuse_level = moved.clamp(0.0, 1.0);
    }

    /// Danger: an instance that refuses most sees few ends, so the level must
    /// fall by time too or refusals outlive the jam.
    fn fade_level(&mut self, now: Nanos) {
        let silent = now.saturating_sub(self.ended_at.max(self.level_at)) as f64;
        if now.saturating_sub(self.ended_at) > ADMIT_SILENCE {
            self.refuse_level *= (-silent / ADMIT_FADE as f64).exp();
        }
        let passed = now.saturating_sub(self.level_at) as f64 / USUAL_SPAN as f64;
        self.usual_level += (self.refuse_level - self.usual_level) * passed.min(1.0);
        self.level_at = now;
        self.share_refusals();
    }

    /// Longest wait at a server: one bound, or long aims crowd out short ones.
    fn wait_limit(&self) -> f64 {
        let n = self.set.classes.len();
        let spare = |c: usize| {
            let aim = self.set.classes[c].aim as f64;
            (aim - 1.5 * self.typical_of(c)).max(0.3 * aim)
        };
        let tightest = (0..n).map(spare).fold(f64::INFINITY, f64::min);
        tightest * WAIT_SHARE
    }

    /// Typical latency of a class; a part of its aim until one was seen.
    fn typical_of(&self, class: usize) -> f64 {
        self.typical[class].map_or(self.set.classes[class].aim as f64 * 0.3, f64::exp)
    }

    /// Lays the refused share on the classes: least worth per unit of work
    /// first where the goal gains by it, else on all alike.
    fn share_refusals(&mut self) {
        let n = self.set.classes.len();
        let parts = |of: &dyn Fn(usize) -> f64| -> Vec<f64> {
            let all: f64 = (0..n).map(of).sum();
            (0..n).map(|c| of(c) / all.max(1e-9)).collect()
        };
        let work = parts(&|c| self.mix[c] * self.typical_of(c));
        let by = |c: usize| if self.set.worth_by_work { work[c] } else { self.mix[c] };
        let worth = parts(&|c| self.set.classes[c].worth * by(c));
        let density = |c: usize| worth[c] / work[c].max(1e-9);
        let mut by_density: Vec<usize> = (0..n).collect();
        by_density.sort_by(|a, b| density(*a).total_cmp(&density(*b)));
        let (low, high) = (by_density[0], by_density[n - 1]);
        let goal = &self.set.goal;
        let gain = (goal.whole + goal.worst_window) * work[low] * (density(high) - density(low));
        let level = (self.refuse_level - ADMIT_DEADBAND).max(0.0) / (1.0 - ADMIT_DEADBAND);
        let mut left = level;
        for c in by_density {
            let share = if gain > goal.worst_class { left / work[c].max(1e-9) } else { level };
            let share = share.min(ADMIT_MAX);
            self.refuse[c] = share;
            left = (left - share * work[c]).max(0.0);
        }
    }

    /// Chance that a request is refused on arrival. What is past a quota goes first.
    fn refuse_chance(&self, now: Nanos, class: usize, tenant: usize) -> f64 {
        let from = if self.set.peers { OVER_FROM } else { ADMIT_DEADBAND };
        let ramp = ((self.refuse_level - from) / OVER_SPAN).clamp(0.0, 1.0);
        let over = if ramp > 0.0 { self.over_quota(now, tenant) } else { 0.0 };
        1.0 - (1.0 - self.refuse[class]) * (1.0 - ramp * over.clamp(0.0, ADMIT_MAX))
    }

    /// Known work too long for any kind. Danger: it would hold places in vain.
    fn hopeless(&self, request: &Request) -> bool {
        let class = &self.set.classes[request.class];
        let best = self.kind_offset[request.class].iter().copied().fold(f64::INFINITY, f64::min);
        let sure = class.late_worth <= 0.0 && self.taught[request.class] > 9.0;
        let known = request.cost.zip(self.pace[request.class]).filter(|_| sure);
        known
            .is_some_and(|(cost, pace)| (cost + pace + best).exp() > HOPELESS_AT * class.aim as f64)
    }

    /// Part of a tenant's traffic past its quota. Danger: without peers a busy
    /// instance takes its own rate for the fleet's; there only the mix counts.
    fn over_quota(&self, now: Nanos, tenant: usize) -> f64 {
        let Some(set) = self.set.tenants.get(tenant) else { return 0.0 };
        let weight = self.tenant_weight.get(now, RATE_HALF_LIFE).max(1e-3);
        let scale = f64::from(self.set.instances) / RATE_SPAN / weight;
        let fleet = |seen: &Fading| seen.get(now, RATE_HALF_LIFE) * scale;
        let mut rate = fleet(&self.tenant_seen[tenant]);
        if !self.set.peers {
            let quotas: f64 = self.set.tenants.iter().map(|t| t.quota_per_s).sum();
            let all: f64 = self.tenant_seen.iter().map(fleet).sum();
            rate *= (quotas / all.max(1e-9)).min(1.0);
        }
        1.0 - set.quota_per_s / rate.max(1e-9)
    }

    fn count_mix(&mut self, now: Nanos, class: usize, tenant: usize) {
        self.mix.iter_mut().for_each(|m| *m *= 1.0 - 1.0 / MIX_MEMORY);
        self.mix[class] += 1.0;
        // Danger: where messages get lost, a weight that only halves would turn
        // the own traffic into many times the fleet's; it fills up with time.
        self.tenant_weight.fill(now, RATE_HALF_LIFE);
        if let Some(seen) = self.tenant_seen.get_mut(tenant) {
            seen.add(now, RATE_HALF_LIFE, 1.0);
        }
    }

    fn on_request(&mut self, now: Nanos, id: RequestId, request: Request, out: Out<'_>) {
        let (class, tenant) = (request.class, request.tenant);
        if class >= self.set.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        if !request.repeat {
            self.arrivals.add(now, RATE_HALF_LIFE, 1.0);
        }
        self.retry_credit = (self.retry_credit + RETRY_RATIO).min(RETRY_SAVED);
        self.count_mix(now, class, tenant);
        self.tell_peer(now, out);
        self.fade_level(now);
        let hopeless = self.hopeless(&request);
        self.requests.insert(id.clone(), request);
        let chance = self.refuse_chance(now, class, tenant);
        if hopeless || self.rng.draw() < chance {
            self.end(now, &id, out)
        } else {
            self.advance(now, &id, out)
        }
    }

    /// What is legal for a request now. Every send, refusal and failure asks here.
    fn legal(&self, now: Nanos, request: &Request) -> Legal {
        let class = &self.set.classes[request.class];
        let nothing = Legal { send: false, group_of: None, refuse: false };
        if request.finished || request.streaming {
            return nothing;
        }
        let room = request.attempts.len() < self.set.max_attempts as usize
            && now < request.deadline
            && (self.set.parallel_attempts || !request.attempts.iter().any(Attempt::out));
        let first = request.attempts.iter().find(|a| a.may_have_run());
        match (class.effect, first) {
            (Effect::Safe, _) | (_, None) => Legal { send: room, group_of: None, refuse: true },
            (Effect::Unsafe, Some(_)) => nothing,
            (Effect::Keyed, Some(first)) => {
                // Danger: a resend that arrives after the memory has gone would run twice.
                let until = (first.sent + class.dedup_window).saturating_sub(self.set.tick);
                Legal {
                    send: room && now < until,
                    group_of: Some(first.server),
                    refuse: class.group == Group::All && now < until,
                }
            }
        }
    }

    /// Sends a request if it can go somewhere, else holds or ends it.
    fn advance(&mut self, now: Nanos, id: &RequestId, out: Out<'_>) {
        let Some(request) = self.requests.get(id) else { return };
        let settled = request.finished || request.streaming;
        if settled || request.pair.is_some() || request.attempts.iter().any(Attempt::out) {
            return;
        }
        if self.try_send(now, id, out) {
            return;
        }
        let request = &self.requests[id];
        let hold = (self.set.classes[request.class].aim as f64 * HOLD_SHARE) as Nanos;
        let until = (request.arrived + hold).min(request.deadline.saturating_sub(HOLD_STEP));
        if self.legal(now, request).send && now < until {
            // No server now: wait a little, with an end, for a list or for credit.
            self.wake(HOLD_STEP, Wake::Held(id.clone()), out);
        } else {
            self.end(now, id, out);
        }
    }

    fn try_send(&mut self, now: Nanos, id: &RequestId, out: Out<'_>) -> bool {
        let Some(request) = self.requests.remove(id) else { return false };
        let legal = self.legal(now, &request);
        let drawn = if legal.send { self.draw_for(now, &request, legal) } else { None };
        self.requests.insert(id.clone(), request);
        let s = match drawn {
            None => return false,
            Some(Drawn::One(s)) => s,
            Some(Drawn::Pair(pair)) if self.asks_first() => {
                self.requests.entry(id.clone()).and_modify(|r| r.pair = Some(pair));
                for s in pair.servers {
                    self.ask(now, s, out);
                }
                let left = self.requests[id].deadline.saturating_sub(now);
                let wait = (REPORT_TICKS * self.set.tick).min(left);
                self.wake(wait, Wake::Reports(id.clone()), out);
                self.settle(now, id, false, out);
                return true;
            }
            Some(Drawn::Pair(pair)) => {
                let queues = self.queues(now, &pair);
                pair.join(|| self.rng.draw(), queues)
            }
        };
        self.send(now, id, s, out);
        true
    }

    fn send(&mut self, now: Nanos, id: &RequestId, s: usize, out: Out<'_>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let (class, attempt, deadline) = (request.class, request.attempts.len(), request.deadline);
        let server = &mut self.servers[s];
        server.in_flight += 1;
        server.report_queue += 1.0;
        server.cold_credit -= 1.0;
        let server_id = server.listed.id;
        request.attempts.push(Attempt { server: server_id, sent: now, ..Attempt::default() });
        out.push(Action::Send { id: id.clone(), server: server_id, timeout_at: deadline });
        // Danger: work known to be long is slow without any queue; taken for
        // congestion, it would have others refused.
        let aim = self.set.classes[class].aim as f64;
        let usual = self.typical_of(class) * self.kind_offset[class][self.kind_of(s)].exp();
        let known = self.usual(s, &self.requests[id]) * OVERDUE_AT;
        let after = (aim * CONGESTED_AT).max(known).max((usual * OVERDUE_AT).min(aim)) as Nanos;
        if now + after < deadline {
            self.wake(after, Wake::Overdue(id.clone(), attempt), out);
        }
    }

    /// Ends a request that this instance still owes an answer.
    fn end(&mut self, now: Nanos, id: &RequestId, out: Out<'_>) {
        let Some(request) = self.requests.get(id).filter(|r| !r.finished) else { return };
        // In overload a repeat that comes at once meets the same queue.
        let loaded = self.set.retry_after && self.refuse_level > ADMIT_DEADBAND;
        let retry_after = u64::from(loaded) * self.set.max_retry_after;
        out.push(if self.legal(now, request).refuse {
            Action::Refuse { id: id.clone(), retry_after }
        } else {
            Action::Fail { id: id.clone() }
        });
        self.close(id);
    }

    /// Marks a request finished; its record stays while attempts are out.
    fn close(&mut self, id: &RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.finished = true;
            if !request.attempts.iter().any(Attempt::out) {
                self.requests.remove(id);
            }
        }
    }

    fn on_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: usize,
        end: (Outcome, bool, Nanos),
        out: Out<'_>,
    ) {
        let (outcome, finished, took) = end;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, cost) = (request.class, request.cost);
        let Some(record) = request.attempts.get_mut(attempt).filter(|a| a.out()) else { return };
        record.outcome = Some(outcome);
        let (overdue, sent) = (record.overdue, record.sent);
        let was_finished = request.finished;
        if let Some(&s) = self.index.get(&record.server) {
            let server = &mut self.servers[s];
            server.in_flight = server.in_flight.saturating_sub(1);
            server.overdue = server.overdue.saturating_sub(u32::from(overdue));
            self.line_stale |= overdue;
            match outcome {
                Outcome::Ok => {
                    server.answered = server.answered.max(sent);
                    self.learn(now, s, (class, cost), took, true);
                    self.record_success(s);
                    self.served.add(now, RATE_HALF_LIFE, 1.0);
                }
                Outcome::TimedOut => {
                    self.learn(now, s, (class, cost), took, false);
                    self.record_failure(now, s, 0.5);
                }
                Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                    self.record_failure(now, s, 1.0)
                }
                Outcome::Rejected | Outcome::Full | Outcome::Cancelled | Outcome::Unused => {}
            }
        }
        match outcome {
            Outcome::Ok if !overdue => self.note_congestion(now, 0.0),
            Outcome::TimedOut if !overdue => self.note_congestion(now, 1.0),
            Outcome::Full => self.note_congestion(now, FULL_COUNTS),
            // Overdue ones have counted already; failures are no sign of load.
            _ => {}
        }
        if finished || was_finished {
            return self.close(&id);
        }
        // Never-run attempts go elsewhere at once; the rest asks the retry budget.
        let price = f64::from(u8::from(!outcome.never_ran()));
        // Danger: sent on, an unfit request would have every server turn it away.
        if self.retry_credit >= price && outcome != Outcome::Rejected {
            self.retry_credit -= price;
            self.advance(now, &id, out);
        } else if !self.requests[&id].attempts.iter().any(Attempt::out) {
            self.end(now, &id, out);
        }
    }

    /// Silence counts against the server, and as congestion, before any
    /// time-out. Danger: a time-out may come seconds after the jam began.
    fn on_overdue(&mut self, now: Nanos, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(record) = request.attempts.get_mut(attempt).filter(|a| a.out()) else { return };
        self.line_stale = true;
        let Some(&s) = self.index.get(&record.server) else { return };
        let (server, class) = (&mut self.servers[s], request.class);
        // Danger: a fault that holds up one class only would take the server from
        // all. What was sent well after being answered, it is no queue; a lone heavy
        // request looks the same, and costs its server the class for a while.
        if server.answered > record.sent + self.set.classes[class].aim / 4 {
            server.stuck.resize(self.set.classes.len(), 0);
            server.stuck[class] = now + EJECT_BASE;
            return;
        }
        record.overdue = true;
        server.overdue += 1;
        self.note_congestion(now, 1.0);
    }

    /// Danger: instances that start or move together must not all call at once.
    fn call_discovery(&mut self, spread: Nanos, out: Out<'_>) {
        if self.set.must_ask {
            let after = (self.rng.draw() * spread as f64) as Nanos;
            self.wake(after, Wake::Discovery, out);
        }
    }

    fn on_servers(&mut self, now: Nanos, kind: ListKind, entries: &[ListedServer], out: Out<'_>) {
        if kind == ListKind::Failed {
            (self.watching, self.call_out) = (false, false);
            let longest = self.set.ask_within.max(WATCH_RETRY);
            let span = (WATCH_RETRY << self.call_fails.min(6)).min(longest) as f64;
            self.call_fails += 1;
            let after = span * (0.5 + self.rng.draw());
            self.wake(after as Nanos, Wake::Discovery, out);
            return;
        }
        if kind != ListKind::Cached && self.call_out {
            (self.watching, self.call_out, self.call_fails) = (true, false, 0);
        }
        if kind != ListKind::Changes {
            // What a complete list leaves out is gone.
            self.servers.iter_mut().for_each(|s| s.listed.condition = Condition::Gone);
        }
        for entry in entries {
            self.on_entry(now, entry);
        }
        let servers = &self.servers;
        self.order = (0..servers.len()).collect();
        self.order.retain(|s| servers[*s].listed.condition != Condition::Gone);
        // Its idle connections are of no use, and cost both sides descriptors.
        let leaving = entries.iter().filter(|entry| entry.condition != Condition::Live);
        out.extend(leaving.map(|entry| Action::CloseIdle { server: entry.id }));
        self.order.sort_by_key(|s| (servers[*s].rank, servers[*s].listed.id));
        self.line_stale = true;
    }

    fn on_entry(&mut self, now: Nanos, entry: &ListedServer) {
        let started = (entry.started_at > 0
            && now.saturating_sub(entry.started_at) < self.set.cold)
            .then_some(entry.started_at);
        let hash = mix(mix(u64::from(entry.id)) ^ mix(u64::from(self.set.self_index) + 1));
        let fresh = Server {
            listed: entry.clone(),
            // A line that is cut short holds more of the own zone, by its price.
            rank: (-(hash as f64 / 1.9e19).ln() * self.away(entry.zone).sqrt() * 1e12) as u64,
            started,
            cold_credit: self.rng.draw(),
            credit_at: now,
            ..Server::default()
        };
        if let Some(&s) = self.index.get(&entry.id) {
            let server = &mut self.servers[s];
            if entry.started_at > server.listed.started_at {
                // A new process: nothing learned of the old one holds.
                let (in_flight, overdue) = (server.in_flight, server.overdue);
                *server = Server { in_flight, overdue, ..fresh };
            } else {
                server.listed = entry.clone();
            }
            return;
        }
        // A server that is new to a list already held has just started, whatever it says.
        let started = started.or((!self.order.is_empty() && entry.started_at == 0).then_some(now));
        // Danger: ids are ever new; the place of one gone serves the next.
        let gone = |s: &Server| s.listed.condition == Condition::Gone;
        let place = self.servers.iter().position(gone);
        self.index.insert(entry.id, place.unwrap_or(self.servers.len()));
        self.servers.push(Server { started, ..fresh });
        if let Some(place) = place {
            self.index.remove(&self.servers.swap_remove(place).listed.id);
        }
    }
}
