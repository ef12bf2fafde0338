//! Maps a file's request classes to classes of the decision module.

use super::schedule::{attempt_schedule, effective_timeout, module_effect};
use super::severity::{severity, EFFECTS};
use crate::model::{Class, Cluster, OperatorConfig, Route, RouteAction};
use mintshelf_balancer::api::{Class as BalancerClassSettings, ClassId, DedupScope, Effect};
use mintshelf_retry::policy::RetryPolicy;
use mintshelf_retry::schedule::{AttemptSchedule, DedupGroup};
use mintshelf_time::{from_duration, Nanos};
use std::collections::BTreeMap;

/// A class of the file as seen by the decision module, which has one class for each effect that
/// the requests can have.
#[derive(Debug, Clone, PartialEq)]
pub struct BalancerClass {
    /// The least severe effect that requests of this class may have.
    pub effect: Effect,
    /// The class ID in the decision module for each effect, indexed by [`severity`]; `None` if
    /// requests of the class cannot have the effect.
    class_ids: [Option<ClassId>; EFFECTS.len()],
    /// The timeout of a request, in nanoseconds.
    pub deadline: Nanos,
    /// The priority weight of the requests of this class, relative to other classes.
    pub priority_weight: f64,
}

impl BalancerClass {
    /// Returns the decision module's class ID for requests with this effect; `None` if requests of
    /// the class cannot have it.
    #[must_use]
    pub fn class_id(&self, effect: Effect) -> Option<ClassId> {
        self.class_ids[severity(effect)]
    }
}

/// The classes of one cluster.
#[derive(Default)]
pub(super) struct ClusterClasses {
    pub(super) by_name: BTreeMap<String, BalancerClass>,
    /// The decision module's settings of each class, indexed by class ID.
    pub(super) settings: Vec<BalancerClassSettings>,
    /// The retry policy of each class, indexed by class ID.
    pub(super) retry_policies: Vec<RetryPolicy>,
}

/// Returns the classes of the routes that forward to a cluster, which the file names
/// `cluster_name`.
pub(super) fn cluster_classes(
    config: &OperatorConfig,
    cluster_name: &str,
    cluster: &Cluster,
) -> ClusterClasses {
    let mut classes = ClusterClasses::default();
    for (name, class) in &config.classes {
        let routes: Vec<&Route> = config
            .routes
            .iter()
            .filter(|route| route.effective_class == *name && forwards_to(route, cluster_name))
            .collect();
        if !routes.is_empty() {
            classes.add(name, class, &routes, cluster);
        }
    }
    classes
}

fn forwards_to(route: &Route, cluster_name: &str) -> bool {
    match &route.action {
        RouteAction::Forward(forward) => forward.split.clusters().any(|name| name == cluster_name),
        RouteAction::Redirect(_) | RouteAction::Respond(_) => false,
    }
}

impl ClusterClasses {
    /// Adds a class for each effect that requests of `class` can have: the effect of the class
    /// itself, unsafe (by the method, or for lack of an idempotency key), and the effects that
    /// routes set.
    fn add(&mut self, name: &str, class: &Class, routes: &[&Route], cluster: &Cluster) {
        let is_possible = |effect: Effect| {
            effect == class.effect
                || effect == Effect::Unsafe
                || routes.iter().any(|route| route.effect == Some(effect))
        };
        let mut class_ids = [None; EFFECTS.len()];
        for effect in EFFECTS.into_iter().filter(|effect| is_possible(*effect)) {
            class_ids[severity(effect)] = Some(ClassId::from_index(self.settings.len()));
            let schedule = attempt_schedule(class, effect, cluster);
            self.retry_policies.push(retry_policy(class, effect, cluster, &schedule));
            self.settings.push(class_settings(class, &schedule));
        }
        let class = BalancerClass {
            effect: class.effect,
            class_ids,
            deadline: from_duration(class.deadline),
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
    // A request that is unsafe by its method is never hedged.
    let is_hedged = effect == Effect::Safe && cluster.allows_parallel_attempts;
    let idle_timeout = effective_timeout(class.attempts.idle_timeout, cluster.idle_timeout);
    RetryPolicy {
        effect: module_effect(schedule),
        attempt_timeout: schedule.attempt_timeout,
        timeout_bounds: schedule.adaptive_bounds(),
        max_attempts: schedule.max_attempts,
        hedge: class.attempts.hedge_policy().filter(|_| is_hedged),
        connect_timeout: schedule.connect_timeout,
        idle_timeout: from_duration(idle_timeout),
    }
}

fn class_settings(class: &Class, schedule: &AttemptSchedule) -> BalancerClassSettings {
    BalancerClassSettings {
        effect: module_effect(schedule),
        dedup_scope: match schedule.dedup_group {
            DedupGroup::Cluster => DedupScope::All,
            DedupGroup::Zone => DedupScope::Zone,
        },
        dedup_window: from_duration(class.dedup_window),
        latency_objective: from_duration(class.latency_objective),
        deadline: from_duration(class.deadline),
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        max_attempts: schedule.max_attempts,
        backoff: schedule.backoff,
    }
}
