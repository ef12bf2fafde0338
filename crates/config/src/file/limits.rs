//! Limits of routes and clusters, and the tenants that share them.

use super::reader::{At, Table};
use super::{header_name, Span, HEADER};
use crate::model::{Listener, Tenant};
use crate::problem::BrokenRule;
use ipnet::IpNet;
use mintshelf_admission::admission::LimitConfig;
use mintshelf_admission::rate::RateConfig;
use mintshelf_admission::tenants::{overlap, OTHER_TENANTS};
use std::collections::HashMap;
use std::num::NonZeroU32;
use std::time::Duration;

/// Most of anything at one time.
const MOST: u32 = 1_000_000;
/// Most tenants: each takes a place in every cluster's queue.
const TENANTS_MAX: usize = 256;

/// Reads `100/s`, `30/m` or `5/h`.
fn rate(text: &str) -> Result<(NonZeroU32, Duration), String> {
    let wrong = || "is not a rate".to_string();
    let (count, unit) = text.split_once('/').ok_or_else(wrong)?;
    let per = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3600,
        _ => return Err(wrong()),
    };
    let count: u32 = count.trim().parse().map_err(|_| wrong())?;
    let count = NonZeroU32::new(count).ok_or("would let nothing through")?;
    Ok((count, Duration::from_secs(per)))
}

/// Reads what a tenant or a route is limited to.
pub fn limit(table: &Table) -> LimitConfig {
    let mend = "write a rate as in \"100/s\", \"30/m\" or \"5/h\"";
    let rate = table.parsed("rate", mend, rate);
    let least = rate.as_ref().map_or(1, |at| at.value.0.get().min(MOST));
    let burst = table.whole("burst", least, 1..=MOST);
    if table.has("burst") && !table.has("rate") {
        let what = "has no effect without a rate";
        table.reader.wrong(&burst.span, &burst.field, what, "state a rate as well");
    }
    let rate = rate.and_then(|at| {
        let burst = NonZeroU32::new(burst.value)?;
        let set = RateConfig { count: at.value.0, per: at.value.1, burst };
        if !set.is_sound() {
            table.reader.wrong(&at.span, &at.field, "is too fast to be kept", mend);
        }
        Some(set)
    });
    let most = table.has("concurrency").then(|| table.whole("concurrency", 1, 1..=MOST).value);
    let sockets = table.has("sockets").then(|| table.whole("sockets", 1, 0..=MOST).value);
    LimitConfig { rate, most, bytes: None, sockets }
}

/// Reads how many requests a cluster takes at one time, and how many wait.
pub fn concurrency(table: &Table) -> Option<(u32, u32)> {
    let most = table.whole("concurrency", 1, 1..=MOST);
    let queue = table.whole("queue", most.value.min(MOST), 0..=100_000);
    if !table.has("concurrency") {
        if table.has("queue") {
            let mend = "state how many go at one time, as in concurrency = 100";
            table.reader.wrong(&queue.span, &queue.field, "has no effect without a limit", mend);
        }
        return None;
    }
    Some((most.value, queue.value))
}

/// Reads how many connections a cluster may have, and each of its endpoints.
pub fn connections(table: &Table) -> [Option<u32>; 2] {
    let keys = ["connections", "endpoint-connections"];
    keys.map(|key| table.has(key).then(|| table.whole(key, 1, 1..=MOST).value))
}

/// Reads how many sockets a cluster may have, and each of its endpoints. Where connections are
/// limited, sockets leave a quarter of them to requests.
pub fn sockets(table: &Table) -> [Option<u32>; 2] {
    let keys = [("sockets", "connections"), ("endpoint-sockets", "endpoint-connections")];
    keys.map(|(key, of)| {
        let all = table.has(of).then(|| table.whole(of, 1, 1..=MOST).value);
        let rest = all.map(|all| all - all.div_ceil(4));
        let stated = table.has(key).then(|| table.whole(key, 1, 0..=MOST));
        if let Some((at, rest)) = stated.as_ref().zip(rest).filter(|(at, rest)| at.value > *rest) {
            let what = format!("would leave requests too few of {of}: up to {rest} may be sockets");
            table.reader.breaks(&at.span, &at.field, what, "lower it", BrokenRule::Lost);
        }
        stated.map(|at| at.value).or(rest)
    })
}

/// A tenant with the places of its networks.
struct Read {
    tenant: Tenant,
    /// Whose networks its own may lie within.
    within: Option<String>,
    networks: Vec<(IpNet, Span, String)>,
}

/// Reads the tenants and what tells them apart.
pub fn tenants(top: &Table, listeners: &[At<Listener>]) -> (Vec<Tenant>, Option<http::HeaderName>) {
    let header = top.parsed("tenant-header", HEADER, header_name);
    let mut all: Vec<Read> = Vec::new();
    if let Some(tables) = top.table("tenants") {
        for (name, value) in tables.members() {
            let Some(table) = tables.as_table(value, "[tenants.NAME]") else { continue };
            all.push(tenant(table, name, listeners, header.is_some()));
        }
        if all.len() > TENANTS_MAX {
            let what = format!("there are {} tenants, over {TENANTS_MAX}", all.len());
            top.reader.wrong(&tables.span, &tables.field, what, "give several one name");
        }
    }
    for read in &all {
        let outer = read.within.as_ref().filter(|name| all.iter().all(|r| r.tenant.name != **name));
        if let Some(name) = outer {
            let field = format!("tenants.{}.within", read.tenant.name);
            let what = format!("'{name}' names nothing: there is no such tenant");
            top.reader.wrong(&top.reader.span_of(&field), &field, what, "name another tenant");
        }
    }
    overlaps(top, &all);
    twice(top, &all);
    (all.into_iter().map(|read| read.tenant).collect(), header.map(|at| at.value))
}

