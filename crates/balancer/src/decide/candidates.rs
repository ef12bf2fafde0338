//! Candidate selection: which servers are in the order of each class, and which of them are
//! eligible for a request.

use super::estimators::Estimators;
use super::panic_thresholds::HealthFilter;
use super::retry_group::RetryGroup;
use crate::api::{ClassId, Settings};
use crate::rng::Rng;
use crate::server_order::{Candidates, ServerOrder};
use crate::state::{Request, ServerIndex, ServerTable};
use mintshelf_time::{as_float, Nanos, MILLISECOND, SECOND};

/// Maximum age of the server orders, since estimated speeds change over time.
const MAX_ORDER_AGE: Nanos = 200 * MILLISECOND;
/// Number of servers that every instance may use whatever its traffic, if connections are cheap.
const MIN_SUBSET_SERVERS: usize = 6;
/// The same if connections are expensive: fewer servers than [`MIN_SUBSET_SERVERS`] are used to
/// stay within [`MAX_SUBSET_COST`], but never fewer than this.
const MIN_COSTLY_SUBSET_SERVERS: usize = 3;
/// Maximum cost of the connections that the minimum subset opens, as a fraction of the total
/// weight.
const MAX_SUBSET_COST: f64 = 0.02;
/// Number of connections per client that the price of a connection is stated for.
const CONNECTIONS_PER_PRICE: f64 = 100.0;
/// Number of uses within the idle timeout that justify keeping a connection open.
const MIN_CONNECTION_USES: f64 = 12.0;
/// A server is eligible for a request of known work if its expected latency is within this fraction
/// of the latency objective.
const ELIGIBLE_OBJECTIVE_FRACTION: f64 = 0.8;
/// Ratio to the lowest expected latency up to which a server counts as equal to the fastest.
const LATENCY_TOLERANCE: f64 = 1.01;
/// Maximum number of servers outside the order of a class that are considered for a request.
const MAX_FALLBACK_SERVERS: usize = 256;

/// State and settings that candidate selection reads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SelectionContext<'a> {
    pub(crate) now: Nanos,
    pub(crate) settings: &'a Settings,
    pub(crate) estimators: &'a Estimators,
}

/// The server order of each class. Orders differ between classes because a hardware model may suit
/// some classes better than others.
#[derive(Debug)]
pub(crate) struct ClassOrders {
    /// Server order of each class; empty until the first refresh.
    by_class: Vec<ServerOrder<ServerIndex>>,
    refreshed_at: Nanos,
    /// Whether the orders must be refreshed before their next use.
    is_stale: bool,
}

impl ClassOrders {
    /// Creates empty orders, which are refreshed before their first use.
    pub(crate) fn new() -> Self {
        ClassOrders { by_class: Vec::new(), refreshed_at: 0, is_stale: true }
    }

    /// Forces a refresh before the next use, after a change of a server's health or of the endpoint
    /// list.
    pub(crate) fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Returns the mean speed of the servers in the first class's order, or 1 if there are none.
    pub(crate) fn mean_speed(&self) -> f64 {
        self.by_class.first().and_then(ServerOrder::mean_speed).unwrap_or(1.0)
    }

    /// Draws the candidates for the next attempt of a request. Returns `None` if no server is
    /// eligible.
    pub(crate) fn draw(
        &mut self,
        context: SelectionContext<'_>,
        servers: &mut ServerTable,
        rng: &mut Rng,
        request: &Request,
        group: RetryGroup,
    ) -> Option<Candidates<ServerIndex>> {
        self.refresh(context, servers);
        let order = &self.by_class[request.class.index()];
        if request.attempts().is_empty() {
            let drawn = order.draw(|| rng.draw());
            if drawn.is_some_and(|drawn| context.are_eligible(servers, drawn, request)) {
                return drawn;
            }
        }
        let untried = untried_servers(servers, order.members(), request, group);
        context.fallback_order(servers, untried, request).draw(|| rng.draw())
    }

    /// Rebuilds the server orders if they are stale or older than [`MAX_ORDER_AGE`].
    fn refresh(&mut self, context: SelectionContext<'_>, servers: &mut ServerTable) {
        let now = context.now;
        if !self.is_stale && now.saturating_sub(self.refreshed_at) < MAX_ORDER_AGE {
            return;
        }
        let size = subset_size(context, servers);
        let chosen = healthy_servers(servers, size, now);
        let classes = context.settings.class_ids();
        self.by_class = classes.map(|class| context.class_order(servers, class, &chosen)).collect();
        self.refreshed_at = now;
        self.is_stale = false;
    }
}

/// Returns the first healthy servers in service, at most `max` of them.
fn healthy_servers(servers: &mut ServerTable, max: usize, now: Nanos) -> Vec<ServerIndex> {
    let total_size = servers.capacity().size();
    let filter = HealthFilter::new(total_size, servers.unhealthy(now), now);
    let in_service = servers.in_service().iter();
    in_service.filter(|index| filter.allows(&servers[*index])).take(max).collect()
}

