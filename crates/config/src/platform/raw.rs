//! The configuration as the platform writes it, with the platform's keys.
//!
//! | key | term |
//! | --- | --- |
//! | `limits.sockets` | file descriptors |
//! | `limits.memory_mb` | memory in MiB |
//! | `peer_listen`, `peers` | addresses for gossip |
//! | `peers_all` | broadcast address |
//! | `known` | cached endpoint list |
//! | `settings.flavors` | hardware models |
//! | `settings.report.fields` | fields of a load report |

use super::error::ContentError;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::net::SocketAddr;

/// The fields of the JSON file, before validation.
#[derive(Deserialize)]
pub(super) struct RawConfig<'a> {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) seed: String,
    pub(super) limits: RawLimits,
    pub(super) peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub(super) peers: Vec<SocketAddr>,
    pub(super) peers_all: Option<SocketAddr>,
    /// The endpoint list as last cached, unparsed: it is large in a large fleet, so it is parsed
    /// only where it is used and not at each reload.
    #[serde(default, borrow)]
    pub(super) known: Option<&'a RawValue>,
    pub(super) settings: Value,
}

#[derive(Deserialize)]
pub(super) struct RawLimits {
    pub(super) memory_mb: usize,
    pub(super) sockets: usize,
}

/// The named items of the settings.
#[derive(Deserialize)]
pub(super) struct RawNames {
    pub(super) classes: Vec<RawNamed>,
    #[serde(default)]
    pub(super) tenants: Vec<RawNamed>,
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(default)]
    pub(super) flavors: Vec<String>,
    #[serde(default)]
    pub(super) report: RawReport,
}

#[derive(Deserialize)]
pub(super) struct RawNamed {
    pub(super) name: String,
}

#[derive(Deserialize, Default)]
pub(super) struct RawReport {
    #[serde(default)]
    pub(super) fields: Vec<String>,
}

/// Parses JSON. `prefix` is prepended to the path of the invalid field in an error.
pub(super) fn parse_json<'a, T: Deserialize<'a>>(
    text: &'a str,
    prefix: &str,
) -> Result<T, ContentError> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { "content" } else { &path };
        let field = format!("{prefix}{path}");
        ContentError::Json { field, error: error.into_inner() }
    })
}
