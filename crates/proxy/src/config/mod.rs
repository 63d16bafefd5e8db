//! The pooler's configuration, decoded from the platform's file into plain types. Keys that mean nothing here are ignored.

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

/// The least number of descriptors with which a pooler can serve a few clients and servers.
const MIN_SOCKETS: usize = 24;

/// The configuration of a pooler.
#[derive(Clone, Debug)]
pub struct Config {
    /// The pooler's name.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery; `None` where another source provides the endpoints.
    pub discovery: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The number of descriptors that the process may open.
    pub sockets: usize,
    /// The last known endpoint list, a snapshot.
    pub known: EndpointList,
    /// The router's settings.
    pub settings: Settings,
    /// The proxy's settings.
    pub proxy: ProxySettings,
}

impl Config {
    /// Reads the configuration at `path`.
    ///
    /// # Errors
    ///
    /// When it can't be read or decoded.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Self::decode_file(path, std::fs::read_to_string(path))
    }

    /// The same during the start of the process, which retries for a while if the file can't be read.
    ///
    /// # Errors
    ///
    /// When it can't be read or decoded.
    pub fn load_at_start(path: &Path) -> Result<Self, ConfigError> {
        Self::decode_file(path, retry_transient(|| std::fs::read_to_string(path)))
    }

    fn decode_file(path: &Path, text: std::io::Result<String>) -> Result<Self, ConfigError> {
        let text = text.map_err(|error| ConfigError::Read { path: path.display().to_string(), error })?;
        let in_file =
            |error| ConfigError::InFile { path: path.display().to_string(), error: Box::new(error) };
        Self::decode(&text).map_err(in_file)
    }

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// When it is not what `DEPLOY` describes, or a setting is missing or unreadable.
    pub fn decode(text: &str) -> Result<Self, ConfigError> {
        let document: ConfigDocument = serde_json::from_str(text)?;
        let map = SettingsMap::from_json(&document.settings);
        let settings = router_settings(&map)?;
        let proxy = ProxySettings::decode(&map)?;
        let seed = document.seed()?;
        let sockets = document.limits.sockets;
        if sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets { given: sockets, needed: MIN_SOCKETS });
        }
        Ok(Self {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            seed,
            sockets,
            known: EndpointList { is_snapshot: true, ..document.known },
            settings,
            proxy,
        })
    }
}

/// The router's settings, including those that the proxy determines.
fn router_settings(map: &SettingsMap) -> Result<Settings, ConfigError> {
    Ok(Settings {
        // Log positions are Unix times in the protocol, as are the clock's timestamps.
        position_epoch: Timestamp(0),
        // The proxy watches discovery by itself, and keeps one attempt of a request in flight at a time.
        discovery: Discovery::Push,
        hedging_allowed: false,
        ..map.settings()?
    })
}
