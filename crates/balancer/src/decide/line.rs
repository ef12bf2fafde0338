//! The line of section 4: shares, pairs, ties, and who is on it.

use super::*;

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
/// A server is ready for a request of known work if it takes this part of the aim or less.
const FIT_SHARE: f64 = 0.8;
/// Under these shares of the listed size, answers overdue and ejections are ignored.
const PANIC_SHARE: f64 = 0.5;
const LOST_SHARE: f64 = 0.3;

/// The paper's line over servers of unequal speed: shares, pairs, ties.
#[derive(Debug, Clone, Default)]
pub struct ServerOrder {
    members: Vec<usize>,
    speeds: Vec<f64>,
    sums: Vec<f64>,
    pair_sums: Vec<f64>,
    epsilon: f64,
}

impl ServerOrder {
    /// Lays servers (any index with a positive speed) out in the given order.
    pub fn new(servers: impl IntoIterator<Item = (usize, f64)>) -> Self {
        let mut line = ServerOrder::default();
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

    /// Mean speed of its servers; none for an empty line.
    pub(super) fn mean_speed(&self) -> Option<f64> {
        Some(self.sums.last()? / self.members.len() as f64)
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
    pub fn draw(&self, mut draw: impl FnMut() -> f64) -> Option<Candidates> {
        let n = self.members.len();
        if n <= 1 {
            return self.members.first().map(|s| Candidates::One(*s));
        }
        if draw() < DEDICATED {
            let at = draw() * self.sums[n - 1];
            let j = self.sums.partition_point(|s| *s <= at).min(n - 1);
            return Some(Candidates::One(self.members[j]));
        }
        let at = draw() * self.pair_sums[n - 2];
        let left = self.pair_sums.partition_point(|s| *s <= at).min(n - 2);
        let servers = [self.members[left], self.members[left + 1]];
        let speeds = [self.speeds[left], self.speeds[left + 1]];
        Some(Candidates::AdjacentPair(AdjacentPair {
            servers,
            speeds,
            left_share: self.left_share(left + 1),
        }))
    }
}

/// What the line gives for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Candidates {
    /// Its dedicated server.
    One(usize),
    /// Two neighbours to compare.
    AdjacentPair(AdjacentPair),
}

/// Two neighbours on the line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdjacentPair {
    /// Left and right.
    pub servers: [usize; 2],
    /// Their speeds.
    pub speeds: [f64; 2],
    /// Chance that a tie goes left.
    pub left_share: f64,
}

impl AdjacentPair {
    /// The one with the shorter expected wait, queue over speed; equal waits
    /// are split by (4.4).
    pub fn join(&self, mut draw: impl FnMut() -> f64, queues: [f64; 2]) -> usize {
        let wait = [queues[0] / self.speeds[0], queues[1] / self.speeds[1]];
        let left = if wait[0] == wait[1] { draw() < self.left_share } else { wait[0] < wait[1] };
        self.servers[usize::from(!left)]
    }
}

impl Balancer {
    fn refresh_line(&mut self, now: Nanos) {
        if !self.line_stale && now.saturating_sub(self.line_at) < LINE_AGE {
            return;
        }
        let live: Vec<usize> =
            self.order.iter().copied().filter(|s| !self.servers[*s].leaving()).collect();
        let up = |s: &usize| self.servers[*s].ejected_until <= now;
        let calm = |s: &usize| up(s) && self.servers[*s].overdue == 0;
        let size = |s: &usize| self.servers[*s].listed.size;
        let sum = |f: &dyn Fn(&usize) -> bool| live.iter().filter(|s| f(s)).map(size).sum::<f64>();
        // Panic thresholds: when most look bad, the fault is elsewhere; the late come back first.
        let late = sum(&calm) < PANIC_SHARE * sum(&|_| true);
        let lost = sum(&up) < LOST_SHARE * sum(&|_| true);
        let mut chosen = live.clone();
        chosen.retain(|s| lost || calm(s) || late && up(s));
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
            ServerOrder::new(fit.map(|s| (*s, self.speed_for(c, *s, now))))
        };
        self.lines = (0..self.set.classes.len()).map(of).collect();
        (self.line_at, self.line_stale) = (now, false);
    }

    /// Draws by the line, less the servers the request may not go to.
    pub(super) fn draw_for(&mut self, now: Nanos, r: &Request, legal: Legal) -> Option<Candidates> {
        self.refresh_line(now);
        let latency_objective = self.set.classes[r.class].latency_objective as f64;
        if r.attempts.is_empty() {
            let drawn = self.lines[r.class].draw(|| self.rng.draw());
            let limit = latency_objective * FIT_SHARE;
            let mut open = |s| self.may_send(now, s) && self.expected(now, s, r) <= limit;
            let open = drawn.is_some_and(|drawn| match drawn {
                Candidates::One(s) => open(s),
                Candidates::AdjacentPair(p) => open(p.servers[0]) && open(p.servers[1]),
            });
            if open {
                return drawn;
            }
        }
        let id = |s: usize| self.servers[s].listed.id;
        let tried = |s: usize| r.attempts.iter().any(|a| a.server == id(s));
        let group = legal.group_of.and_then(|id| self.index.get(&id)).copied();
        let class = &self.set.classes[r.class];
        let allowed = |s: usize| match (group, class.group) {
            (_, Group::All) => true,
            // Of a server that is forgotten the group is not known.
            (None, _) => legal.group_of.is_none(),
            (Some(g), Group::Zone) => self.servers[s].listed.zone == self.servers[g].listed.zone,
            (Some(g), Group::Cell) => self.servers[s].listed.cell == self.servers[g].listed.cell,
        };
        let mut fit: Vec<usize> = self.lines[r.class].members.clone();
        fit.retain(|s| allowed(*s) && !tried(*s));
        for again in [false, true] {
            if fit.is_empty() {
                fit = self.order.clone();
                fit.retain(|s| allowed(*s) && (again || !tried(*s)));
            }
        }
        fit.retain(|s| self.may_send(now, *s));
        // Danger: a long request is late on a slow kind; ready are those that still make it.
        let soonest = fit.iter().map(|s| self.expected(now, *s, r));
        let limit = soonest.fold(f64::INFINITY, f64::min).max(latency_objective * FIT_SHARE);
        fit.retain(|s| self.expected(now, *s, r) <= limit * 1.01);
        let line = ServerOrder::new(fit.iter().map(|s| (*s, self.speed_for(r.class, *s, now))));
        line.draw(|| self.rng.draw())
    }
}
