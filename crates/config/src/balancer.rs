//! A cluster of the operator's file in the form of the decision module.

use crate::model::{Class, Cluster, ConnectionLimits, OperatorConfig, Route, RouteAction};
use mintshelf_balancer::api::{
    Class as BalancerClassSettings, ClassId, Effect, Group, ListedServer, Objective, Prices,
    Settings, SizeKind,
};
use mintshelf_retry::policy::RetryPolicy;
use mintshelf_retry::schedule::{AttemptSchedule, AttemptTimeout, DedupGroup, RetryOn};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Shortest time between two turns of the decision module.
const TICK: Nanos = 5 * MILLISECOND;
/// How long requests may still go to a server after the news that it drains.
const DRAIN_GRACE: Nanos = 250 * MILLISECOND;
/// Multiple of its present capacity at which a server that warms up is overloaded.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// How long that multiple must last.
const OVERLOAD_AFTER: Nanos = 2 * SECOND;
/// Price of crossing zones, in points a request, where a cluster names a zone.
const CROSS_ZONE_PRICE: f64 = 0.02;
/// The part of a deduplication window that a client may be asked to wait.
const RETRY_AFTER_DIVISOR: u64 = 4;
/// All effects, by [`severity`].
const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Idempotent, Effect::Unsafe];

/// A class of the file as the decision module knows it: one class for each effect that its
/// requests can turn out to have.
#[derive(Debug, Clone, PartialEq)]
pub struct BalancerClass {
    /// The mildest effect that its requests may have.
    pub effect: Effect,
    /// The module's number of the class for each effect, by [`severity`].
    class_numbers: [Option<ClassId>; EFFECTS.len()],
    /// The time-out of a request.
    pub deadline: Nanos,
    /// The priority weight of its requests.
    pub priority_weight: f64,
}

impl BalancerClass {
    /// The module's number of the class for requests of this effect; none if they can't have it.
    pub fn class_number(&self, effect: Effect) -> Option<ClassId> {
        self.class_numbers[severity(effect)]
    }
}

/// What a cluster's instance of the decision module is started with.
#[derive(Debug, Clone, PartialEq)]
pub struct BalancerConfig {
    /// The module's settings.
    pub settings: Settings,
    /// The classes of the routes that lead to the cluster, by name.
    pub classes: BTreeMap<String, BalancerClass>,
    /// The cluster's servers, with their addresses.
    pub servers: Vec<(ListedServer, SocketAddr)>,
    /// Upper bounds of the connections.
    pub connections: ConnectionLimits,
    /// Upper bounds of the WebSocket connections.
    pub sockets: ConnectionLimits,
    /// The load of an open WebSocket, where that of a request is 1.
    pub socket_weight: f64,
    /// The time over which WebSocket connections leave an endpoint that has gone.
    pub socket_spread: Nanos,
    /// The time over which traffic returns after an outage of the whole cluster.
    pub recovery_ramp: Nanos,
    /// The retry policy of each class in the settings, in their order.
    pub retry_policies: Vec<RetryPolicy>,
}

impl BalancerConfig {
    /// Whether only the servers differ, which a running instance takes like any endpoint list.
    pub fn differs_in_servers_only(&self, other: &BalancerConfig) -> bool {
        *other == BalancerConfig { servers: other.servers.clone(), ..self.clone() }
    }
}

/// The place of an effect in the order of severity, the mildest first, from 0.
pub fn severity(effect: Effect) -> usize {
    match effect {
        Effect::Safe => 0,
        Effect::Idempotent => 1,
        Effect::Unsafe => 2,
    }
}

