//! Failures, ejection, and what load reports say of queues.

use super::*;

/// Requests presumed to be served side by side.
const SIDE_BY_SIDE: f64 = 6.0;
/// Failures in a row (weighted) that eject a server.
const EJECT_AFTER: f64 = 3.0;
/// Failures are forgotten by half in this time.
pub(super) const FAIL_HALF_LIFE: Nanos = 8 * SECOND;
/// First and longest ejection.
pub(super) const EJECT_BASE: Nanos = 2 * SECOND;
const EJECT_MAX: Nanos = 16 * SECOND;
/// A report stands in for a queue this long; older ones are asked for again.
const REPORT_FRESH: Nanos = 6 * MS;
/// How many ticks a request waits for the reports of its pair.
pub(super) const REPORT_TICKS: Nanos = 4;
/// Price of a probe (points per request) up to which reports are asked for.
const PROBE_PRICE_MAX: f64 = 0.004;
/// Reports that may repeat old figures before they count as stale.
const REPORT_TRIALS: u32 = 3;
/// Share of a server's usual traffic in reported errors that ejects it.
const ERROR_SHARE: f64 = 0.15;

impl Balancer {
    pub(super) fn record_failure(&mut self, now: Nanos, s: usize, weight: f64) {
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

    pub(super) fn record_success(&mut self, s: usize) {
        let server = &mut self.servers[s];
        server.fails.sum *= 0.6;
        server.ejections *= u32::from(server.fails.sum >= 0.5);
    }

    /// Queues that stand for a pair: fresh reports if there are two, with what
    /// was sent since, else this instance's own requests in flight.
    pub(super) fn queues(&self, now: Nanos, pair: &AdjacentPair) -> [f64; 2] {
        let reported = pair.servers.iter().all(|s| self.has_report(now, *s));
        pair.servers.map(|s| {
            let server = &self.servers[s];
            [f64::from(server.in_flight), server.report_queue][usize::from(reported)]
        })
    }

    /// Wait per reported queue over speed.
    fn slope(&self) -> f64 {
        let speed = self.lines.first().and_then(ServerOrder::mean_speed).unwrap_or(1.0);
        let typical: f64 = (0..self.typical.len()).map(|c| self.typical_of(c)).sum();
        typical / self.typical.len() as f64 * speed / SIDE_BY_SIDE
    }

    /// Reported queue over speed; 0 without a fresh report.
    fn reported_queue(&self, now: Nanos, s: usize) -> f64 {
        let server = Some(&self.servers[s]).filter(|_| self.has_report(now, s));
        server.map_or(0.0, |server| server.report_queue / self.speed(server, now))
    }

    fn has_report(&self, now: Nanos, s: usize) -> bool {
        let at = self.servers[s].report_at;
        at > 0 && now.saturating_sub(at) <= REPORT_FRESH
    }

    /// Reports are worth asking for before a send: cheap, and shown to be fresh.
    pub(super) fn asks_first(&self) -> bool {
        self.set.can_probe
            && self.set.report_fields.contains(&ReportField::InFlight)
            && self.set.prices.probe <= PROBE_PRICE_MAX
            && self.reports[0] <= self.reports[1] + REPORT_TRIALS
    }

    pub(super) fn ask(&mut self, now: Nanos, s: usize, out: Out<'_>) {
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
        let (held, waiting) = (value(ReportField::InFlight), value(ReportField::Queue));
        let Some(queue) = held.or(waiting).map(|q| q + waiting.unwrap_or(0.0)) else { return };
        let usual = self.unit_rate(now) * self.servers[s].listed.size * self.set.instances as f64;
        let server = &mut self.servers[s];
        // Learn whether reports keep up: the same figures again are old ones. Danger:
        // asked again while they are fresh, the same ones say nothing.
        let gap = now.saturating_sub(server.report_at);
        let moved = server.report != report;
        if (REPORT_FRESH..SECOND).contains(&gap) && (moved || queue > 0.0) {
            self.reports[usize::from(moved)] += 1;
        }
        (server.report, server.report_queue, server.report_at) = (report.to_vec(), queue, now);
        if value(ReportField::ErrorsPerSecond).is_some_and(|e| e > 1.0 && e > ERROR_SHARE * usual) {
            self.record_failure(now, s, EJECT_AFTER);
        }
    }

    pub(super) fn on_probed(&mut self, now: Nanos, id: ServerId, probe: Health, out: Out<'_>) {
        let (ok, report) = probe;
        match (report, self.index.get(&id)) {
            (Some(report), _) if ok => self.on_report(now, id, &report),
            (_, Some(&s)) if !ok => self.record_failure(now, s, 0.5),
            _ => {}
        }
        for request in std::mem::take(&mut self.waiting) {
            self.settle(now, &request, false, out);
        }
    }

    /// Joins the better of a pair once both have reported, or time is up.
    pub(super) fn settle(&mut self, now: Nanos, id: &RequestId, force: bool, out: Out<'_>) {
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
        let fit = |b: &mut Self, s| b.may_send(now, s) && b.servers[s].ejected_until <= now;
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
}
