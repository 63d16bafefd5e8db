//! The pooler's configuration, decoded from the platform's JSON file. Unknown keys are ignored.

mod document;
mod error;
mod proxy_settings;

pub use error::ConfigError;
pub use proxy_settings::ProxySettings;

use crate::discovery::endpoint_list::EndpointList;
use crate::startup_retry::retry_transient;
use document::ConfigDocument;
use pooler_routing::settings::SettingsMap;
use pooler_routing::{Discovery, Settings, Timestamp};
use std::net::SocketAddr;
use std::path::Path;

/// The least number of file descriptors with which a pooler can serve a few clients and servers.
const MIN_DESCRIPTORS: usize = 24;
/// The least memory with which a pooler can serve a few clients and servers, in MiB.
const MIN_MEMORY_MIB: f64 = 8.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// The configuration of a pooler.
#[derive(Clone, Debug)]
pub struct Config {
    /// The pooler's name, which appears in its log.
    pub name: String,
    /// The address on which the pooler listens for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service; `None` if another source provides the endpoints.
    pub discovery_address: Option<SocketAddr>,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// The memory that the process may use, in bytes.
    pub max_memory: usize,
    /// The last known endpoint list, as a snapshot; the pooler serves from it until discovery reports.
    pub known_endpoints: EndpointList,
    /// The settings of the router.
    pub settings: Settings,
    /// The settings of the proxy.
    pub proxy: ProxySettings,
}

impl Config {
    /// Reads and decodes the configuration file at `path`.
    ///
    /// # Errors
    ///
    /// When the file can't be read or decoded.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Self::decode_file(path, std::fs::read_to_string(path))
    }

    /// Like [`load`](Self::load), for the start of the process: if the file can't be read because of a
    /// transient error, reading is retried for a limited time.
    ///
    /// # Errors
    ///
    /// When the file can't be read or decoded.
    pub fn load_at_start(path: &Path) -> Result<Self, ConfigError> {
        Self::decode_file(path, retry_transient(|| std::fs::read_to_string(path)))
    }

    fn decode_file(path: &Path, text: std::io::Result<String>) -> Result<Self, ConfigError> {
        let text = text.map_err(|error| ConfigError::Read { path: path.display().to_string(), error })?;
        let in_file =
            |error| ConfigError::InFile { path: path.display().to_string(), error: Box::new(error) };
        Self::decode(&text).map_err(in_file)
    }

    /// Decodes a configuration from JSON.
    ///
    /// # Errors
    ///
    /// When the text is not JSON of the expected structure, or a setting is missing or invalid.
    pub fn decode(text: &str) -> Result<Self, ConfigError> {
        let document: ConfigDocument = serde_json::from_str(text)?;
        let map = SettingsMap::from_json(&document.settings);
        let settings = router_settings(&map)?;
        let proxy = ProxySettings::decode(&map)?;
        let seed = document.seed()?;
        let max_descriptors = document.limits.sockets;
        if max_descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors {
                configured: max_descriptors,
                required: MIN_DESCRIPTORS,
            });
        }
        let memory_mib = document.limits.memory_mb;
        if memory_mib < MIN_MEMORY_MIB {
            return Err(ConfigError::TooLittleMemory { configured: memory_mib, required: MIN_MEMORY_MIB });
        }
        Ok(Self {
            name: document.name,
            listen: document.listen,
            discovery_address: document.discovery,
            seed,
            max_descriptors,
            max_memory: (memory_mib * BYTES_PER_MIB) as usize,
            known_endpoints: EndpointList { is_snapshot: true, ..document.known },
            settings,
            proxy,
        })
    }
}

/// The settings of the router; some of them are fixed by the proxy rather than configured.
fn router_settings(map: &SettingsMap) -> Result<Settings, ConfigError> {
    Ok(Settings {
        // In the protocol, log positions are Unix times, as are the clock's timestamps.
        position_epoch: Timestamp(0),
        // The proxy itself watches discovery, and keeps at most one attempt of a request in flight.
        discovery: Discovery::Push,
        hedging_allowed: false,
        ..map.settings()?
    })
}
