//! The configuration file that `RELAY_CONFIG` names.

use mintshelf_balancer::api::Settings;
use mintshelf_balancer::settings::parse_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why the sidecar cannot start: one line that names the file and the field.
#[derive(Debug)]
pub struct ConfigError {
    file: PathBuf,
    field: String,
    what: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let what = self.what.replace(['\n', '\r'], " ");
        write!(f, "{}: {}: {what}", self.file.display(), self.field)
    }
}

impl std::error::Error for ConfigError {}

/// What a sidecar is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// The most file descriptors the process may hold.
    pub sockets: usize,
    /// The memory it may use, in bytes.
    pub memory: usize,
    /// Where peers' datagrams arrive, if there are any.
    pub peer_listen: Option<SocketAddr>,
    /// The address of each sidecar of the tier, by number.
    pub peers: Vec<SocketAddr>,
    /// Reaches all of them.
    pub peers_all: Option<SocketAddr>,
    /// The list of servers as last held, in discovery's form.
    pub known: Option<String>,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names that the settings give to what the module numbers.
    pub names: Names,
}

/// Names in the settings, in the order of their numbers.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(from = "RawNames")]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Fields of a load report.
    pub report: Vec<String>,
}

#[derive(Deserialize)]
struct RawNames {
    classes: Vec<Named>,
    #[serde(default)]
    tenants: Vec<Named>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    flavors: Vec<String>,
    #[serde(default)]
    report: Report,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

#[derive(Deserialize, Default)]
struct Report {
    #[serde(default)]
    fields: Vec<String>,
}

impl From<RawNames> for Names {
    fn from(raw: RawNames) -> Self {
        let names = |of: Vec<Named>| of.into_iter().map(|n| n.name).collect();
        Names {
            classes: names(raw.classes),
            tenants: names(raw.tenants),
            zones: raw.zones,
            kinds: raw.flavors,
            report: raw.report.fields,
        }
    }
}

#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: RawLimits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

/// Fewest descriptors with which a sidecar can do its work.
const LEAST_SOCKETS: usize = 64;

impl Config {
    /// Reads the file.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        let error = |field: &str, what: String| ConfigError {
            file: file.to_path_buf(),
            field: field.to_string(),
            what,
        };
        let text = std::fs::read_to_string(file).map_err(|e| error("file", e.to_string()))?;
        let raw: RawConfig = parse(&text).map_err(|(field, what)| error(&field, what))?;
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|e| error("seed", format!("'{}': {e}", raw.seed)))?;
        if raw.limits.sockets < LEAST_SOCKETS {
            let what = format!("{} is under {LEAST_SOCKETS}", raw.limits.sockets);
            return Err(error("limits.sockets", what));
        }
        let text = raw.settings.to_string();
        let settings =
            parse_settings(&text).map_err(|cause| error("settings", cause.to_string()))?;
        let names: Names =
            parse(&text).map_err(|(field, what)| error(&format!("settings.{field}"), what))?;
        for (field, names) in [("classes", &names.classes), ("tenants", &names.tenants)] {
            // Danger: requests of one would get the effect, or the share, of the other.
            let twice = |at: &usize| names[..*at].contains(&names[*at]);
            if let Some(at) = (0..names.len()).find(twice) {
                let field = format!("settings.{field}[{at}].name");
                return Err(error(&field, format!("'{}' is there twice", names[at])));
            }
        }
        if settings.max_attempts == 0 {
            let what = "is 0: nothing could be sent to any server; it is 1 at least";
            return Err(error("settings.limits.max-attempts", what.into()));
        }
        if settings.has_peers && raw.peer_listen.is_none() {
            return Err(error("peer_listen", "is missing, but the settings allow peers".into()));
        }
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            sockets: raw.limits.sockets,
            memory: raw.limits.memory_mb << 20,
            peer_listen: raw.peer_listen,
            peers: raw.peers,
            peers_all: raw.peers_all,
            known: raw.known.map(|known| known.to_string()),
            settings,
            names,
        })
    }
}

/// Reads JSON; an error comes with the path of the field at fault.
fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, (String, String)> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        let field = if path == "." { "content".to_string() } else { path };
        (field, e.into_inner().to_string())
    })
}
