//! The configuration file as the platform writes it.

use super::error::ConfigError;
use crate::discovery::endpoint_list::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The number of descriptors that the process may open, if the file does not set it.
const DEFAULT_SOCKETS: usize = 1_024;

/// The content of the file.
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

/// The resources that the process may use.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct LimitsDocument {
    pub(super) sockets: usize,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        Self { sockets: DEFAULT_SOCKETS }
    }
}

impl ConfigDocument {
    /// The seed, given as a number or as hexadecimal digits; 0 if there is none.
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
