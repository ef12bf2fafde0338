//! Settings of an instance: its deployment, what the deployment permits, and its objective.

use super::class::Class;
use super::ids::ClassId;
use mintshelf_time::Nanos;

/// Quota of a tenant and its share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Rate of requests, over all instances, that is within the tenant's quota.
    pub quota_per_second: f64,
    /// Tenant's share of the service.
    pub share: f64,
}

/// Meaning of the server sizes in endpoint lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SizeKind {
    /// Sizes are always 1.
    #[default]
    Uniform,
    /// The listed size of a server is the one that it was registered with.
    Nominal,
    /// Sizes are approximations of the real sizes of the servers.
    Approximate,
    /// The listed size of a server is reduced by its load, which was measured some time ago.
    LoadAdjusted,
}

/// Messages that carry load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportMode {
    /// No message carries load reports.
    #[default]
    Never,
    /// Responses and probe results carry load reports.
    WithResponses,
    /// Probe results carry load reports, but responses do not.
    WithProbes,
}

/// A field of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Number of requests that the server is processing.
    InFlight,
    /// Number of requests waiting in the server's queue.
    Queue,
    /// Fraction of the server's CPU in use.
    Utilization,
    /// Recent service time of the server in milliseconds.
    LatencyMs,
    /// Number of requests that the server serves per second.
    ServedPerSecond,
    /// Number of errors that the server returns per second.
    ErrorsPerSecond,
    /// Value that the balancer does not use.
    Other,
}

/// The deployment of an instance, what it permits, and its objective.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// This instance's number, from 0.
    pub self_index: u32,
    /// Number of instances of the sidecar.
    pub instances: u32,
    /// Number of the zone that this instance is in.
    pub zone: u32,
    /// Number of zones in the deployment.
    pub zones: u32,
    /// Number of hardware models.
    pub hardware_models: u32,
    /// Request classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); empty if the deployment has none.
    pub tenants: Vec<Tenant>,
    /// Fraction of its weight with which traffic beyond a tenant's quota counts.
    pub over_quota_weight: f64,
    /// Whether priority weights apply per unit of work instead of per request.
    pub is_weighted_by_work: bool,
    /// Whether the instance must poll discovery (by a watch or by fetching) because discovery
    /// does not push updates.
    pub must_poll: bool,
    /// Maximum interval between polls of an instance without a watch.
    pub poll_within: Nanos,
    /// Meaning of the server sizes in endpoint lists.
    pub size_kind: SizeKind,
    /// Messages that carry load reports.
    pub report_mode: ReportMode,
    /// The fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// Minimum interval between two batches of events.
    pub tick: Nanos,
    /// Time after the deadline within which a final response still counts.
    pub late_response_grace: Nanos,
    /// Time after the announcement of a server's drain within which requests may still be sent to
    /// the server.
    pub drain_grace: Nanos,
    /// Minimum fraction of its capacity with which a server starts.
    pub initial_capacity: f64,
    /// Maximum time from the start of a server to its full capacity.
    pub warm_up: Nanos,
    /// Load, as a multiple of its current capacity, that overloads a server that is warming up.
    pub overload_multiple: f64,
    /// Time for which the load must last to overload the server.
    pub overload_duration: Nanos,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether probes are allowed.
    pub can_probe: bool,
    /// Whether messages to peers are allowed.
    pub has_peers: bool,
    /// Whether clients honor `Retry-After`.
    pub clients_honor_retry_after: bool,
    /// The longest `Retry-After` that clients honor.
    pub max_retry_after: Nanos,
    /// Whether a request may have two attempts in flight at once.
    pub allows_parallel_attempts: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Credits that each request adds to the retry budget, which retries and hedges draw on.
    pub retry_ratio: f64,
    /// Maximum balance of the retry budget, in credits.
    pub retry_budget_max: f64,
    /// Whether a server that does not respond while others do counts as unresponsive, so that
    /// its overdue attempts are not taken as a sign of congestion.
    pub detects_unresponsive_servers: bool,
    /// Time after which a connection attempt fails.
    pub connect_timeout: Nanos,
    /// Time after which idle connections close.
    pub idle_timeout: Nanos,
    /// Weights of the deployment's objective.
    pub objective: Objective,
    /// Prices of the side effects of traffic.
    pub prices: Prices,
}

impl Settings {
    /// Returns the settings of a class, which must be one of [`Self::class_ids`].
    pub(crate) fn class(&self, id: ClassId) -> &Class {
        &self.classes[id.index()]
    }

    /// Returns whether the class exists.
    pub(crate) fn has_class(&self, id: ClassId) -> bool {
        id.index() < self.classes.len()
    }

    /// Returns the ids of all classes.
    pub(crate) fn class_ids(&self) -> impl Iterator<Item = ClassId> {
        (0..self.classes.len()).map(ClassId::from_index)
    }

    /// Returns the value of a field in a load report, if present.
    #[must_use]
    pub fn report_value(&self, report: &[f64], field: ReportField) -> Option<f64> {
        let position = self.report_fields.iter().position(|other| *other == field);
        report.get(position?).copied()
    }

    /// Returns the number of requests at a server, in service and waiting, according to its load
    /// report; `None` if the report states neither.
    #[must_use]
    pub fn reported_queue(&self, report: &[f64]) -> Option<f64> {
        let in_flight = self.report_value(report, ReportField::InFlight);
        let waiting = self.report_value(report, ReportField::Queue);
        Some(in_flight.or(waiting)? + waiting.unwrap_or(0.0))
    }
}

/// Weights of the components of a deployment's objective.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Objective {
    /// Service level over the complete run.
    pub overall: f64,
    /// Service level in the worst time window.
    pub worst_window: f64,
    /// Service level of the worst class.
    pub worst_class: f64,
    /// Service level of the worst tenant.
    pub worst_tenant: f64,
}

/// Prices of the side effects of traffic, each as the fraction of the total weight that one unit
/// per first attempt costs.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prices {
    /// Attempts sent to another zone.
    pub cross_zone: f64,
    /// Server work that produced no response.
    pub waste: f64,
    /// Connections that are newly established.
    pub handshake: f64,
    /// Connections that are open.
    pub connection: f64,
    /// Probes sent to servers.
    pub probe: f64,
    /// Gossip messages sent to peers.
    pub peer: f64,
    /// Failures reported after the latency objective.
    pub late_failure: f64,
}
