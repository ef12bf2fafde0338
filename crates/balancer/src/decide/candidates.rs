//! Which servers are in each class's order, and which of them a request may choose from.

use super::retry_group::RetryGroup;
use super::Balancer;
use crate::server_order::{Candidates, ServerOrder};
use crate::state::Request;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// The orders are refreshed at least this often, since speeds drift.
const ORDER_MAX_AGE: Nanos = 200 * MILLISECOND;
/// Up to this number of servers every instance uses all of them.
const SUBSET_MIN: usize = 6;
/// The same where a further server costs [`SUBSET_COST`] in connections or more.
const SUBSET_MIN_PRICED: usize = 3;
/// Cost of connections up to which a further server is justified.
const SUBSET_COST: f64 = 0.02;
/// Uses of a connection within its idle timeout that justify keeping it open.
const SUBSET_USES: f64 = 12.0;
/// A server is eligible for known work that it does within this part of the objective.
const ELIGIBLE_SHARE: f64 = 0.8;
/// Servers that are looked at beyond the order of a class, in a group or in all.
const FALLBACK_MAX: usize = 256;
/// Overdue attempts are ignored if servers without any have less than this share of the size.
const OVERDUE_PANIC_SHARE: f64 = 0.5;
/// Ejections are ignored if servers that are not ejected have less than this share of the size.
const EJECTED_PANIC_SHARE: f64 = 0.3;

impl Balancer {
    fn refresh_orders(&mut self) {
        let age = self.now.saturating_sub(self.orders.refreshed_at);
        if !self.orders.is_stale && age < ORDER_MAX_AGE {
            return;
        }
        let size = self.subset_size();
        let chosen = self.healthy_servers(size);
        let classes = 0..self.settings.classes.len();
        self.orders.by_class = classes.map(|class| self.class_order(class, &chosen)).collect();
        self.orders.refreshed_at = self.now;
        self.orders.is_stale = false;
    }

    /// The first servers in service that are neither ejected nor have overdue attempts. If that
    /// leaves too few, the fault is elsewhere: servers with overdue attempts return first, then
    /// the ejected ones (panic thresholds).
    fn healthy_servers(&mut self, max: usize) -> Vec<usize> {
        let now = self.now;
        let mut unhealthy_size = 0.0;
        let mut ejected_size = 0.0;
        for server in self.servers.unhealthy(now) {
            unhealthy_size += server.listed.size;
            ejected_size += f64::from(u8::from(server.is_ejected(now))) * server.listed.size;
        }
        let total = self.servers.capacity().size();
        let ignores_overdue = total - unhealthy_size < OVERDUE_PANIC_SHARE * total;
        let ignores_ejected = total - ejected_size < EJECTED_PANIC_SHARE * total;
        let is_usable = |index: &usize| {
            let server = &self.servers[*index];
            ignores_ejected || server.is_healthy(now) || ignores_overdue && !server.is_ejected(now)
        };
        self.servers.in_service().iter().filter(is_usable).take(max).collect()
    }

    /// How many servers this instance uses: many instances would overload each with connections.
    fn subset_size(&self) -> usize {
        let idle_timeout = self.settings.idle_timeout as f64;
        let uses = self.arrivals_per_second() * idle_timeout / SECOND as f64;
        let in_service = self.servers.in_service().len().max(1);
        let connections = f64::from(self.settings.instances) / in_service as f64;
        let affordable = SUBSET_COST / (self.settings.prices.connection * connections / 100.0);
        let min = (affordable as usize).clamp(SUBSET_MIN_PRICED, SUBSET_MIN);
        ((uses / SUBSET_USES) as usize).max(min)
    }

    /// The order for a class: the chosen servers that are not ejected for it, or all of them
    /// if most are, since then it is the requests that are heavy.
    fn class_order(&self, class: usize, chosen: &[usize]) -> ServerOrder {
        let is_ejected = |index: &&usize| self.servers[**index].is_ejected_for(class, self.now);
        let ignores_ejected = 2 * chosen.iter().filter(is_ejected).count() > chosen.len();
        let members = chosen.iter().filter(|index| ignores_ejected || !is_ejected(index));
        ServerOrder::new(members.map(|index| (*index, self.speed_for(class, *index))))
    }

    /// Draws the candidates for a request's next attempt; `None` if no server is eligible.
    pub(super) fn draw_candidates(
        &mut self,
        request: &Request,
        group: RetryGroup,
    ) -> Option<Candidates> {
        self.refresh_orders();
        let objective = self.settings.classes[request.class].latency_objective as f64;
        let max_latency = objective * ELIGIBLE_SHARE;
        if request.attempts.is_empty() {
            let drawn = self.orders.by_class[request.class].draw(|| self.rng.draw());
            if drawn.is_some_and(|drawn| self.are_eligible(drawn, request, max_latency)) {
                return drawn;
            }
        }
        let mut servers = self.untried_servers(request, group);
        servers.retain(|index| self.may_send(*index));
        // Long work is late on slow kinds: those count that take least, if all take long.
        let expected = servers.iter().map(|index| self.expected_latency(*index, request));
        let max_latency = expected.fold(f64::INFINITY, f64::min).max(max_latency);
        servers.retain(|index| self.expected_latency(*index, request) <= max_latency * 1.01);
        let speed = |index: &usize| (*index, self.speed_for(request.class, *index));
        let order = ServerOrder::new(servers.iter().map(speed));
        order.draw(|| self.rng.draw())
    }

    fn are_eligible(&mut self, drawn: Candidates, request: &Request, max_latency: f64) -> bool {
        let mut is_eligible =
            |index| self.may_send(index) && self.expected_latency(index, request) <= max_latency;
        match drawn {
            Candidates::One(index) => is_eligible(index),
            Candidates::AdjacentPair(pair) => pair.servers.into_iter().all(is_eligible),
        }
    }

    /// Servers of the request's group: those of its order not yet tried, else others not yet
    /// tried, else any.
    fn untried_servers(&self, request: &Request, group: RetryGroup) -> Vec<usize> {
        let is_untried = |index: &usize| {
            let id = self.servers[*index].listed.id;
            request.attempts.iter().all(|attempt| attempt.server != id)
        };
        let is_in_group = |index: &usize| group.contains(&self.servers[*index].listed);
        let order = self.orders.by_class[request.class].members();
        let in_order = order.iter().copied().filter(is_in_group).filter(is_untried);
        let servers: Vec<usize> = in_order.collect();
        if !servers.is_empty() {
            return servers;
        }
        let Some(group) = group.servers(&self.servers) else { return servers };
        let untried: Vec<usize> = group.iter().filter(is_untried).take(FALLBACK_MAX).collect();
        if !untried.is_empty() {
            return untried;
        }
        group.iter().take(FALLBACK_MAX).collect()
    }
}
