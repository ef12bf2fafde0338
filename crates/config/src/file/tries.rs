//! What the attempts of a class or a route may do, and whether that keeps the rules.

use super::reader::{span, At, Table};
use super::routes::Read;
use super::{ms, Span, EVER};
use crate::model::{Class, Cluster, Route, Then, Tries};
use crate::module::{nanos, plan, severity};
use crate::problem::BrokenRule;
use mintshelf_balancer::api::Effect;
use mintshelf_retry::attempts::{Hedge, HedgeDelay};
use mintshelf_retry::schedule::{AttemptTimeout, DedupGroup, RetryOn, SafetyViolation};
use mintshelf_routing::{rank, Host};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most second copies that a file may allow, as a part of the requests: they never double
/// the load.
const SHARE_MAX: f64 = 0.5;
const SHARE: f64 = 0.05;
/// Most tries of their own that clients are reckoned with.
const CLIENT_RETRIES_MAX: u32 = 100;

/// The header by which servers know a repeat.
const IDEMPOTENCY_KEY: http::HeaderName = http::HeaderName::from_static("idempotency-key");

/// Where each setting stands that the file states.
pub type Places = BTreeMap<&'static str, (Span, String)>;

/// Settings with their places, of a class with what it inherits.
#[derive(Debug, Clone, Default)]
pub struct Stated {
    pub tries: Tries,
    pub places: Places,
}

impl Stated {
    /// Where a setting stands; else where the whole stands.
    fn place(&self, setting: &str, whole: (&Span, &str)) -> (Span, String) {
        let stated = self.places.get(setting).cloned();
        stated.unwrap_or_else(|| (whole.0.clone(), whole.1.to_string()))
    }
}

/// Reads the settings of a table over those that it inherits.
pub fn read(table: &Table, inherited: &Stated) -> Stated {
    let Stated { mut tries, mut places } = inherited.clone();
    let mut stated = |key: &'static str, span: &Span, field: &str| {
        places.insert(key, (span.clone(), field.to_string()));
    };
    if let Some(at) = per_try(table) {
        stated("per-try-timeout", &at.span, &at.field);
        tries.per_try = Some(at.value);
    }
    if table.has("max-attempts") {
        let at = table.whole("max-attempts", 1, 1..=super::clusters::ATTEMPTS_MAX);
        stated("max-attempts", &at.span, &at.field);
        tries.attempts = Some(at.value);
    }
    if let Some(inner) = table.table("backoff") {
        stated("backoff", &inner.span, &inner.field);
        tries.backoff = Some(backoff(inner));
    }
    let mend = "write \"never-ran\" or \"may-have-run\"";
    let retry_on = table.parsed("retry-on", mend, |text| match text {
        "never-ran" => Ok(RetryOn::NeverRan),
        "may-have-run" => Ok(RetryOn::MayHaveRun),
        _ => Err("is not what a retry may follow".into()),
    });
    if let Some(at) = retry_on {
        stated("retry-on", &at.span, &at.field);
        tries.retry_on = Some(at.value);
    }
    if let Some(at) = hedge(table) {
        stated("hedge", &at.span, &at.field);
        tries.hedge = Some(at.value);
    }
    if table.has("client-retries") {
        let at = table.whole("client-retries", 0, 0..=CLIENT_RETRIES_MAX);
        stated("client-retries", &at.span, &at.field);
        tries.client_retries = Some(at.value);
    }
    for (key, least, most) in
        [("connect-timeout", ms(1), super::clusters::CONNECT_MAX), ("idle-timeout", ms(0), EVER)]
    {
        if table.has(key) {
            let at = table.duration(key, most, least..=most);
            stated(key, &at.span, &at.field);
            let of = if key == "idle-timeout" { &mut tries.idle } else { &mut tries.connect };
            *of = Some(at.value);
        }
    }
    let mend = "write \"cluster\" or \"zone\"";
    let group = table.parsed("dedup-group", mend, |text| match text {
        "cluster" => Ok(DedupGroup::Cluster),
        "zone" => Ok(DedupGroup::Zone),
        _ => Err("is not a dedup group".into()),
    });
    if let Some(at) = group {
        stated("dedup-group", &at.span, &at.field);
        tries.group = Some(at.value);
    }
    Stated { tries, places }
}

fn per_try(table: &Table) -> Option<At<AttemptTimeout>> {
    let mend = "write a span as in \"400ms\", \"adaptive\" or \"none\"";
    table.parsed("per-try-timeout", mend, |text| match text {
        "adaptive" => Ok(AttemptTimeout::Adaptive),
        "none" => Ok(AttemptTimeout::Whole),
        _ => span(text, &(ms(1)..=EVER)).map(|span| AttemptTimeout::Fixed(nanos(span))),
    })
}

