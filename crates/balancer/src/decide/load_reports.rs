//! Load reports: when servers are probed for them, and the queue lengths and waits that follow.

use super::estimators::Estimators;
use super::server_report::ReportFreshness;
use crate::api::{ClassId, ReportField, RequestId, Settings};
use crate::server_order::AdjacentPair;
use crate::state::{ServerIndex, ServerState, ServerTable};
use mintshelf_time::{as_float, Nanos};

/// Assumed number of requests that a server serves concurrently.
const PRESUMED_CONCURRENCY: f64 = 6.0;
/// Maximum number of ticks ([`Settings::tick`]) that a request waits for the load reports of its
/// pair of servers.
const REPORT_WAIT_TICKS: Nanos = 4;
/// Maximum price of a probe (weight per request) at which servers are probed for reports.
const MAX_PROBE_PRICE: f64 = 0.004;
/// Reported errors that eject a server, as a share of its baseline traffic from all instances.
const EJECTION_ERROR_SHARE: f64 = 0.15;
/// Rate of reported errors, per second, up to which a server is not ejected.
const MIN_ERRORS_PER_SECOND: f64 = 1.0;
/// Part of a latency objective that is reserved for service, as a multiple of the typical latency
/// of the class. The rest is slack for the wait.
const RESERVED_LATENCY_MULTIPLE: f64 = 1.5;
/// Minimum slack, as a fraction of the latency objective.
const MIN_SLACK_OBJECTIVE_FRACTION: f64 = 0.3;
/// Maximum wait at a server, as a fraction of the least slack of all classes.
const MAX_WAIT_SLACK_FRACTION: f64 = 0.7;

/// Whether load reports are useful, and which requests wait for one.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    freshness: ReportFreshness,
    /// Ids of the requests that wait for the load reports of their pairs of servers.
    waiters: Vec<RequestId>,
}

impl LoadReports {
    /// Returns whether a pair is probed before each send: probes are permitted and cheap, and
    /// reports follow the load.
    pub(crate) fn probes_before_send(&self, settings: &Settings) -> bool {
        settings.can_probe
            && settings.report_fields.contains(&ReportField::InFlight)
            && settings.prices.probe <= MAX_PROBE_PRICE
            && self.freshness.follows_load()
    }

    /// Adds a request that waits for the next report.
    pub(crate) fn add_waiter(&mut self, id: &RequestId) {
        self.waiters.push(id.clone());
    }

    /// Removes and returns all requests that wait for a report.
    pub(crate) fn take_waiters(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiters)
    }

    /// Records a load report of a server. Returns whether the report states enough errors to eject
    /// the server. A report without a queue length is ignored.
    pub(crate) fn record(
        &mut self,
        now: Nanos,
        settings: &Settings,
        estimators: &Estimators,
        servers: &mut ServerTable,
        index: ServerIndex,
        values: &[f64],
    ) -> bool {
        let Some(queue) = settings.reported_queue(values) else { return false };
        let per_capacity = estimators.served_per_capacity(now, servers);
        let server = &mut servers[index];
        self.freshness.count(now, &server.report, values, queue);
        server.report.record(now, values, queue);
        let baseline = per_capacity * server.listed.size * f64::from(settings.instances);
        let errors = settings.report_value(values, ReportField::ErrorsPerSecond);
        errors.is_some_and(|errors| {
            errors > MIN_ERRORS_PER_SECOND && errors > EJECTION_ERROR_SHARE * baseline
        })
    }
}

/// Returns how long a request waits for the reports of its pair. `remaining` is the time until its
/// deadline.
pub(crate) fn report_wait(settings: &Settings, remaining: Nanos) -> Nanos {
    (REPORT_WAIT_TICKS * settings.tick).min(remaining)
}

/// Returns whether both servers of a pair have fresh reports.
pub(crate) fn have_fresh_reports(
    servers: &ServerTable,
    pair: &AdjacentPair<ServerIndex>,
    now: Nanos,
) -> bool {
    pair.servers.iter().all(|index| servers[*index].report.is_fresh(now))
}

/// Returns the queue lengths by which a pair is compared. If both reports are fresh, these are the
/// reported queues plus the requests sent since; otherwise the attempts that this instance has in
/// flight.
pub(crate) fn queue_lengths(
    servers: &ServerTable,
    pair: &AdjacentPair<ServerIndex>,
    now: Nanos,
) -> [f64; 2] {
    let have_reports = have_fresh_reports(servers, pair, now);
    pair.servers.map(|index| {
        let server = &servers[index];
        if have_reports {
            server.report.queue()
        } else {
            f64::from(server.in_flight)
        }
    })
}

/// Returns the expected wait at a server in nanoseconds, calculated from its reported queue, or 0
/// without a fresh report. `mean_speed` is the mean speed of the servers in use.
pub(crate) fn expected_wait(
    estimators: &Estimators,
    server: &ServerState,
    mean_speed: f64,
    now: Nanos,
) -> f64 {
    let wait_per_queued =
        estimators.latency.mean_typical_latency() * mean_speed / PRESUMED_CONCURRENCY;
    let relative_queue = if server.report.is_fresh(now) {
        server.report.queue() / estimators.speed(now, server)
    } else {
        0.0
    };
    wait_per_queued * relative_queue
}

/// Returns the longest acceptable wait at a server in nanoseconds. All classes have the same limit;
/// otherwise requests with long objectives would crowd out those with short ones.
pub(crate) fn max_wait(settings: &Settings, estimators: &Estimators) -> f64 {
    let slack = |class: ClassId| {
        let objective = as_float(settings.class(class).latency_objective);
        let reserved = RESERVED_LATENCY_MULTIPLE * estimators.latency.typical_latency(class);
        (objective - reserved).max(MIN_SLACK_OBJECTIVE_FRACTION * objective)
    };
    settings.class_ids().map(slack).fold(f64::INFINITY, f64::min) * MAX_WAIT_SLACK_FRACTION
}