/// A duration in nanoseconds; the longest that there is for one over 584 years.
pub fn to_nanos(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// A class's time-out where that is shorter than its cluster's, else the cluster's.
pub fn effective_timeout(class: Option<Duration>, cluster: Duration) -> Duration {
    class.map_or(cluster, |class| class.min(cluster))
}

/// The schedule of a class's requests of one effect at a cluster.
pub fn attempt_schedule(class: &Class, effect: Effect, cluster: &Cluster) -> AttemptSchedule {
    let attempts = &class.attempts;
    let dedup_group = attempts.dedup_group.unwrap_or(DedupGroup::Cluster);
    let (default_timeout, default_retry_on) = match effect {
        Effect::Safe => (AttemptTimeout::Adaptive, RetryOn::MayHaveRun),
        Effect::Idempotent => (AttemptTimeout::Deadline, RetryOn::MayHaveRun),
        Effect::Unsafe => (AttemptTimeout::Deadline, RetryOn::NeverRan),
    };
    let connect_timeout = effective_timeout(attempts.connect_timeout, cluster.connect_timeout);
    let mut schedule = AttemptSchedule {
        effect,
        dedup_window: to_nanos(class.dedup_window),
        dedup_group,
        has_single_dedup_group: has_single_dedup_group(dedup_group, cluster),
        latency_objective: to_nanos(class.latency_objective),
        deadline: to_nanos(class.deadline),
        max_attempts: attempts.max_attempts.unwrap_or(cluster.max_attempts),
        connect_timeout: to_nanos(connect_timeout),
        attempt_timeout: attempts.attempt_timeout.unwrap_or(default_timeout),
        backoff: attempts.backoff.unwrap_or_default(),
        retry_on: attempts.retry_on.unwrap_or(default_retry_on),
        is_hedged: attempts.hedge_policy().is_some(),
        allows_parallel_attempts: cluster.allows_parallel_attempts,
        tick: TICK,
        max_retry_after: max_retry_after(class, effect, cluster),
        client_retries: attempts.client_retries.unwrap_or(0),
    };
    if attempts.max_attempts.is_none() {
        schedule.max_attempts = schedule.fitting_attempts();
    }
    schedule
}

fn has_single_dedup_group(dedup_group: DedupGroup, cluster: &Cluster) -> bool {
    let zones: BTreeSet<&str> =
        cluster.endpoints.iter().map(|endpoint| endpoint.zone.as_str()).collect();
    dedup_group == DedupGroup::Cluster || zones.len() < 2
}

/// The longest `Retry-After`. That of an idempotent request is also bounded by a part of its
/// deduplication window.
fn max_retry_after(class: &Class, effect: Effect, cluster: &Cluster) -> Nanos {
    let max_retry_after = to_nanos(cluster.max_retry_after);
    match effect {
        Effect::Idempotent => {
            max_retry_after.min(to_nanos(class.dedup_window) / RETRY_AFTER_DIVISOR)
        }
        Effect::Safe | Effect::Unsafe => max_retry_after,
    }
}

/// The effect under which the module decides on retries: what may not be sent again after it may
/// have run is unsafe to it.
fn module_effect(schedule: &AttemptSchedule) -> Effect {
    match schedule.retry_on {
        RetryOn::NeverRan => Effect::Unsafe,
        RetryOn::MayHaveRun => schedule.effect,
    }
}

/// The settings of the decision module for one cluster, which is named `name` in the file.
pub fn balancer_config(config: &OperatorConfig, name: &str, cluster: &Cluster) -> BalancerConfig {
    let classes = cluster_classes(config, name, cluster);
    let zones = Zones::of(cluster);
    BalancerConfig {
        settings: module_settings(cluster, &zones, classes.settings),
        classes: classes.by_name,
        servers: listed_servers(cluster, &zones),
        connections: cluster.connections,
        sockets: cluster.sockets,
        socket_weight: cluster.socket_weight,
        socket_spread: to_nanos(cluster.socket_spread),
        recovery_ramp: to_nanos(cluster.recovery_ramp),
        retry_policies: classes.retry_policies,
    }
}

/// The classes of one cluster.
#[derive(Default)]
struct ClusterClasses {
    by_name: BTreeMap<String, BalancerClass>,
    /// By the module's numbers.
    settings: Vec<BalancerClassSettings>,
    /// By the module's numbers.
    retry_policies: Vec<RetryPolicy>,
}

fn cluster_classes(
    config: &OperatorConfig,
    cluster_name: &str,
    cluster: &Cluster,
) -> ClusterClasses {
    let mut classes = ClusterClasses::default();
    for (name, class) in &config.classes {
        let routes: Vec<&Route> = config
            .routes
            .iter()
            .filter(|route| route.policy == *name && leads_to(route, cluster_name))
            .collect();
        if !routes.is_empty() {
            classes.add(name, class, &routes, cluster);
        }
    }
    classes
}

fn leads_to(route: &Route, cluster_name: &str) -> bool {
    match &route.action {
        RouteAction::Forward(forward) => forward.split.clusters().any(|name| name == cluster_name),
        RouteAction::Redirect(_) | RouteAction::Respond(_) => false,
    }
}

impl ClusterClasses {
    /// Adds a class for each effect that its requests can turn out to have: its own, unsafe by
    /// the method or for want of an idempotency key, and those that routes state.
    fn add(&mut self, name: &str, class: &Class, routes: &[&Route], cluster: &Cluster) {
        let is_possible = |effect: Effect| {
            effect == class.effect
                || effect == Effect::Unsafe
                || routes.iter().any(|route| route.effect == Some(effect))
        };
        let mut class_numbers = [None; EFFECTS.len()];
        for effect in EFFECTS.into_iter().filter(|effect| is_possible(*effect)) {
            class_numbers[severity(effect)] = Some(ClassId::from_index(self.settings.len()));
            let schedule = attempt_schedule(class, effect, cluster);
            self.retry_policies.push(retry_policy(class, effect, cluster, &schedule));
            self.settings.push(class_settings(class, &schedule));
        }
        let class = BalancerClass {
            effect: class.effect,
            class_numbers,
            deadline: to_nanos(class.deadline),
            priority_weight: class.priority_weight,
        };
        self.by_name.insert(name.to_string(), class);
    }
}

fn retry_policy(
    class: &Class,
    effect: Effect,
    cluster: &Cluster,
    schedule: &AttemptSchedule,
) -> RetryPolicy {
    // A request that turns out unsafe by its method is never hedged.
    let is_hedged = effect == Effect::Safe && cluster.allows_parallel_attempts;
    let idle_timeout = effective_timeout(class.attempts.idle_timeout, cluster.idle_timeout);
    RetryPolicy {
        effect: module_effect(schedule),
        attempt_timeout: schedule.attempt_timeout,
        timeout_bounds: schedule.adaptive_bounds(),
        max_attempts: schedule.max_attempts,
        hedge: class.attempts.hedge_policy().filter(|_| is_hedged),
        connect_timeout: schedule.connect_timeout,
        idle_timeout: to_nanos(idle_timeout),
    }
}

fn class_settings(class: &Class, schedule: &AttemptSchedule) -> BalancerClassSettings {
    BalancerClassSettings {
        effect: module_effect(schedule),
        group: match schedule.dedup_group {
            DedupGroup::Cluster => Group::All,
            DedupGroup::Zone => Group::Zone,
        },
        dedup_window: to_nanos(class.dedup_window),
        latency_objective: to_nanos(class.latency_objective),
        deadline: to_nanos(class.deadline),
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        max_attempts: schedule.max_attempts,
        backoff: schedule.backoff,
    }
}

/// The zones of a cluster, in the order of the module's numbers.
struct Zones<'config>(Vec<&'config str>);