fn tenant(table: Table, name: At<&str>, listeners: &[At<Listener>], by_header: bool) -> Read {
    if name.value == OTHER_TENANTS {
        let what = format!("'{OTHER_TENANTS}' are those who are no tenant");
        table.reader.wrong(&name.span, &name.field, what, "name it otherwise");
    }
    let share = table.number("share", 1.0, 0.001..=1e6).value;
    let mend = "write a network as in \"10.0.0.0/8\" or \"2001:db8::/32\"";
    let mut networks = Vec::new();
    for at in table.texts("networks") {
        let read = |text: &str| text.parse::<IpNet>().map_err(|_| "is not a network".to_string());
        let Some(at) = table.parse(at, mend, read) else { continue };
        if at.value != at.value.trunc() {
            let what = format!("{} has bits behind its prefix", at.value);
            let mend = format!("write {}", at.value.trunc());
            table.reader.wrong(&at.span, &at.field, what, mend);
        }
        networks.push((at.value.trunc(), at.span, at.field));
    }
    let own = table.texts("listeners");
    for at in &own {
        if !listeners.iter().any(|listener| listener.value.name == at.value) {
            let what = format!("'{}' names nothing: there is no such listener", at.value);
            table.reader.wrong(&at.span, &at.field, what, "define it first");
        }
    }
    let values = table.texts("header-values");
    if !values.is_empty() && !by_header {
        let mend = "name the header at the top, as in tenant-header = \"x-member\"";
        let field = table.path("header-values");
        table.reader.wrong(&values[0].span, &field, "no header names tenants", mend);
    }
    if !table.has("networks") && own.is_empty() && values.is_empty() {
        let what = "nothing tells whose requests are this tenant's";
        let mend = "state networks, listeners or header-values";
        table.reader.wrong(&table.span, &table.field, what, mend);
    }
    let within = table.text("within").map(|at| at.value.to_string());
    let texts = |all: Vec<At<&str>>| all.into_iter().map(|at| at.value.to_string()).collect();
    let tenant = Tenant {
        name: name.value.to_string(),
        share,
        networks: networks.iter().map(|(network, ..)| *network).collect(),
        listeners: texts(own),
        values: texts(values),
        limit: limit(&table),
    };
    table.finish();
    Read { tenant, within, networks }
}

/// Networks that two tenants claim. Danger: one's traffic would count as the other's. Where it
/// is meant, the smaller says so by `within`.
fn overlaps(top: &Table, all: &[Read]) {
    let of = |n: usize| {
        let networks = all[n].networks.iter();
        networks.map(move |(network, span, field)| (n, *network, span, field))
    };
    let mut networks: Vec<_> = (0..all.len()).flat_map(of).collect();
    // Sorted so, a network comes before those that lie within it.
    networks.sort_by_key(|(_, network, ..)| (network.network(), network.prefix_len()));
    let mut open: Vec<&(usize, IpNet, &Span, &String)> = Vec::new();
    for one in &networks {
        open.retain(|outer| overlap(&outer.1, &one.1));
        // The smallest of the others' networks about it is the one it is taken out of.
        let about = open.iter().rev().find(|outer| outer.0 != one.0);
        let clash = about.filter(|outer| {
            let meant = all[one.0].within.as_ref() == Some(&all[outer.0].tenant.name);
            outer.1 == one.1 || !meant
        });
        if let Some(outer) = clash {
            let what = format!(
                "{} overlaps {} of tenant '{}' in line {}",
                one.1,
                outer.1,
                all[outer.0].tenant.name,
                top.reader.line(outer.2)
            );
            let mend = format!(
                "give the addresses to one of the two, or write within = \"{}\"",
                all[outer.0].tenant.name
            );
            top.reader.wrong(one.2, one.3, what, mend);
        }
        open.push(one);
    }
}

/// Listeners and header values that two tenants claim.
fn twice(top: &Table, all: &[Read]) {
    let mut seen: HashMap<(&str, &str), &str> = HashMap::new();
    for read in all {
        let tenant = &read.tenant;
        let listeners = tenant.listeners.iter().map(|name| ("listeners", name.as_str()));
        let values = tenant.values.iter().map(|value| ("header-values", value.as_str()));
        for claim in listeners.chain(values) {
            let Some(other) = seen.insert(claim, &tenant.name) else { continue };
            if other != tenant.name {
                let what = format!("'{}' is of tenant '{other}' already", claim.1);
                let field = format!("tenants.{}.{}", tenant.name, claim.0);
                let line = top.reader.span_of(&field);
                top.reader.wrong(&line, &field, what, "give it to one of the two");
            }
        }
    }
}

/// Limited routes are told apart by their names.
pub fn route_names(top: &Table, routes: &[super::routes::Read]) {
    let mut seen: HashMap<&str, usize> = HashMap::new();
    for read in routes.iter().filter(|read| !read.route.limit.is_none()) {
        if let Some(line) = seen.insert(&read.route.name, read.route.line) {
            let what = format!("route '{}' in line {line} is limited too", read.route.name);
            let mend = "give the two routes names of their own";
            top.reader.breaks(&read.span, &read.field, what, mend, None::<BrokenRule>);
        }
    }
}