/// Returns how many servers this instance uses. If all instances used all servers, each server
/// would hold too many connections.
fn subset_size(context: SelectionContext<'_>, servers: &ServerTable) -> usize {
    let SelectionContext { now, settings, estimators } = context;
    let arrivals = estimators.traffic.arrivals_per_second(now);
    let uses = arrivals * as_float(settings.idle_timeout) / as_float(SECOND);
    let in_service = servers.in_service().len().max(1);
    let connections = f64::from(settings.instances) / in_service as f64;
    let cost = settings.prices.connection * connections / CONNECTIONS_PER_PRICE;
    let affordable = truncated_count(MAX_SUBSET_COST / cost);
    let min = affordable.clamp(MIN_COSTLY_SUBSET_SERVERS, MIN_SUBSET_SERVERS);
    truncated_count(uses / MIN_CONNECTION_USES).max(min)
}

/// Rounds a number of servers down. Returns 0 for negative numbers and NaN.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, as documented"
)]
fn truncated_count(servers: f64) -> usize {
    servers as usize
}

/// Returns servers of the retry group: those in the order of the request's class that it has not
/// been sent to, else others that it has not been sent to, else any.
fn untried_servers(
    servers: &ServerTable,
    order: &[ServerIndex],
    request: &Request,
    group: RetryGroup,
) -> Vec<ServerIndex> {
    let is_untried = |index: &ServerIndex| {
        let id = servers[*index].listed.id;
        request.attempts().iter().all(|attempt| attempt.server != id)
    };
    let is_in_group = |index: &ServerIndex| group.contains(&servers[*index].listed);
    let in_order = order.iter().copied().filter(is_in_group).filter(is_untried);
    let in_order: Vec<ServerIndex> = in_order.collect();
    if !in_order.is_empty() {
        return in_order;
    }
    let Some(group) = group.servers(servers) else { return Vec::new() };
    let untried: Vec<ServerIndex> =
        group.iter().filter(is_untried).take(MAX_FALLBACK_SERVERS).collect();
    if !untried.is_empty() {
        return untried;
    }
    group.iter().take(MAX_FALLBACK_SERVERS).collect()
}

impl SelectionContext<'_> {
    /// Returns the order of a class: the chosen servers that are not ejected for it. If most are
    /// ejected, the requests of the class are expensive rather than the servers slow, and all
    /// chosen servers are used.
    fn class_order(
        &self,
        servers: &ServerTable,
        class: ClassId,
        chosen: &[ServerIndex],
    ) -> ServerOrder<ServerIndex> {
        let is_ejected =
            |index: &&ServerIndex| servers[**index].health.is_ejected_for_class(class, self.now);
        let ignores_ejections = 2 * chosen.iter().filter(is_ejected).count() > chosen.len();
        let members = chosen.iter().filter(|index| ignores_ejections || !is_ejected(index));
        self.order(servers, class, members.copied())
    }

    /// Returns the order of the given servers that are eligible for a request. Slow hardware would
    /// finish long work late, so servers with too high an expected latency are left out; if all
    /// have, those with the lowest expected latency are eligible.
    fn fallback_order(
        &self,
        servers: &mut ServerTable,
        mut members: Vec<ServerIndex>,
        request: &Request,
    ) -> ServerOrder<ServerIndex> {
        members.retain(|index| self.estimators.may_send(self.now, servers, *index));
        let latency = |index: &ServerIndex| self.expected_latency(servers, *index, request);
        let least = members.iter().filter_map(latency).fold(f64::INFINITY, f64::min);
        let max = least.max(self.max_latency(request)) * LATENCY_TOLERANCE;
        members.retain(|index| latency(index).is_none_or(|latency| latency <= max));
        self.order(servers, request.class, members.into_iter())
    }

    /// Returns the order of the given servers by their speeds for a class.
    fn order(
        &self,
        servers: &ServerTable,
        class: ClassId,
        members: impl Iterator<Item = ServerIndex>,
    ) -> ServerOrder<ServerIndex> {
        let speed = |index| self.estimators.speed_for(self.now, class, &servers[index]);
        ServerOrder::new(members.map(|index| (index, speed(index))))
    }

    /// Returns whether all drawn candidates are eligible for a request.
    fn are_eligible(
        &self,
        servers: &mut ServerTable,
        drawn: Candidates<ServerIndex>,
        request: &Request,
    ) -> bool {
        let max_latency = self.max_latency(request);
        let mut is_eligible = |index| {
            self.estimators.may_send(self.now, servers, index)
                && self
                    .expected_latency(servers, index, request)
                    .is_none_or(|latency| latency <= max_latency)
        };
        match drawn {
            Candidates::One(index) => is_eligible(index),
            Candidates::AdjacentPair(pair) => pair.servers.into_iter().all(is_eligible),
        }
    }

    /// Returns the highest expected latency, in nanoseconds, at which a server is eligible for a
    /// request.
    fn max_latency(&self, request: &Request) -> f64 {
        let class = self.settings.class(request.class);
        as_float(class.latency_objective) * ELIGIBLE_OBJECTIVE_FRACTION
    }

    /// Returns the expected latency of a request at a server, in nanoseconds, or `None` if it is
    /// unknown.
    fn expected_latency(
        &self,
        servers: &ServerTable,
        index: ServerIndex,
        request: &Request,
    ) -> Option<f64> {
        self.estimators.expected_latency(self.now, &servers[index], request)
    }
}
