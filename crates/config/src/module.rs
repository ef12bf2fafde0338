//! A cluster of the operator's file as the decision module takes it.

use crate::model::{Class, Cluster, File, Then};
use mintshelf_balancer::api::*;
use mintshelf_retry::attempts::RetryPolicy;
use mintshelf_retry::schedule::{AttemptTimeout, DedupGroup, Plan, RetryOn};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Shortest time between two turns that the module reckons with.
const TICK: Nanos = 5_000_000;
/// Multiple of its present capacity that pushes a cold server over, and for how long.
const FALL_MULTIPLE: f64 = 3.0;
const TIP_AFTER: Nanos = 2_000_000_000;
/// Price of crossing zones, in points a request, where a cluster names a zone.
const CROSS_ZONE: f64 = 0.02;

/// A class of the file in the module's numbers.
#[derive(Debug, Clone, PartialEq)]
pub struct ModuleClass {
    /// The mildest effect that its requests may have.
    pub effect: Effect,
    /// The module's number for each effect, by [`severity`].
    pub numbers: [Option<u32>; 3],
    /// How long a request may wait.
    pub deadline: Nanos,
    /// What an answer is worth.
    pub priority_weight: f64,
}

/// What a cluster's instance of the module is started with.
#[derive(Debug, Clone, PartialEq)]
pub struct Module {
    /// Its settings.
    pub settings: Settings,
    /// The classes of the routes that lead to the cluster, by name.
    pub classes: BTreeMap<String, ModuleClass>,
    /// Its servers, with their addresses.
    pub servers: Vec<(ListedServer, SocketAddr)>,
    /// Most connections to all endpoints, and to each.
    pub connections: [Option<u32>; 2],
    /// Most sockets to all endpoints, and to each.
    pub sockets: [Option<u32>; 2],
    /// What an open socket counts for beside a request.
    pub socket_weight: f64,
    /// In how long sockets leave an endpoint that has gone.
    pub socket_spread: Nanos,
    /// The ramp after an outage.
    pub return_ramp: Nanos,
    /// What the attempts of each of the settings' classes may do.
    pub tries: Vec<RetryPolicy>,
}

impl Module {
    /// Whether only the servers differ, which are news to a running instance like any list.
    pub fn differs_in_servers_only(&self, other: &Module) -> bool {
        *other == Module { servers: other.servers.clone(), ..self.clone() }
    }
}

/// A number for an effect, the mildest first.
pub fn severity(effect: Effect) -> usize {
    match effect {
        Effect::Safe => 0,
        Effect::Idempotent => 1,
        Effect::Unsafe => 2,
    }
}

/// In nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// The effects that a request of a class can turn out to have: its class's, or unsafe by
/// its method or for want of a key; and those that routes state.
fn effects(class: &Class, stated: &BTreeSet<usize>) -> Vec<Effect> {
    [Effect::Safe, Effect::Idempotent, Effect::Unsafe]
        .into_iter()
        .filter(|e| *e == class.effect || *e == Effect::Unsafe || stated.contains(&severity(*e)))
        .collect()
}

/// The part of a window that a client that is refused may be told to wait.
const ADVICE_PART: u64 = 4;

/// What a class states, where that is less than its cluster's.
pub fn least(own: Option<Duration>, cluster: Duration) -> Duration {
    own.map_or(cluster, |own| own.min(cluster))
}

/// The schedule of a class's requests of one effect at a cluster.
pub fn plan(class: &Class, effect: Effect, cluster: &Cluster) -> Plan {
    let (tries, window) = (&class.tries, nanos(class.window));
    let advice = nanos(cluster.max_retry_after);
    let zones: BTreeSet<&str> = cluster.endpoints.iter().map(|e| e.zone.as_str()).collect();
    let group = tries.group.unwrap_or(DedupGroup::Cluster);
    let (standard, follows) = match effect {
        Effect::Safe => (AttemptTimeout::Adaptive, RetryOn::MayHaveRun),
        Effect::Idempotent => (AttemptTimeout::Whole, RetryOn::MayHaveRun),
        Effect::Unsafe => (AttemptTimeout::Whole, RetryOn::NeverRan),
    };
    let mut plan = Plan {
        effect,
        window,
        group,
        one_group: group == DedupGroup::Cluster || zones.len() < 2,
        latency_objective: nanos(class.latency_objective),
        deadline: nanos(class.deadline),
        attempts: tries.attempts.unwrap_or(cluster.max_attempts),
        connect: nanos(least(tries.connect, cluster.connect_timeout)),
        per_try: tries.per_try.unwrap_or(standard),
        backoff: tries.backoff.unwrap_or_default().map(nanos),
        retry_on: tries.retry_on.unwrap_or(follows),
        hedged: tries.hedge.flatten().is_some(),
        two_out: cluster.second_copies,
        tick: TICK,
        advice: if effect == Effect::Idempotent {
            advice.min(window / ADVICE_PART)
        } else {
            advice
        },
        client_retries: tries.client_retries.unwrap_or(0),
    };
    if tries.attempts.is_none() {
        plan.attempts = plan.fitting_attempts();
    }
    plan
}

/// The effect under which the module decides on further attempts: what may not be sent again
/// after it may have run is unsafe to it.
fn module_effect(plan: &Plan) -> Effect {
    match plan.retry_on {
        RetryOn::NeverRan => Effect::Unsafe,
        RetryOn::MayHaveRun => plan.effect,
    }
}

