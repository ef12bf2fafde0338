//! Checks the attempt schedule of every class, with the overrides of routes, at every cluster that
//! requests of the class are forwarded to.

use super::fields::effect_keyword;
use super::parsed::{ParsedClass, ParsedClasses, ParsedClusters, ParsedRoute};
use super::reader::Reader;
use super::table::Table;
use crate::balancer::{attempt_schedule, severity};
use crate::model::{Class, Cluster, Forward, Sticky};
use crate::problem::SafetyRule;
use http::HeaderName;
use mintshelf_balancer::api::Effect;
use mintshelf_retry::violation::SafetyViolation;
use std::collections::BTreeSet;
use std::time::Duration;

/// The header by which servers deduplicate requests.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Checks the schedules of all routes that forward requests.
pub fn check(
    root: &Table,
    routes: &[ParsedRoute],
    classes: &ParsedClasses,
    clusters: &ParsedClusters,
) {
    let mut checker = Checker { reader: root.reader, reported: BTreeSet::new() };
    for route in routes {
        let Some(class) = classes.get(&route.route.effective_class) else { continue };
        let Some(forward) = route.forward() else { continue };
        for name in forward.split.clusters() {
            let Some(cluster) = clusters.get(name) else { continue };
            checker.check_timeouts(class, name, &cluster.value);
            checker.check_schedule(route, class, name, &cluster.value);
        }
        check_route_effect(root, route, &class.class);
        check_idempotent_split(root, route, forward, route.effect(&class.class));
    }
}

struct Checker<'reader, 'text> {
    reader: &'reader Reader<'text>,
    /// Settings already reported, by offset and key, so that a setting shared by several routes
    /// or clusters is reported once.
    reported: BTreeSet<(usize, &'static str)>,
}

impl Checker<'_, '_> {
    /// Checks that a class does not raise the cluster's timeouts, since all classes share the
    /// cluster's connections.
    fn check_timeouts(&mut self, class: &ParsedClass, cluster_name: &str, cluster: &Cluster) {
        let attempts = &class.class.attempts;
        let connect = (attempts.connect_timeout, cluster.connect_timeout);
        let idle = (attempts.idle_timeout, cluster.idle_timeout);
        for (setting, (own, shared)) in [("connect-timeout", connect), ("idle-timeout", idle)] {
            if let Some(own) = own.filter(|own| *own > shared) {
                self.report_timeout(class, setting, own, cluster_name, shared);
            }
        }
    }

    fn report_timeout(
        &mut self,
        class: &ParsedClass,
        setting: &'static str,
        own: Duration,
        cluster_name: &str,
        shared: Duration,
    ) {
        let Some(location) = class.locations.get_own(setting) else { return };
        if !self.reported.insert((location.span.start, setting)) {
            return;
        }
        let message = format!(
            "{} is longer than that of cluster '{cluster_name}', {}, which all its classes share",
            humantime::format_duration(own),
            humantime::format_duration(shared)
        );
        self.reader.report(location, message, "shorten it, or lengthen the cluster's");
    }

    fn check_schedule(
        &mut self,
        route: &ParsedRoute,
        class: &ParsedClass,
        cluster_name: &str,
        cluster: &Cluster,
    ) {
        let schedule = attempt_schedule(&class.class, route.effect(&class.class), cluster);
        for violation in schedule.violations() {
            let setting = violation.setting();
            // An inherited timeout that has no effect here is harmless.
            let is_inherited = class.locations.get_own(setting).is_none();
            if violation == SafetyViolation::AttemptTimeoutWithoutRetry && is_inherited {
                continue;
            }
            let owner =
                if class.location.is_explicit() { &class.location } else { &route.location };
            let location = class.locations.get(setting).unwrap_or(owner);
            if !self.reported.insert((location.span.start, setting)) {
                continue;
            }
            let message = format!(
                "class '{}' at cluster '{cluster_name}': {}",
                route.route.class,
                violation.describe(&schedule)
            );
            if violation.duplicates_effect() {
                let rule = SafetyRule::NoDuplicateEffect;
                self.reader.report_violation(location, message, violation.remedy(), rule);
            } else {
                self.reader.report(location, message, violation.remedy());
            }
        }
    }
}

/// Checks that a route does not declare its requests safer to repeat than their class does, since
/// they would then be retried in cases in which the class forbids it. From the safest on, effects
/// are safe, idempotent and unsafe.
fn check_route_effect(root: &Table, route: &ParsedRoute, class: &Class) {
    let Some(effect) = route.route.effect else { return };
    if severity(effect) >= severity(class.effect) {
        return;
    }
    let message = format!(
        "the route makes requests of class '{}' {}, but the class declares them {}",
        route.route.class,
        effect_keyword(effect),
        effect_keyword(class.effect)
    );
    let remedy = "give the route a class of its own, or leave its effect out";
    let rule = SafetyRule::NoDuplicateEffect;
    root.reader.report_violation(&route.location.child("effect"), message, remedy, rule);
}

/// Checks that a client's retry of an idempotent request goes to the same cluster, since another
/// cluster does not know the idempotency key of the request.
fn check_idempotent_split(root: &Table, route: &ParsedRoute, forward: &Forward, effect: Effect) {
    let has_several_clusters = forward.split.clusters().count() > 1;
    let is_split_by_key = forward.sticky == Some(Sticky::Header(IDEMPOTENCY_KEY));
    if effect != Effect::Idempotent || !has_several_clusters || is_split_by_key {
        return;
    }
    let message =
        "a client's retry of a keyed request could go to another cluster, which does not know \
                   its key";
    let remedy = "write sticky = \"header:idempotency-key\"";
    let rule = SafetyRule::NoDuplicateEffect;
    root.reader.report_violation(&route.location.child("clusters"), message, remedy, rule);
}
