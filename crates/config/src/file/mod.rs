//! The operator's file: TOML text to a checked [`File`], with all errors in one run.

mod checks;
mod clusters;
mod fleet;
mod limits;
mod reader;
mod routes;
mod sockets;
mod tries;

use crate::model::*;
use crate::problem::{BrokenRule, Places, Problem};
use mintshelf_balancer::api::Effect;
use reader::{At, Reader, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tries::{ReadClass, Stated};
use xxhash_rust::xxh3::xxh3_64;

/// Name of the class of routes that name none.
pub const DEFAULT_CLASS: &str = "default";
/// Longest file: far over ten thousand routes.
const LONGEST: usize = 16 << 20;
/// The longest span that a setting may have.
const EVER: Duration = Duration::from_secs(86_400);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Reads a file's bytes. `name` stands in the errors; they come in the order of the text.
pub fn read(name: &str, bytes: &[u8]) -> Result<File, Vec<Problem>> {
    let whole = |line, column, what: String, mend: &str| Problem {
        file: name.to_string(),
        line,
        column,
        field: String::new(),
        what,
        mend: mend.to_string(),
        rule: None,
    };
    if bytes.len() > LONGEST {
        let what = format!("has {} bytes, over {LONGEST}", bytes.len());
        return Err(vec![whole(1, 1, what, "split the installation")]);
    }
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let good = std::str::from_utf8(&bytes[..e.valid_up_to()]).unwrap_or_default();
        let (line, column) = Places::new(good).of(good.len());
        vec![whole(line, column, "is not text in UTF-8".into(), "save it as a UTF-8 text file")]
    })?;
    let (table, syntax) = toml::de::DeTable::parse_recoverable(text);
    let reader = Reader::new(name, text);
    let top = Table::new(&reader, "", 0..0, table.get_ref());
    let file = top_level(&top, xxh3_64(bytes));
    top.finish();
    let (mut problems, stated) = reader.finish();
    if !syntax.is_empty() {
        // What stands behind the first break may have been read amiss, and what refers to
        // it may not have been read at all.
        let broken = syntax.iter().filter_map(|e| e.span()).map(|s| s.start).min().unwrap_or(0);
        problems.retain(|(at, problem)| *at < broken && *at > 0 && !checks::refers(problem));
        let places = Places::new(text);
        let mut lines = BTreeSet::new();
        for error in &syntax {
            let start = error.span().map_or(text.len(), |span| span.start);
            let (line, column) = places.of(start);
            if lines.insert(line) {
                let what = error.message().lines().collect::<Vec<_>>().join(", ");
                let problem = whole(line, column, what, "see the reference page for the form");
                problems.push((start, problem));
            }
        }
        problems.sort_by_key(|(at, _)| *at);
    }
    match problems.is_empty() {
        true => Ok(File { stated, ..file }),
        false => Err(problems.into_iter().map(|(_, problem)| problem).collect()),
    }
}

/// The keys that the reader knows in each table of a file, by the table's path: what a schema
/// is held to.
pub fn known_keys(text: &str) -> BTreeMap<String, BTreeSet<&'static str>> {
    let (table, _) = toml::de::DeTable::parse_recoverable(text);
    let reader = Reader::new("", text).with_keys();
    let top = Table::new(&reader, "", 0..0, table.get_ref());
    top_level(&top, 0);
    top.finish();
    reader.known()
}

fn top_level(top: &Table, hash: u64) -> File {
    let process = process_limits(top.table("limits"));
    let forwarding = forwarding(top.table("forwarding"));
    let admin = top.table("admin").and_then(|table| {
        let address = address(&table, "address");
        table.finish();
        address
    });
    let fleet = fleet::read(top);
    let listeners = listeners(top);
    let (tenants, tenant_header) = limits::tenants(top, &listeners);
    let repeat_header = top.parsed("repeat-header", HEADER, header_name).map(|at| at.value);
    let defaults = top.table("defaults").map_or_else(Stated::default, |table| {
        let stated = tries::read(&table, &Stated::default());
        table.finish();
        stated
    });
    let classes = classes(top, &defaults);
    let clusters = clusters::read(top);
    let (mut routes, policies) = routes::read(top, &classes);
    sockets::settle(top, &mut routes, &policies);
    checks::listeners(top, &listeners, admin.as_ref());
    checks::references(top, &routes, &listeners, &classes, &clusters);
    checks::reach(top, &routes, &listeners);
    limits::route_names(top, &routes);
    tries::check(top, &routes, &policies, &clusters);
    File {
        listeners: listeners.into_iter().map(|l| l.value).collect(),
        routes: routes.into_iter().map(|r| r.route).collect(),
        classes: policies.into_iter().map(|(name, read)| (name, read.class)).collect(),
        clusters: clusters.into_iter().map(|(name, cluster)| (name, cluster.value)).collect(),
        limits: process,
        tenants,
        tenant_header,
        repeat_header,
        forwarding,
        admin: admin.map(|at| at.value),
        fleet,
        hash,
        stated: BTreeMap::new(),
    }
}

