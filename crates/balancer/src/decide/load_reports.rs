//! Load reports: when to probe for them, and how a pair is chosen by them.

use super::retry_safety::SendPermission;
use super::{health, Balancer};
use crate::api::{Action, EndReason, ReportField, RequestId, ServerId};
use crate::server_order::{AdjacentPair, ServerOrder};
use crate::state::ProbeResult;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Requests presumed to be served concurrently by a server.
const PRESUMED_CONCURRENCY: f64 = 6.0;
/// Age up to which a report stands for a queue; older ones are probed for again.
const REPORT_FRESH: Nanos = 6 * MILLISECOND;
/// How many ticks a request waits for the reports of its pair.
pub(super) const REPORT_TICKS: Nanos = 4;
/// Price of a probe (weight per request) up to which reports are probed for.
const PROBE_PRICE_MAX: f64 = 0.004;
/// Reports that may repeat the last values before they count as stale.
const REPORT_MAX_REPEATED: u32 = 3;
/// Share of a server's baseline traffic in reported errors that ejects it.
const ERROR_SHARE: f64 = 0.15;

impl Balancer {
    /// Queues that stand for a pair: if both reports are fresh, the reported ones with the
    /// requests sent since, else this instance's own requests in flight.
    pub(super) fn queues(&self, pair: &AdjacentPair) -> [f64; 2] {
        let are_reported = self.has_reports(pair);
        pair.servers.map(|index| {
            let server = &self.servers[index];
            if are_reported {
                server.reported_queue
            } else {
                f64::from(server.in_flight)
            }
        })
    }

    /// Expected wait at a server by its reported queue; 0 without a fresh report.
    fn expected_wait(&self, index: usize) -> f64 {
        let speed = self.orders.by_class.first().and_then(ServerOrder::mean_speed).unwrap_or(1.0);
        let classes = self.latency.typical.len();
        let typical: f64 = (0..classes).map(|class| self.typical_latency(class)).sum();
        let per_queue = typical / classes as f64 * speed / PRESUMED_CONCURRENCY;
        let server = Some(&self.servers[index]).filter(|_| self.has_report(index));
        per_queue * server.map_or(0.0, |server| server.reported_queue / self.speed(server))
    }

    fn has_report(&self, index: usize) -> bool {
        let reported_at = self.servers[index].reported_at;
        reported_at > 0 && self.now.saturating_sub(reported_at) <= REPORT_FRESH
    }

    fn has_reports(&self, pair: &AdjacentPair) -> bool {
        pair.servers.iter().all(|index| self.has_report(*index))
    }

    /// Whether to probe a pair before a send: probes are cheap, and reports follow the load.
    pub(super) fn probes_before_send(&self) -> bool {
        let freshness = &self.report_freshness;
        self.settings.can_probe
            && self.settings.report_fields.contains(&ReportField::InFlight)
            && self.settings.prices.probe <= PROBE_PRICE_MAX
            && freshness.repeated <= freshness.changed + REPORT_MAX_REPEATED
    }

    pub(super) fn probe(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if server.is_live() && self.now.saturating_sub(server.probed_at) > REPORT_FRESH {
            server.probed_at = self.now;
            self.actions.push(Action::Probe { server: server.listed.id });
        }
    }

    fn on_report(&mut self, id: ServerId, report: &[f64]) {
        let Some(index) = self.servers.index_of(id) else { return };
        let Some(queue) = self.settings.reported_queue(report) else { return };
        let size = self.servers[index].listed.size;
        let baseline = self.served_per_capacity() * size * self.settings.instances as f64;
        self.note_freshness(index, report, queue);
        self.servers[index].record_report(self.now, report, queue);
        let errors = self.settings.report_value(report, ReportField::ErrorsPerSecond);
        if errors.is_some_and(|errors| errors > 1.0 && errors > ERROR_SHARE * baseline) {
            self.record_failure(index, health::EJECT_AFTER);
        }
    }

    /// Learns whether reports follow the load; values repeated at once may well be the same.
    fn note_freshness(&mut self, index: usize, report: &[f64], queue: f64) {
        let server = &self.servers[index];
        let age = self.now.saturating_sub(server.reported_at);
        if (REPORT_FRESH..SECOND).contains(&age) {
            self.report_freshness.count(server.report != report, queue);
        }
    }

    pub(crate) fn on_probed(&mut self, id: ServerId, result: ProbeResult) {
        match (result.report, self.servers.index_of(id)) {
            (Some(report), _) if result.is_ok => self.on_report(id, &report),
            (_, Some(index)) if !result.is_ok => self.record_failure(index, 0.5),
            _ => {}
        }
        for request in std::mem::take(&mut self.awaiting_reports) {
            self.choose_by_reports(&request, false);
        }
    }

    /// Chooses a server of a request's pair once both have reported, or the wait `is_over`.
    pub(crate) fn choose_by_reports(&mut self, id: &RequestId, is_over: bool) {
        let open = self.requests.get(id).filter(|request| !request.is_finished);
        let Some(pair) = open.and_then(|request| request.awaited_pair) else { return };
        if !is_over && !self.has_reports(&pair) {
            self.awaiting_reports.push(id.clone());
            return;
        }
        self.requests.entry(id.clone()).and_modify(|request| request.awaited_pair = None);
        let permitted = self.permitted_actions(self.now, &self.requests[id]);
        let chosen = self.join_eligible(&pair);
        // A request that would wait past its objective is rejected: served, it would be waste.
        let is_first = self.requests[id].attempts.is_empty();
        let max_wait = self.max_wait();
        let is_too_long = chosen.is_some_and(|index| self.expected_wait(index) > max_wait);
        match chosen {
            Some(_) if is_too_long && is_first => self.end(id, EndReason::LongQueue),
            Some(index) if permitted.send != SendPermission::Forbidden => self.send(id, index),
            _ => self.advance(id),
        }
    }

    /// The better server of a pair if it is eligible, else the other one if that is.
    fn join_eligible(&mut self, pair: &AdjacentPair) -> Option<usize> {
        let queues = self.queues(pair);
        let first = pair.join(|| self.rng.draw(), queues);
        let other = pair.servers[usize::from(pair.servers[0] == first)];
        [first, other]
            .into_iter()
            .find(|index| self.may_send(*index) && self.servers[*index].ejected_until <= self.now)
    }
}