fn backoff(table: Table) -> [Duration; 2] {
    let first = table.duration("first", ms(0), ms(0)..=EVER);
    let most = table.duration("most", first.value.saturating_mul(8).min(EVER), ms(0)..=EVER);
    if most.value < first.value {
        let what = "the longest pause is shorter than the first";
        table.reader.wrong(&most.span, &most.field, what, "make most no shorter than first");
    }
    table.finish();
    [first.value, most.value]
}

fn hedge(table: &Table) -> Option<At<Option<Hedge>>> {
    if let Some(flag) = table.plain_flag("hedge") {
        if flag.value {
            let mend = "write hedge = { after = \"p95\" } or hedge = false";
            table.reader.wrong(&flag.span, &flag.field, "does not say when a copy goes", mend);
        }
        return Some(flag.map(|_| None));
    }
    let inner = table.table("hedge")?;
    let mend = "write a span as in \"30ms\", or \"p95\"";
    let after = inner.parsed("after", mend, |text| match text {
        "p95" => Ok(HedgeDelay::P95),
        _ => span(text, &(ms(1)..=EVER)).map(|span| HedgeDelay::Span(nanos(span))),
    });
    if !inner.has("after") {
        inner.reader.wrong(&inner.span, &inner.field, "does not say when a copy goes", mend);
    }
    let share = inner.number("share", SHARE, 0.0..=SHARE_MAX).value;
    let at = At { value: (), span: inner.span.clone(), field: inner.field.clone() };
    inner.finish();
    let after = after.map_or(HedgeDelay::P95, |at| at.value);
    Some(at.map(|()| Some(Hedge { after, share })))
}

/// A class, as it was read.
#[derive(Debug, Clone)]
pub struct ReadClass {
    pub class: Class,
    pub stated: Stated,
    pub span: Span,
    pub field: String,
}

impl ReadClass {
    /// With what a route changes of it.
    pub fn with(&self, table: &Table) -> ReadClass {
        let stated = read(table, &self.stated);
        let deadline = table.duration("deadline", self.class.deadline, ms(1)..=EVER);
        let latency_objective =
            table.duration("aim", self.class.latency_objective.min(deadline.value), ms(1)..=EVER);
        super::aim_fits(table, &latency_objective, deadline.value);
        let (latency_objective, deadline, tries) =
            (latency_objective.value, deadline.value, stated.tries.clone());
        let class = Class { latency_objective, deadline, tries, ..self.class.clone() };
        ReadClass { class, stated, span: self.span.clone(), field: self.field.clone() }
    }
}

/// Holds every class, with what routes change of it, against the rules at every cluster that
/// it reaches.
pub fn check(
    top: &Table,
    routes: &[Read],
    classes: &BTreeMap<String, ReadClass>,
    clusters: &BTreeMap<String, At<Cluster>>,
) {
    let mut told = BTreeSet::new();
    for read in routes {
        let Some(class) = classes.get(&read.route.policy) else { continue };
        let Then::Forward(forward) = &read.route.then else { continue };
        let effect = read.route.effect.unwrap_or(class.class.effect);
        for name in forward.split.clusters() {
            let Some(cluster) = clusters.get(name) else { continue };
            shared(top, class, name, &cluster.value, &mut told);
            let plan = plan(&class.class, effect, &cluster.value);
            for breach in plan.breaches() {
                // What is inherited and has no effect here does no harm.
                let own = class.stated.places.get(breach.setting());
                let own = own.is_some_and(|(_, field)| !field.starts_with("defaults."));
                if breach == SafetyViolation::PointlessTry && !own {
                    continue;
                }
                let whole = match class.span.is_empty() {
                    true => (&read.span, read.field.as_str()),
                    false => (&class.span, class.field.as_str()),
                };
                let (span, field) = class.stated.place(breach.setting(), whole);
                let what = format!(
                    "class '{}' at cluster '{name}': {}",
                    read.route.class,
                    breach.sentence(&plan)
                );
                if told.insert((span.start, breach.setting())) {
                    let rule = breach.twice().then_some(BrokenRule::Twice);
                    top.reader.breaks(&span, &field, what, breach.mend(), rule);
                }
            }
        }
        milder(top, read, &class.class);
        split_keys(top, read, effect);
    }
    carved(top, routes, classes);
}

