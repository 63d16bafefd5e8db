//! The JSON structure of the configuration file as the platform writes it.

use super::error::ConfigError;
use crate::discovery::endpoint_list::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The number of file descriptors that the process may open if the file does not set `limits.sockets`.
const DEFAULT_SOCKETS: usize = 1_024;
/// The memory that the process may use, in MiB, if the file does not set `limits.memory_mb`.
const DEFAULT_MEMORY_MIB: f64 = 192.0;

/// The top level of the configuration file.
#[derive(Deserialize)]
pub(super) struct ConfigDocument {
    #[serde(default)]
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    #[serde(default)]
    pub(super) discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    pub(super) limits: LimitsDocument,
    #[serde(default)]
    pub(super) known: EndpointList,
    pub(super) settings: Value,
}

/// The `limits` of the configuration file; other limits than these are ignored.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct LimitsDocument {
    pub(super) sockets: usize,
    pub(super) memory_mb: f64,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        Self { sockets: DEFAULT_SOCKETS, memory_mb: DEFAULT_MEMORY_MIB }
    }
}

impl ConfigDocument {
    /// The seed, which the file gives as a number or as a string of hexadecimal digits; 0 if the file has
    /// none.
    pub(super) fn seed(&self) -> Result<u64, ConfigError> {
        match &self.seed {
            Value::Null => Ok(0),
            Value::Number(number) => Ok(number.as_u64().unwrap_or(0)),
            other => {
                let digits = other.as_str().unwrap_or("");
                u64::from_str_radix(digits, 16).map_err(|_| ConfigError::Seed(digits.to_owned()))
            }
        }
    }
}
