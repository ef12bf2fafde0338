//! Parses tenants: the networks, listeners and header values that identify their requests, and
//! their limits.

use super::error::FieldError;
use super::fields::{parse_header_name, HEADER_REMEDY};
use super::limits;
use super::reader::{Located, Location};
use super::table::{Member, Table};
use crate::model::{Listener, Tenant};
use http::HeaderName;
use ipnet::IpNet;
use mintshelf_admission::tenants::{networks_overlap, DEFAULT_TENANT};
use std::collections::HashMap;

/// Upper bound of the tenants, since each has an entry in every cluster's queue.
const MAX_TENANTS: usize = 256;

/// The tenants of a file.
pub struct ParsedTenants {
    /// The tenants in the order of the file.
    pub tenants: Vec<Tenant>,
    /// The header that names a request's tenant.
    pub header: Option<HeaderName>,
}

/// A tenant with the locations of its networks.
struct ParsedTenant {
    tenant: Tenant,
    /// The name of the tenant whose networks may contain the networks of this tenant; `None` if
    /// none may.
    within: Option<String>,
    networks: Vec<Located<IpNet>>,
}

/// Parses `[tenants]` and `tenant-header`.
pub fn parse(root: &Table, listeners: &[Located<Listener>]) -> ParsedTenants {
    let header = root.parsed("tenant-header", HEADER_REMEDY, parse_header_name);
    let tenants = match root.table("tenants") {
        Some(tables) => parse_all(&tables, listeners, header.is_some()),
        None => Vec::new(),
    };
    check_within(root, &tenants);
    check_networks(root, &tenants);
    check_unique(root, &tenants);
    ParsedTenants {
        tenants: tenants.into_iter().map(|parsed| parsed.tenant).collect(),
        header: header.map(|header| header.value),
    }
}

fn parse_all(
    tables: &Table,
    listeners: &[Located<Listener>],
    has_header: bool,
) -> Vec<ParsedTenant> {
    let mut tenants = Vec::new();
    for Member { name, value } in tables.members() {
        let Some(table) = tables.as_table(value, "[tenants.NAME]") else { continue };
        tenants.push(tenant(&table, &name, listeners, has_header));
        table.finish();
    }
    if tenants.len() > MAX_TENANTS {
        let message =
            format!("there are {} tenants, more than the maximum of {MAX_TENANTS}", tenants.len());
        tables.reader.report(&tables.location, message, "combine several into one");
    }
    tenants
}

fn tenant(
    table: &Table,
    name: &Located<&str>,
    listeners: &[Located<Listener>],
    has_header: bool,
) -> ParsedTenant {
    if name.value == DEFAULT_TENANT {
        let message = format!("'{DEFAULT_TENANT}' is reserved for requests that match no tenant");
        table.reader.report(&name.location, message, "choose another name");
    }
    let networks = networks(table);
    let listeners = own_listeners(table, listeners);
    let header_values = header_values(table, has_header);
    if !table.has("networks") && listeners.is_empty() && header_values.is_empty() {
        let message = "nothing identifies the tenant's requests";
        let remedy = "set networks, listeners or header-values";
        table.reader.report(&table.location, message, remedy);
    }
    let tenant = Tenant {
        name: name.value.to_string(),
        share: table.number("share", 1.0, 0.001..=1e6).value,
        networks: networks.iter().map(|network| network.value).collect(),
        listeners,
        header_values,
        limit: limits::limit(table),
    };
    let within = table.text("within").map(|within| within.value.to_string());
    ParsedTenant { tenant, within, networks }
}

fn networks(table: &Table) -> Vec<Located<IpNet>> {
    let remedy = "write a network as in \"10.0.0.0/8\" or \"2001:db8::/32\"";
    let parse = |text: &str| text.parse::<IpNet>().map_err(FieldError::Network);
    let mut networks = Vec::new();
    for text in table.texts("networks") {
        let Some(network) = table.parse(text, remedy, parse) else { continue };
        let truncated = network.value.trunc();
        if network.value != truncated {
            let message = format!("{} has host bits set", network.value);
            table.reader.report(&network.location, message, format!("write {truncated}"));
        }
        networks.push(network.map(|network| network.trunc()));
    }
    networks
}

fn own_listeners(table: &Table, listeners: &[Located<Listener>]) -> Vec<String> {
    let own = table.texts("listeners");
    for located in &own {
        if !listeners.iter().any(|listener| listener.value.name == located.value) {
            let message = format!("'{}' names nothing: there is no such listener", located.value);
            table.reader.report_reference(&located.location, message, "define it", None);
        }
    }
    own.into_iter().map(|located| located.value.to_string()).collect()
}