impl<'config> Zones<'config> {
    fn of(cluster: &'config Cluster) -> Self {
        let endpoints = cluster.endpoints.iter().map(|endpoint| endpoint.zone.as_str());
        let zones: BTreeSet<&str> =
            std::iter::once(cluster.zone.as_str()).chain(endpoints).collect();
        Zones(zones.into_iter().collect())
    }

    fn number(&self, name: &str) -> u32 {
        self.0.iter().position(|zone| *zone == name).unwrap_or(0) as u32
    }

    fn count(&self) -> u32 {
        self.0.len() as u32
    }
}

/// The servers that have a weight.
fn listed_servers(cluster: &Cluster, zones: &Zones) -> Vec<(ListedServer, SocketAddr)> {
    let weighted = cluster.endpoints.iter().filter(|endpoint| endpoint.weight > 0);
    let servers = weighted.map(|endpoint| {
        // Another address under an old name is another server.
        let hash = xxh3_64(format!("{} {}", endpoint.name, endpoint.address).as_bytes());
        let server = ListedServer {
            id: (hash ^ (hash >> 32)) as u32,
            zone: zones.number(&endpoint.zone),
            size: f64::from(endpoint.weight),
            ..ListedServer::default()
        };
        (server, endpoint.address)
    });
    servers.collect()
}

fn module_settings(
    cluster: &Cluster,
    zones: &Zones,
    classes: Vec<BalancerClassSettings>,
) -> Settings {
    let max_attempts = classes.iter().map(|class| class.max_attempts).max().unwrap_or(1);
    Settings {
        instances: 1,
        zone: zones.number(&cluster.zone),
        zones: zones.count(),
        kinds: 1,
        classes,
        size_kind: SizeKind::Nominal,
        tick: TICK,
        answer_slack: 4 * TICK,
        drain_grace: DRAIN_GRACE,
        initial_capacity: cluster.warm_up_start,
        warm_up: to_nanos(cluster.warm_up),
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_AFTER,
        can_cancel: true,
        retry_after: true,
        max_retry_after: to_nanos(cluster.max_retry_after),
        max_attempts,
        allows_parallel_attempts: cluster.allows_parallel_attempts,
        retry_ratio: cluster.retry_budget.ratio,
        retry_budget_max: f64::from(cluster.retry_budget.burst),
        is_silence_local: true,
        connect_timeout: to_nanos(cluster.connect_timeout),
        idle_timeout: to_nanos(cluster.idle_timeout),
        objective: Objective {
            overall: 0.5,
            worst_window: 0.3,
            worst_class: 0.2,
            worst_tenant: 0.0,
        },
        prices: Prices {
            cross_zone: if cluster.zone.is_empty() { 0.0 } else { CROSS_ZONE_PRICE },
            ..Prices::default()
        },
        ..Settings::default()
    }
}