/// A cluster's classes share its connections: a class can only ask for less than the cluster.
fn shared(
    top: &Table,
    class: &ReadClass,
    name: &str,
    cluster: &Cluster,
    told: &mut BTreeSet<(usize, &'static str)>,
) {
    let tries = &class.class.tries;
    for (setting, own, whole) in [
        ("connect-timeout", tries.connect, cluster.connect_timeout),
        ("idle-timeout", tries.idle, cluster.idle_timeout),
    ] {
        let Some((span, field)) = class.stated.places.get(setting) else { continue };
        let over = own.filter(|own| *own > whole && !field.starts_with("defaults."));
        let Some(over) = over.filter(|_| told.insert((span.start, setting))) else { continue };
        let what = format!(
            "{} is over cluster '{name}''s own, {}, which all its classes share",
            humantime::format_duration(over),
            humantime::format_duration(whole)
        );
        top.reader.wrong(span, field, what, "shorten it, or lengthen the cluster's");
    }
}

/// Danger: a route that makes a class's requests milder has them sent again.
fn milder(top: &Table, read: &Read, class: &Class) {
    let Some(effect) = read.route.effect.filter(|e| severity(*e) < severity(class.effect)) else {
        return;
    };
    let what = format!(
        "the route makes requests of class '{}' {}, which the class says are {}",
        read.route.class,
        word(effect),
        word(class.effect)
    );
    let mend = "give the route a class of its own, or leave its effect out";
    top.reader.breaks(&read.span, &format!("{}.effect", read.field), what, mend, BrokenRule::Twice);
}

fn word(effect: Effect) -> &'static str {
    match effect {
        Effect::Safe => "safe",
        Effect::Idempotent => "keyed",
        Effect::Unsafe => "unsafe",
    }
}

/// Danger: a keyed request that is refused comes back to a cluster that does not know its key.
fn split_keys(top: &Table, read: &Read, effect: Effect) {
    let Then::Forward(forward) = &read.route.then else { return };
    let many = forward.split.clusters().count() > 1;
    let by_key = forward.sticky == Some(crate::model::Sticky::Header(IDEMPOTENCY_KEY));
    if effect == Effect::Idempotent && many && !by_key {
        let what = "a repeat of a keyed request could go to another cluster, which does not know \
                    its key";
        let mend = "write sticky = \"header:idempotency-key\"";
        let field = format!("{}.clusters", read.field);
        top.reader.breaks(&read.span, &field, what, mend, BrokenRule::Twice);
    }
}

/// Danger: of two routes with the same hosts and path, one that asks for more takes requests
/// out of the other; its class may be milder than what they were said to be.
fn carved(top: &Table, routes: &[Read], classes: &BTreeMap<String, ReadClass>) {
    let mut groups: BTreeMap<(Host, String), Vec<usize>> = BTreeMap::new();
    for (place, read) in routes.iter().enumerate() {
        let any = [Host::Any];
        let hosts: &[Host] = match read.route.rule.hosts.is_empty() {
            true => &any,
            false => &read.route.rule.hosts,
        };
        let path = super::checks::path_key(&read.route);
        for host in hosts {
            groups.entry((host.clone(), path.clone())).or_default().push(place);
        }
    }
    let effect = |read: &Read| {
        let class = classes.get(&read.route.class)?;
        Some(read.route.effect.unwrap_or(class.class.effect))
    };
    let forwards = |read: &Read| matches!(read.route.then, Then::Forward(_));
    let mut told = BTreeSet::new();
    for places in groups.values() {
        for (a, b) in places.iter().flat_map(|a| places.iter().map(move |b| (*a, *b))) {
            let (grave_one, milder_one) = (&routes[a], &routes[b]);
            let effects = effect(grave_one).zip(effect(milder_one));
            let Some((graver, mild)) = effects.filter(|(x, y)| severity(*x) > severity(*y)) else {
                continue;
            };
            let wins =
                rank::details(&milder_one.route.rule, b) > rank::details(&grave_one.route.rule, a);
            let both = forwards(grave_one) && forwards(milder_one);
            if !(wins && both && share_unsafe(&grave_one.route, &milder_one.route, mild)) {
                continue;
            }
            if told.insert(b) {
                let what = format!(
                    "requests that route '{}' in line {} says are {} would be {} here",
                    grave_one.route.name,
                    grave_one.route.line,
                    word(graver),
                    word(mild)
                );
                let mend = "let the two ask for different methods, or give both the same class";
                let (span, field) = (&milder_one.span, &milder_one.field);
                top.reader.breaks(span, field, what, mend, BrokenRule::Twice);
            }
        }
    }
}

/// Whether some method that both routes take would be milder at the second.
fn share_unsafe(grave_one: &Route, milder_one: &Route, mild: Effect) -> bool {
    let (a, b) = (&grave_one.rule.methods, &milder_one.rule.methods);
    let both = |method: &http::Method| {
        (a.is_empty() || a.contains(method)) && (b.is_empty() || b.contains(method))
    };
    // By its method a request is unsafe again in a safe class, unless the route says otherwise.
    let stays = |method: &http::Method| {
        mild == Effect::Safe && milder_one.effect.is_none() && !method.is_safe()
    };
    let named = a.iter().chain(b.iter()).filter(|method| both(method));
    let any = [http::Method::GET, http::Method::POST];
    let unnamed = any.iter().filter(|_| a.is_empty() && b.is_empty());
    named.chain(unnamed).any(|method| !stays(method))
}
