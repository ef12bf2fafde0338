//! Parses the operator's TOML file into a validated [`OperatorConfig`], and reports all problems
//! in one run.
//!
//! Each module parses one part of the file through `table`, which reports problems to `reader`.
//! `parsed` holds intermediate results for later checks. Checks across tables (`references`,
//! `conflicts`, `attempt_checks`) run last.

mod actions;
mod attempt_checks;
mod attempts;
mod classes;
mod clusters;
mod conflicts;
mod endpoints;
mod error;
mod fields;
mod fleet;
mod header_edits;
mod limits;
mod parsed;
mod process;
mod reader;
mod redirect;
mod references;
mod respond;
mod routes;
mod sockets;
mod syntax;
mod table;
mod tenants;
mod value;

use crate::model::OperatorConfig;
use crate::problem::Problem;
use parsed::ParsedAttempts;
use reader::{Findings, KnownKeys, Reader};
use std::collections::BTreeMap;
use table::Table;
use toml::de::DeTable;
use xxhash_rust::xxh3::xxh3_64;

pub use parsed::DEFAULT_CLASS;

/// Parses and validates a file. `name` is the file name that problems are reported with.
///
/// # Errors
///
/// Returns all problems of the file, in the order of the text.
pub fn parse(name: &str, bytes: &[u8]) -> Result<OperatorConfig, Vec<Problem>> {
    let text = syntax::decode(name, bytes).map_err(|problem| vec![problem])?;
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    let reader = Reader::new(name, text);
    let root = Table::root(&reader, table.get_ref());
    let config = parse_root(&root, xxh3_64(bytes));
    root.finish();
    let Findings { problems, explicit_lines } = reader.finish();
    let problems = syntax::merge_errors(name, text, &syntax_errors, problems);
    if problems.is_empty() {
        Ok(OperatorConfig { explicit_lines, ..config })
    } else {
        Err(problems.into_iter().map(|located| located.problem).collect())
    }
}

/// Returns the keys that the parser accepts in each table of a file, by the table's path. Tests
/// compare them with the JSON schema.
#[must_use]
pub fn known_keys(text: &str) -> KnownKeys {
    let (table, _) = DeTable::parse_recoverable(text);
    let reader = Reader::new("", text).collecting_keys();
    let root = Table::root(&reader, table.get_ref());
    parse_root(&root, 0);
    root.finish();
    reader.into_known_keys()
}

fn parse_root(root: &Table, hash: u64) -> OperatorConfig {
    let admin = process::admin(root);
    let listeners = process::listeners(root);
    let tenants = tenants::parse(root, &listeners);
    let classes = classes::parse(root, &default_attempts(root));
    let clusters = clusters::parse(root);
    let routes::ParsedRoutes { mut routes, effective_classes } = routes::parse(root, &classes);
    sockets::apply_classes(root, &mut routes, &effective_classes);
    references::check_listeners(root, &listeners, admin.as_ref());
    references::check_names(root, &routes, &listeners, &classes, &clusters);
    conflicts::check_reachability(root, &routes, &listeners);
    conflicts::check_milder_routes(root, &routes, &classes);
    references::check_limited_routes(root, &routes);
    attempt_checks::check(root, &routes, &effective_classes, &clusters);
    OperatorConfig {
        listeners: listeners.into_iter().map(|listener| listener.value).collect(),
        routes: routes.into_iter().map(|parsed| parsed.route).collect(),
        classes: effective_classes.into_iter().map(|(name, parsed)| (name, parsed.class)).collect(),
        clusters: clusters.into_iter().map(|(name, cluster)| (name, cluster.value)).collect(),
        limits: process::limits(root),
        tenants: tenants.tenants,
        tenant_header: tenants.header,
        repeat_header: process::repeat_header(root),
        forwarding: process::forwarding(root),
        admin: admin.map(|address| address.value),
        fleet: fleet::parse(root),
        hash,
        explicit_lines: BTreeMap::new(),
    }
}

/// Returns the settings of attempts that all classes inherit.
fn default_attempts(root: &Table) -> ParsedAttempts {
    let inherited = ParsedAttempts::default();
    let Some(table) = root.table("defaults") else { return inherited };
    let attempts = attempts::parse(&table, &inherited);
    table.finish();
    attempts
}