const ADDRESS: &str = "write an IP address and a port, as in \"127.0.0.1:8080\"; names are not \
                       looked up";

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|_| "is not an address".to_string())?;
    if address.port() == 0 {
        return Err("has port 0".into());
    }
    Ok(address)
}

fn address(table: &Table, key: &'static str) -> Option<At<SocketAddr>> {
    let read = table.parsed(key, ADDRESS, parse_address);
    if read.is_none() && !table.has(key) {
        table.reader.wrong(&table.span, &table.path(key), "is missing", ADDRESS);
    }
    read
}

fn listeners(top: &Table) -> Vec<At<Listener>> {
    let mut listeners = Vec::new();
    for at in top.texts("listen") {
        let name = format!("listen{}", listeners.len());
        if let Some(address) = top.parse(at, ADDRESS, parse_address) {
            listeners.push(address.map(|address| Listener { name, address }));
        }
    }
    for table in top.tables("listeners") {
        let name = table
            .text("name")
            .map_or(format!("listener{}", listeners.len()), |name| name.value.to_string());
        if let Some(address) = address(&table, "address") {
            listeners.push(address.map(|address| Listener { name, address }));
        }
        table.finish();
    }
    if listeners.is_empty() && !top.has("listen") && !top.has("listeners") {
        let mend = "write listen = \"127.0.0.1:8080\" as its first line";
        top.reader.wrong(&(0..0), "", "there is no listener", mend);
    }
    listeners
}

fn process_limits(table: Option<Table>) -> Limits {
    const DESCRIPTORS: usize = 1024;
    let (websockets, websocket_drain) = sockets::standard_limits(DESCRIPTORS);
    let standard = Limits {
        memory: 64 << 20,
        sockets: DESCRIPTORS,
        head_timeout: ms(2_500),
        idle_timeout: ms(20_000),
        stream_timeout: ms(30_000),
        abort_on_close: false,
        websockets,
        websocket_drain,
    };
    let Some(table) = table else { return standard };
    let sockets = table.whole("sockets", standard.sockets as u32, 64..=1 << 20).value as usize;
    let (websockets, websocket_drain) = sockets::limits(&table, sockets);
    let limits = Limits {
        memory: table.size("memory", standard.memory, 16 << 20..=64 << 30).value,
        sockets,
        websockets,
        websocket_drain,
        head_timeout: table.duration("head-timeout", standard.head_timeout, ms(100)..=EVER).value,
        idle_timeout: table.duration("idle-timeout", standard.idle_timeout, ms(100)..=EVER).value,
        stream_timeout: table
            .duration("stream-timeout", standard.stream_timeout, ms(100)..=EVER)
            .value,
        abort_on_close: table.flag("abort-on-close", false),
    };
    table.finish();
    limits
}

fn header_name(text: &str) -> Result<http::HeaderName, String> {
    text.parse().map_err(|_| "is not a header name (RFC 9110 5.1)".to_string())
}

const HEADER: &str = "write a name as in \"x-request-id\"";

fn forwarding(table: Option<Table>) -> Forwarding {
    let Some(table) = table else { return Forwarding::default() };
    let token = |text: &str| match header_name(text) {
        Ok(_) => Ok(text.to_string()),
        Err(_) => Err("is not a pseudonym (RFC 9110 7.6.3)".to_string()),
    };
    let forwarding = Forwarding {
        via: table.parsed("via", "write one word", token).map(|at| at.value),
        forwarded: table.flag("forwarded", false),
        request_id: table.parsed("request-id", HEADER, header_name).map(|at| at.value),
    };
    table.finish();
    forwarding
}

