//! The settings of the decision module for a cluster.

use super::servers::Zones;
use crate::model::Cluster;
use mintshelf_balancer::api::{Class, Objective, Prices, Settings, SizeKind};
use mintshelf_time::{from_duration, Nanos, MILLISECOND, SECOND};

/// Resolution of the decision module's timers.
pub(super) const TICK: Nanos = 5 * MILLISECOND;
/// Time after the deadline within which a final response still counts.
const LATE_RESPONSE_GRACE: Nanos = 4 * TICK;
/// Time after the notification that a server drains during which the server may still get requests.
const DRAIN_GRACE: Nanos = 250 * MILLISECOND;
/// Multiple of its current capacity at which a server that is warming up counts as overloaded.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Time for which the load of a server must stay at [`OVERLOAD_MULTIPLE`] before the server counts
/// as overloaded.
const OVERLOAD_DURATION: Nanos = 2 * SECOND;
/// Cost of sending a request to another zone, in points per request, if the cluster's zone is set.
const CROSS_ZONE_PRICE: f64 = 0.02;
/// Weights of the terms of the decision module's objective.
const OBJECTIVE: Objective =
    Objective { overall: 0.5, worst_window: 0.3, worst_class: 0.2, worst_tenant: 0.0 };

/// Returns the decision module's settings for a cluster with these classes.
pub(super) fn module_settings(cluster: &Cluster, zones: &Zones, classes: Vec<Class>) -> Settings {
    let max_attempts = classes.iter().map(|class| class.max_attempts).max().unwrap_or(1);
    Settings {
        instances: 1,
        zone: zones.index(&cluster.zone),
        zones: zones.count(),
        hardware_models: 1,
        classes,
        size_kind: SizeKind::Nominal,
        tick: TICK,
        late_response_grace: LATE_RESPONSE_GRACE,
        drain_grace: DRAIN_GRACE,
        initial_capacity: cluster.warm_up_start,
        warm_up: from_duration(cluster.warm_up),
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_DURATION,
        can_cancel: true,
        clients_honor_retry_after: true,
        max_retry_after: from_duration(cluster.max_retry_after),
        max_attempts,
        allows_parallel_attempts: cluster.allows_parallel_attempts,
        retry_ratio: cluster.retry_budget.ratio,
        retry_budget_max: f64::from(cluster.retry_budget.burst),
        detects_unresponsive_servers: true,
        connect_timeout: from_duration(cluster.connect_timeout),
        idle_timeout: from_duration(cluster.idle_timeout),
        objective: OBJECTIVE,
        prices: prices(cluster),
        ..Settings::default()
    }
}

fn prices(cluster: &Cluster) -> Prices {
    let cross_zone = if cluster.zone.is_empty() { 0.0 } else { CROSS_ZONE_PRICE };
    Prices { cross_zone, ..Prices::default() }
}
