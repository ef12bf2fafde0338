//! The sidecar's configuration on the platform: the JSON file that `RELAY_CONFIG` names.

use mintshelf_balancer::api::Settings;
use mintshelf_balancer::settings::{parse_settings, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};

/// Lower bound of the file descriptors with which a sidecar can do its work.
const MIN_FILE_DESCRIPTORS: usize = 64;

/// Why the sidecar cannot start. Its message is one line that names the file and the field.
#[derive(Debug, thiserror::Error)]
#[error("{}: {}: {}", .file.display(), .error.field(), one_line(.error))]
pub struct ConfigError {
    file: PathBuf,
    #[source]
    error: ContentError,
}

fn one_line(error: &ContentError) -> String {
    error.to_string().replace(['\n', '\r'], " ")
}

/// What is wrong with the content of the file.
#[derive(Debug, thiserror::Error)]
enum ContentError {
    #[error(transparent)]
    Unreadable(std::io::Error),
    /// Not JSON, or a field is missing or of another type.
    #[error("{error}")]
    Json { field: String, error: serde_json::Error },
    #[error("'{text}': {error}")]
    Seed { text: String, error: ParseIntError },
    #[error("{0} is under {MIN_FILE_DESCRIPTORS}")]
    FewFileDescriptors(usize),
    /// The decision module rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("'{name}' is there twice")]
    DuplicateName { field: String, name: String },
    #[error("is 0: nothing could be sent to any server; it is 1 at least")]
    NoAttempts,
    #[error("is missing, but the settings allow peers")]
    NoPeerAddress,
}

impl ContentError {
    /// The field at fault, as in `limits.sockets`.
    fn field(&self) -> &str {
        match self {
            ContentError::Unreadable(_) => "file",
            ContentError::Json { field, .. } | ContentError::DuplicateName { field, .. } => field,
            ContentError::Seed { .. } => "seed",
            ContentError::FewFileDescriptors(_) => "limits.sockets",
            ContentError::Settings(_) => "settings",
            ContentError::NoAttempts => "settings.limits.max-attempts",
            ContentError::NoPeerAddress => "peer_listen",
        }
    }
}

/// The configuration that a sidecar starts with.
#[derive(Debug)]
pub struct PlatformConfig {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed of random numbers, which differs between starts.
    pub seed: u64,
    /// Upper bound of the process's file descriptors.
    pub file_descriptors: usize,
    /// The memory that it may use.
    pub memory_bytes: usize,
    /// Where peers' datagrams arrive, if there are any.
    pub peer_listen: Option<SocketAddr>,
    /// The address of each sidecar of the tier, by number.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all of them.
    pub broadcast_address: Option<SocketAddr>,
    /// The endpoint list as last cached, in the form of discovery.
    pub cached_list: Option<String>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, tenants and other items that the module numbers.
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
    /// Hardware models.
    pub hardware_models: Vec<String>,
    /// Fields of a load report.
    pub report_fields: Vec<String>,
}

/// The names as the settings have them.
#[derive(Deserialize)]
struct RawNames {
    classes: Vec<RawNamed>,
    #[serde(default)]
    tenants: Vec<RawNamed>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    flavors: Vec<String>,
    #[serde(default)]
    report: RawReport,
}

#[derive(Deserialize)]
struct RawNamed {
    name: String,
}

#[derive(Deserialize, Default)]
struct RawReport {
    #[serde(default)]
    fields: Vec<String>,
}

impl From<RawNames> for Names {
    fn from(raw: RawNames) -> Self {
        let names = |named: Vec<RawNamed>| named.into_iter().map(|raw| raw.name).collect();
        Names {
            classes: names(raw.classes),
            tenants: names(raw.tenants),
            zones: raw.zones,
            hardware_models: raw.flavors,
            report_fields: raw.report.fields,
        }
    }
}

/// The file, as it is written.
#[derive(Deserialize)]
struct RawConfig<'a> {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: RawLimits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    /// Large in a large fleet, so it is parsed only where it is used and not at each reload.
    #[serde(default, borrow)]
    known: Option<&'a RawValue>,
    settings: Value,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

impl PlatformConfig {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or a field is missing or has an invalid value.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        Self::read_content(file).map_err(|error| ConfigError { file: file.to_path_buf(), error })
    }

    fn read_content(file: &Path) -> Result<Self, ContentError> {
        let text = std::fs::read_to_string(file).map_err(ContentError::Unreadable)?;
        let raw: RawConfig = parse_json(&text, "")?;
        let seed = parse_seed(&raw.seed)?;
        if raw.limits.sockets < MIN_FILE_DESCRIPTORS {
            return Err(ContentError::FewFileDescriptors(raw.limits.sockets));
        }
        let settings_text = raw.settings.to_string();
        let settings = parse_settings(&settings_text)?;
        let names: Names = parse_json(&settings_text, "settings.")?;
        // Of two classes or tenants with one name, one would get the effect or share of the other.
        check_unique("classes", &names.classes)?;
        check_unique("tenants", &names.tenants)?;
        if settings.max_attempts == 0 {
            return Err(ContentError::NoAttempts);
        }
        if settings.has_peers && raw.peer_listen.is_none() {
            return Err(ContentError::NoPeerAddress);
        }
        Ok(PlatformConfig {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            file_descriptors: raw.limits.sockets,
            memory_bytes: raw.limits.memory_mb << 20,
            peer_listen: raw.peer_listen,
            peers: raw.peers,
            broadcast_address: raw.peers_all,
            cached_list: raw.known.map(|list| list.get().to_string()),
            settings,
            names,
        })
    }
}

/// Parses the seed, which is a hexadecimal number.
fn parse_seed(text: &str) -> Result<u64, ContentError> {
    u64::from_str_radix(text, 16)
        .map_err(|error| ContentError::Seed { text: text.to_string(), error })
}

/// Checks that the names under a key of the settings differ.
fn check_unique(key: &str, names: &[String]) -> Result<(), ContentError> {
    let is_repeated = |index: &usize| names[..*index].contains(&names[*index]);
    match (0..names.len()).find(is_repeated) {
        Some(index) => Err(ContentError::DuplicateName {
            field: format!("settings.{key}[{index}].name"),
            name: names[index].clone(),
        }),
        None => Ok(()),
    }
}

/// Parses JSON. `prefix` comes before the path of the field at fault in an error.
fn parse_json<'a, T: Deserialize<'a>>(text: &'a str, prefix: &str) -> Result<T, ContentError> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { "content" } else { &path };
        let field = format!("{prefix}{path}");
        ContentError::Json { field, error: error.into_inner() }
    })
}