/// Reads the effect of a class or a route.
fn effect(table: &Table) -> Option<At<Effect>> {
    let mend = "write \"safe\", \"keyed\" or \"unsafe\"";
    table.parsed("effect", mend, |text| match text {
        "safe" => Ok(Effect::Safe),
        "keyed" => Ok(Effect::Idempotent),
        "unsafe" => Ok(Effect::Unsafe),
        _ => Err("is not an effect".into()),
    })
}

fn classes(top: &Table, defaults: &Stated) -> BTreeMap<String, ReadClass> {
    let standard = Class {
        effect: Effect::Safe,
        window: Duration::ZERO,
        latency_objective: ms(1_000),
        deadline: ms(15_000),
        priority_weight: 1.0,
        late_weight: 1.0,
        tries: defaults.tries.clone(),
        sockets: sockets::standard(),
    };
    let mut classes = BTreeMap::new();
    let nowhere = ReadClass {
        class: standard.clone(),
        stated: defaults.clone(),
        span: 0..0,
        field: String::new(),
    };
    classes.insert(DEFAULT_CLASS.to_string(), nowhere);
    let Some(all) = top.table("classes") else { return classes };
    for (name, value) in all.members() {
        let Some(table) = all.as_table(value, "[classes.NAME]") else { continue };
        let (class, stated) = class(&table, &standard, defaults);
        let read = ReadClass { class, stated, span: name.span.clone(), field: name.field };
        classes.insert(name.value.to_string(), read);
        table.finish();
    }
    classes
}

/// An aim past the deadline is never met.
fn aim_fits(table: &Table, latency_objective: &At<Duration>, deadline: Duration) {
    if latency_objective.value > deadline {
        let what = format!(
            "the aim, {}, is past the deadline, {}",
            humantime::format_duration(latency_objective.value),
            humantime::format_duration(deadline)
        );
        let mend = "state a deadline that is no shorter than the aim";
        table.reader.breaks(
            &latency_objective.span,
            &latency_objective.field,
            what,
            mend,
            BrokenRule::Lost,
        );
    }
}

fn class(table: &Table, standard: &Class, defaults: &Stated) -> (Class, Stated) {
    let effect = effect(table);
    let window = table.duration("window", standard.window, ms(0)..=EVER);
    let latency_objective = table.duration("aim", standard.latency_objective, ms(1)..=EVER);
    let deadline =
        table.duration("deadline", standard.deadline.max(latency_objective.value), ms(1)..=EVER);
    let priority_weight = table.number("worth", standard.priority_weight, 0.0..=1e6);
    let late_weight = table.number("late-worth", standard.late_weight, 0.0..=1.0);
    let value = effect.as_ref().map_or(standard.effect, |e| e.value);
    let span = |at: Option<&At<Effect>>| at.map_or(table.span.clone(), |at| at.span.clone());
    if value == Effect::Idempotent && window.value.is_zero() {
        let mend = "state for how long servers drop repeats, as in window = \"20s\", or write \
                    effect = \"unsafe\"";
        let what = "a keyed class has no window";
        let rule = BrokenRule::Twice;
        table.reader.breaks(&span(effect.as_ref()), &table.path("effect"), what, mend, rule);
    }
    if value != Effect::Idempotent && table.has("window") {
        let mend = "remove it, or write effect = \"keyed\"";
        table.reader.wrong(&window.span, &window.field, "only keyed classes have a window", mend);
    }
    aim_fits(table, &latency_objective, deadline.value);
    let mut stated = tries::read(table, defaults);
    if table.has("window") {
        stated.places.insert("window", (window.span.clone(), window.field.clone()));
    }
    let class = Class {
        effect: value,
        window: window.value,
        latency_objective: latency_objective.value,
        deadline: deadline.value,
        priority_weight: priority_weight.value,
        late_weight: late_weight.value,
        tries: stated.tries.clone(),
        sockets: sockets::class(table),
    };
    (class, stated)
}

/// A span of the text.
type Span = Range<usize>;