fn header_values(table: &Table, has_header: bool) -> Vec<String> {
    let values = table.texts("header-values");
    if let Some(first) = values.first().filter(|_| !has_header) {
        let location =
            Location { span: first.location.span.clone(), field: table.path("header-values") };
        let remedy = "set it at the top of the file, as in tenant-header = \"x-member\"";
        table.reader.report(&location, "there is no tenant header", remedy);
    }
    values.into_iter().map(|located| located.value.to_string()).collect()
}

/// Returns the location of a tenant's field.
fn field_location(root: &Table, tenant: &Tenant, key: &str) -> Location {
    root.reader.location_of_field(format!("tenants.{}.{key}", tenant.name))
}

/// Checks that `within` names a tenant.
fn check_within(root: &Table, tenants: &[ParsedTenant]) {
    for parsed in tenants {
        let Some(name) = &parsed.within else { continue };
        if tenants.iter().any(|other| other.tenant.name == *name) {
            continue;
        }
        let message = format!("'{name}' names nothing: there is no such tenant");
        let location = field_location(root, &parsed.tenant, "within");
        root.reader.report_reference(&location, message, "name another tenant", None);
    }
}

/// A network of a tenant.
struct TenantNetwork<'tenants> {
    tenant: &'tenants ParsedTenant,
    network: IpNet,
    location: &'tenants Location,
}

impl TenantNetwork<'_> {
    fn is_of_tenant(&self, tenant: &ParsedTenant) -> bool {
        std::ptr::eq(self.tenant, tenant)
    }

    /// Returns whether this network is allowed to lie within `outer`.
    fn may_lie_within(&self, outer: &TenantNetwork) -> bool {
        self.network != outer.network
            && self.tenant.within.as_ref() == Some(&outer.tenant.tenant.name)
    }
}

/// Checks that networks of different tenants do not overlap, since traffic of one would count as
/// the other's. A tenant may own a part of another's network if it sets `within`.
fn check_networks(root: &Table, tenants: &[ParsedTenant]) {
    let mut networks: Vec<TenantNetwork> = tenants
        .iter()
        .flat_map(|tenant| {
            tenant.networks.iter().map(move |located| TenantNetwork {
                tenant,
                network: located.value,
                location: &located.location,
            })
        })
        .collect();
    // In this order a network precedes those that lie within it.
    networks.sort_by_key(|network| (network.network.network(), network.network.prefix_len()));
    let mut enclosing: Vec<&TenantNetwork> = Vec::new();
    for inner in &networks {
        enclosing.retain(|outer| networks_overlap(&outer.network, &inner.network));
        // Of the other tenants' enclosing networks the smallest is the one that is split.
        let mut others = enclosing.iter().rev();
        let outer = others.find(|outer| !outer.is_of_tenant(inner.tenant));
        if let Some(outer) = outer.filter(|outer| !inner.may_lie_within(outer)) {
            report_overlap(root, inner, outer);
        }
        enclosing.push(inner);
    }
}

fn report_overlap(root: &Table, inner: &TenantNetwork, outer: &TenantNetwork) {
    let other = &outer.tenant.tenant.name;
    let message = format!(
        "{} overlaps {} of tenant '{other}' in line {}",
        inner.network,
        outer.network,
        root.reader.line(outer.location)
    );
    let remedy = format!("assign the addresses to one of the two, or write within = \"{other}\"");
    root.reader.report(inner.location, message, remedy);
}

/// Checks that tenants do not share a listener or a header value.
fn check_unique(root: &Table, tenants: &[ParsedTenant]) {
    let mut claims: HashMap<(&str, &str), &str> = HashMap::new();
    for ParsedTenant { tenant, .. } in tenants {
        let listeners = tenant.listeners.iter().map(|name| ("listeners", name.as_str()));
        let values = tenant.header_values.iter().map(|value| ("header-values", value.as_str()));
        for (key, claimed) in listeners.chain(values) {
            let Some(other) = claims.insert((key, claimed), &tenant.name) else { continue };
            if other != tenant.name {
                let message = format!("'{claimed}' already belongs to tenant '{other}'");
                let location = field_location(root, tenant, key);
                root.reader.report(&location, message, "assign it to one of the two");
            }
        }
    }
}
