//! Parses request classes and the class overrides of routes.

use super::attempts;
use super::fields::effect;
use super::parsed::{ParsedAttempts, ParsedClass, ParsedClasses, DEFAULT_CLASS};
use super::reader::{Located, Location};
use super::sockets;
use super::table::Table;
use super::value::{ms, MAX_DURATION};
use crate::model::Class;
use crate::problem::SafetyRule;
use mintshelf_balancer::api::Effect;
use std::time::Duration;

/// Returns the class that applies if a file sets nothing.
fn default_class(defaults: &ParsedAttempts) -> Class {
    Class {
        effect: Effect::Safe,
        dedup_window: Duration::ZERO,
        latency_objective: ms(1_000),
        deadline: ms(15_000),
        priority_weight: 1.0,
        late_weight: 1.0,
        attempts: defaults.settings.clone(),
        sockets: sockets::default_settings(),
    }
}

/// Parses `[classes]`. The result always contains the default class.
pub fn parse(root: &Table, defaults: &ParsedAttempts) -> ParsedClasses {
    let mut classes = ParsedClasses::new();
    let default_class = default_class(defaults);
    let unstated = ParsedClass {
        class: default_class.clone(),
        locations: defaults.locations.clone(),
        location: Location::default(),
    };
    classes.insert(DEFAULT_CLASS.to_string(), unstated);
    let Some(tables) = root.table("classes") else { return classes };
    for member in tables.members() {
        let Some(table) = tables.as_table(member.value, "[classes.NAME]") else { continue };
        let class = class(&table, &default_class, defaults, member.name.location);
        classes.insert(member.name.value.to_string(), class);
        table.finish();
    }
    classes
}

fn class(
    table: &Table,
    default_class: &Class,
    defaults: &ParsedAttempts,
    location: Location,
) -> ParsedClass {
    let effect = effect(table);
    let window = table.duration("window", default_class.dedup_window, ms(0)..=MAX_DURATION);
    check_window(table, effect.as_ref(), &window);
    let objective = table.duration("aim", default_class.latency_objective, ms(1)..=MAX_DURATION);
    let default_deadline = default_class.deadline.max(objective.value);
    let deadline = table.duration("deadline", default_deadline, ms(1)..=MAX_DURATION);
    check_objective(table, &objective, deadline.value);
    let ParsedAttempts { settings, mut locations } = attempts::parse(table, defaults);
    if table.has("window") {
        locations.record("window", Some(window.clone()));
    }
    let class = Class {
        effect: effect.map_or(default_class.effect, |effect| effect.value),
        dedup_window: window.value,
        latency_objective: objective.value,
        deadline: deadline.value,
        priority_weight: table.number("worth", default_class.priority_weight, 0.0..=1e6).value,
        late_weight: table.number("late-worth", default_class.late_weight, 0.0..=1.0).value,
        attempts: settings,
        sockets: sockets::parse_settings(table),
    };
    ParsedClass { class, locations, location }
}

/// Checks that idempotent classes, and only those, have a deduplication window.
fn check_window(table: &Table, effect: Option<&Located<Effect>>, window: &Located<Duration>) {
    match effect {
        Some(Located { value: Effect::Idempotent, location }) if window.value.is_zero() => {
            let message = "a keyed class has no window";
            let remedy =
                "set for how long servers deduplicate requests, as in window = \"20s\", or \
                          write effect = \"unsafe\"";
            let rule = SafetyRule::NoDuplicateEffect;
            table.reader.report_violation(location, message, remedy, rule);
        }
        Some(Located { value: Effect::Idempotent, .. }) => {}
        _ if table.has("window") => {
            let message = "only keyed classes have a window";
            let remedy = "remove it, or write effect = \"keyed\"";
            table.reader.report(&window.location, message, remedy);
        }
        _ => {}
    }
}

/// Checks that the latency objective is not longer than the deadline.
fn check_objective(table: &Table, objective: &Located<Duration>, deadline: Duration) {
    if objective.value <= deadline {
        return;
    }
    let message = format!(
        "the aim, {}, is past the deadline, {}",
        humantime::format_duration(objective.value),
        humantime::format_duration(deadline)
    );
    let remedy = "set a deadline that is no shorter than the aim";
    let rule = SafetyRule::NoLostRequest;
    table.reader.report_violation(&objective.location, message, remedy, rule);
}

/// Returns a class with a route's overrides, which `table` holds.
pub fn with_overrides(base: &ParsedClass, table: &Table) -> ParsedClass {
    let ParsedAttempts { settings, locations } = attempts::parse(table, &base.attempts());
    let deadline = table.duration("deadline", base.class.deadline, ms(1)..=MAX_DURATION);
    let default_objective = base.class.latency_objective.min(deadline.value);
    let objective = table.duration("aim", default_objective, ms(1)..=MAX_DURATION);
    check_objective(table, &objective, deadline.value);
    let class = Class {
        latency_objective: objective.value,
        deadline: deadline.value,
        attempts: settings,
        ..base.class.clone()
    };
    ParsedClass { class, locations, location: base.location.clone() }
}
