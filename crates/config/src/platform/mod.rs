//! The sidecar's configuration on the platform: the JSON file that `RELAY_CONFIG` names.

mod error;
mod names;
mod raw;

pub use error::ConfigError;
pub use names::Names;

use error::{ContentError, MIN_FILE_DESCRIPTORS};
use mintshelf_balancer::api::Settings;
use mintshelf_balancer::settings::parse_settings;
use raw::{parse_json, RawConfig};
use std::net::SocketAddr;
use std::path::Path;

/// The configuration that a sidecar starts with.
#[derive(Debug)]
pub struct PlatformConfig {
    /// The name of the sidecar, for the log.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed for random numbers, different at each start.
    pub seed: u64,
    /// The file descriptors that the process may use.
    pub file_descriptors: usize,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The address at which datagrams from peers arrive, if there are peers.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all sidecars of the tier, indexed by sidecar number.
    pub peers: Vec<SocketAddr>,
    /// A broadcast address for datagrams that reaches all peers, if there is one.
    pub broadcast_address: Option<SocketAddr>,
    /// The endpoint list as last cached, in the form of discovery.
    pub cached_list: Option<String>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, tenants and other items that the decision module identifies by
    /// index.
    pub names: Names,
}

impl PlatformConfig {
    /// Reads and validates the configuration file at this path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or a field is missing or invalid.
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
        // Of two classes or tenants of one name, one would get the effect or share of the other.
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

/// Checks that the names under a key of the settings are unique.
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
