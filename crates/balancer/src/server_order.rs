//! Limited-choice load balancing for servers of unequal speed (He and Down, section 4): servers
//! are kept in a fixed order, and each request compares two adjacent ones.

/// Share of requests that go to a single server drawn by speed, without a comparison (p in the
/// paper).
const DEDICATED_SHARE: f64 = 0.05;
/// The parameter ε as a fraction of the upper bound of ε.
const EPSILON_FRACTION: f64 = 0.5;
/// Lower bound of a speed; also replaces speeds that are not finite.
const MIN_SPEED: f64 = 1e-9;

/// A fixed order of servers with their speeds, pair weights and tie probabilities. `Server` is the
/// type that identifies a server.
#[derive(Debug, Clone)]
pub struct ServerOrder<Server = usize> {
    members: Vec<Server>,
    speeds: Vec<f64>,
    cumulative_speeds: Vec<f64>,
    cumulative_pair_weights: Vec<f64>,
    epsilon: f64,
}

impl<Server: Copy> ServerOrder<Server> {
    /// Creates an order from servers and their speeds, which should be positive. The servers keep
    /// the order of the iterator.
    pub fn new(servers: impl IntoIterator<Item = (Server, f64)>) -> Self {
        let mut order = ServerOrder {
            members: Vec::new(),
            speeds: Vec::new(),
            cumulative_speeds: Vec::new(),
            cumulative_pair_weights: Vec::new(),
            epsilon: 0.0,
        };
        let mut sum = 0.0;
        for (member, speed) in servers {
            let speed = if speed.is_finite() { speed.max(MIN_SPEED) } else { MIN_SPEED };
            sum += speed;
            order.members.push(member);
            order.speeds.push(speed);
            order.cumulative_speeds.push(sum);
        }
        order.epsilon = order.choose_epsilon();
        let mut pair_weights = 0.0;
        for position in 1..order.members.len() {
            pair_weights += order.pair_weight(position);
            order.cumulative_pair_weights.push(pair_weights);
        }
        order
    }

    /// Returns an ε below the bounds of (4.2) and the second bound of (4.1), or 0 for fewer than 3
    /// servers.
    fn choose_epsilon(&self) -> f64 {
        let count = self.members.len();
        if count < 3 {
            return 0.0;
        }
        let bound = (2..count).fold(f64::INFINITY, |least, position| {
            least.min(self.speeds[position - 1] / (position - 1) as f64)
        });
        let last = (self.speeds[count - 1] + self.speeds[count - 2]) / (count - 2) as f64;
        EPSILON_FRACTION * bound.min(last)
    }

    /// Returns the servers in order.
    pub(crate) fn members(&self) -> &[Server] {
        &self.members
    }

    /// Returns the mean speed of the servers, or `None` if there are none.
    pub(crate) fn mean_speed(&self) -> Option<f64> {
        Some(self.cumulative_speeds.last()? / self.members.len() as f64)
    }

    /// Returns ε of (4.1).
    #[must_use]
    pub fn epsilon(&self) -> f64 {
        self.epsilon
    }

    /// Returns the weight `μ_j + ε_j` of the pair (j, j+1), where j is `position`.
    ///
    /// # Panics
    ///
    /// Panics if `position` is not in 1 to N−1.
    #[must_use]
    pub fn pair_weight(&self, position: usize) -> f64 {
        let count = self.members.len();
        let epsilon = if position + 1 < count {
            self.epsilon
        } else {
            self.speeds[count - 1] - (count - 2) as f64 * self.epsilon
        };
        self.speeds[position - 1] + epsilon
    }

    /// Returns the probability that a tie in the pair (j, j+1) goes to j, where j is `position`
    /// (left part of (4.4)).
    ///
    /// # Panics
    ///
    /// Panics if `position` is not in 1 to N−1.
    #[must_use]
    pub fn left_share(&self, position: usize) -> f64 {
        let left = self.speeds[position - 1] - (position - 1) as f64 * self.epsilon;
        left / self.pair_weight(position)
    }

    /// Draws the candidates of one request: a single server or an adjacent pair. Returns `None` if
    /// there are no servers. `draw` returns uniform numbers in [0, 1).
    pub fn draw(&self, mut draw: impl FnMut() -> f64) -> Option<Candidates<Server>> {
        let count = self.members.len();
        if count <= 1 {
            return self.members.first().map(|server| Candidates::One(*server));
        }
        if draw() < DEDICATED_SHARE {
            let target = draw() * self.cumulative_speeds[count - 1];
            let position = self.cumulative_speeds.partition_point(|sum| *sum <= target);
            return Some(Candidates::One(self.members[position.min(count - 1)]));
        }
        let target = draw() * self.cumulative_pair_weights[count - 2];
        let left = self.cumulative_pair_weights.partition_point(|sum| *sum <= target);
        let left = left.min(count - 2);
        Some(Candidates::AdjacentPair(AdjacentPair {
            servers: [self.members[left], self.members[left + 1]],
            speeds: [self.speeds[left], self.speeds[left + 1]],
            left_share: self.left_share(left + 1),
        }))
    }
}

/// The servers that one request chooses from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Candidates<Server = usize> {
    /// A single server, used without a comparison.
    One(Server),
    /// Two adjacent servers to compare.
    AdjacentPair(AdjacentPair<Server>),
}

/// Two adjacent servers of an order, the left one first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdjacentPair<Server = usize> {
    /// The left and the right server.
    pub servers: [Server; 2],
    /// Speeds of the left and the right server.
    pub speeds: [f64; 2],
    /// Probability that a tie goes to the left server.
    pub left_share: f64,
}

impl<Server: Copy> AdjacentPair<Server> {
    /// Returns the server with the shorter expected wait, which is its queue length divided by its
    /// speed. Ties are broken at random by (4.4). `draw` returns uniform numbers in [0, 1).
    pub fn join(&self, mut draw: impl FnMut() -> f64, queues: [f64; 2]) -> Server {
        let [left, right] = [queues[0] / self.speeds[0], queues[1] / self.speeds[1]];
        let is_left = if left == right { draw() < self.left_share } else { left < right };
        self.servers[usize::from(!is_left)]
    }
}
