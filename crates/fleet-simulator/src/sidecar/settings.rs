//! Settings of the balancers of a scenario.

use super::connections::CONNECT_TIMEOUT;
use super::requests::MAX_ATTEMPTS;
use crate::scenario::{Scenario, TrafficClass, CLASSES, DEDUP_WINDOW};
use mintshelf_balancer::api::{Backoff, Class, DedupScope, Objective, Prices, Settings, SizeKind};
use mintshelf_time::{MILLISECOND, SECOND};

/// Prices of side effects at the simulated site.
const PRICES: Prices = Prices {
    cross_zone: 0.02,
    waste: 0.02,
    handshake: 0.08,
    connection: 0.0,
    probe: 0.0,
    peer: 0.0,
    late_failure: 0.03,
};
/// Weights of the objective of the simulated site.
const OBJECTIVE: Objective =
    Objective { overall: 0.5, worst_window: 0.3, worst_class: 0.2, worst_tenant: 0.0 };

fn class(traffic: &TrafficClass) -> Class {
    Class {
        effect: traffic.effect,
        dedup_scope: DedupScope::All,
        dedup_window: DEDUP_WINDOW,
        latency_objective: traffic.latency_objective,
        deadline: traffic.deadline,
        priority_weight: traffic.priority_weight,
        late_weight: 0.0,
        max_attempts: MAX_ATTEMPTS,
        backoff: Backoff::default(),
    }
}

/// The settings of one sidecar.
pub(super) fn settings(scenario: &Scenario, sidecar: usize) -> Settings {
    Settings {
        self_index: u32::try_from(sidecar).unwrap_or(u32::MAX),
        instances: u32::try_from(scenario.sidecars).unwrap_or(u32::MAX),
        zone: scenario.fleet.zone(sidecar),
        zones: scenario.fleet.zones.max(1),
        must_poll: scenario.fleet.discovery.is_some(),
        poll_within: 10 * SECOND,
        prices: if scenario.fleet.has_prices { PRICES } else { Prices::default() },
        hardware_models: 1,
        classes: CLASSES.iter().map(class).collect(),
        size_kind: SizeKind::Nominal,
        tick: 5 * MILLISECOND,
        late_response_grace: 20 * MILLISECOND,
        drain_grace: 250 * MILLISECOND,
        initial_capacity: scenario.initial_capacity,
        warm_up: scenario.warm_up,
        overload_multiple: 3.0,
        overload_duration: SECOND,
        can_cancel: true,
        clients_honor_retry_after: true,
        max_retry_after: scenario.max_retry_after,
        max_attempts: MAX_ATTEMPTS,
        retry_ratio: 0.2,
        retry_budget_max: 5.0,
        detects_unresponsive_servers: false,
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout: 15 * SECOND,
        objective: OBJECTIVE,
        ..Settings::default()
    }
}