/// Lays a cluster out for the module.
pub fn module(file: &File, name: &str, cluster: &Cluster) -> Module {
    let leads =
        |then: &Then| matches!(then, Then::Forward(f) if f.split.clusters().any(|c| c == name));
    let routes: Vec<_> = file.routes.iter().filter(|route| leads(&route.then)).collect();
    let mut classes = BTreeMap::new();
    let (mut laid, mut tries) = (Vec::new(), Vec::new());
    for (name, class) in &file.classes {
        let of: Vec<_> = routes.iter().filter(|route| route.policy == *name).collect();
        if of.is_empty() {
            continue;
        }
        let stated = of.iter().filter_map(|route| route.effect).map(severity).collect();
        let mut numbers = [None; 3];
        for effect in effects(class, &stated) {
            numbers[severity(effect)] = Some(laid.len() as u32);
            let plan = plan(class, effect, cluster);
            // What turns out unsafe by its method is never hedged, nor ended for its own time.
            let hedge = class.tries.hedge.flatten().filter(|_| effect == Effect::Safe);
            tries.push(RetryPolicy {
                effect: module_effect(&plan),
                per_try: plan.per_try,
                bounds: plan.adaptive_bounds(),
                attempts: plan.attempts,
                hedge: hedge.filter(|_| cluster.second_copies),
                connect: plan.connect,
                idle: nanos(least(class.tries.idle, cluster.idle_timeout)),
            });
            laid.push(mintshelf_balancer::api::Class {
                effect: module_effect(&plan),
                group: match plan.group {
                    DedupGroup::Cluster => Group::All,
                    DedupGroup::Zone => Group::Zone,
                },
                dedup_window: nanos(class.window),
                latency_objective: nanos(class.latency_objective),
                deadline: nanos(class.deadline),
                priority_weight: class.priority_weight,
                late_weight: class.late_weight,
                max_attempts: plan.attempts,
                backoff: plan.backoff.into(),
            });
        }
        let class = ModuleClass {
            effect: class.effect,
            numbers,
            deadline: nanos(class.deadline),
            priority_weight: class.priority_weight,
        };
        classes.insert(name.clone(), class);
    }
    let zones: BTreeSet<&str> = std::iter::once(cluster.zone.as_str())
        .chain(cluster.endpoints.iter().map(|e| e.zone.as_str()))
        .collect();
    let zone = |name: &str| zones.iter().position(|z| *z == name).unwrap_or(0) as u32;
    let servers = cluster.endpoints.iter().filter(|e| e.weight > 0).map(|endpoint| {
        // Another address under an old name is another server.
        let hash = xxh3_64(format!("{} {}", endpoint.name, endpoint.address).as_bytes());
        let listed = ListedServer {
            id: (hash ^ (hash >> 32)) as u32,
            zone: zone(&endpoint.zone),
            size: f64::from(endpoint.weight),
            ..ListedServer::default()
        };
        (listed, endpoint.address)
    });
    let max_attempts = laid.iter().map(|class| class.max_attempts).max().unwrap_or(1);
    let settings = Settings {
        instances: 1,
        zone: zone(&cluster.zone),
        zones: zones.len() as u32,
        kinds: 1,
        classes: laid,
        size_kind: SizeKind::Nominal,
        tick: TICK,
        answer_slack: 4 * TICK,
        drain_grace: 250_000_000,
        initial_capacity: cluster.warm_from,
        warm_up: nanos(cluster.warm_up),
        overload_multiple: FALL_MULTIPLE,
        overload_duration: TIP_AFTER,
        can_cancel: true,
        retry_after: true,
        max_retry_after: nanos(cluster.max_retry_after),
        max_attempts,
        allows_parallel_attempts: cluster.second_copies,
        retry_ratio: cluster.retry_budget.0,
        retry_budget_max: f64::from(cluster.retry_budget.1),
        is_silence_local: true,
        connect_timeout: nanos(cluster.connect_timeout),
        idle_timeout: nanos(cluster.idle_timeout),
        objective: Objective {
            overall: 0.5,
            worst_window: 0.3,
            worst_class: 0.2,
            worst_tenant: 0.0,
        },
        prices: Prices {
            cross_zone: if cluster.zone.is_empty() { 0.0 } else { CROSS_ZONE },
            ..Prices::default()
        },
        ..Settings::default()
    };
    let return_ramp = nanos(cluster.return_ramp);
    Module {
        settings,
        classes,
        servers: servers.collect(),
        connections: cluster.connections,
        sockets: cluster.sockets,
        socket_weight: cluster.socket_weight,
        socket_spread: nanos(cluster.socket_spread),
        return_ramp,
        tries,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_class_is_laid_out_for_each_effect_that_it_can_have() {
        let text = "listen = \"127.0.0.1:1\"\n\
            [classes.read]\n[classes.queue]\neffect = \"keyed\"\nwindow = \"20s\"\n\
            [clusters.a]\nendpoints = [\"127.0.0.1:2\", { address = \"127.0.0.1:3\", weight = 0 }]\n\
            [[routes]]\nprefix = \"/r\"\nclass = \"read\"\ncluster = \"a\"\n\
            [[routes]]\nprefix = \"/q\"\nclass = \"queue\"\ncluster = \"a\"\n";
        let file = crate::file::read("f", text.as_bytes()).unwrap();
        let module = module(&file, "a", &file.clusters["a"]);
        assert_eq!(module.classes["queue"].numbers, [None, Some(0), Some(1)]);
        assert_eq!(module.classes["read"].numbers, [Some(2), None, Some(3)]);
        assert!(!module.classes.contains_key("default"));
        let effects: Vec<_> = module.settings.classes.iter().map(|c| c.effect).collect();
        assert_eq!(effects, [Effect::Idempotent, Effect::Unsafe, Effect::Safe, Effect::Unsafe]);
        assert_eq!(module.settings.classes[0].dedup_window, 20_000_000_000);
        // What has no weight gets nothing.
        assert_eq!(module.servers.len(), 1);
    }
}
