//! The settings of the proxy, in contrast to those of the router.

use pooler_routing::LoadReportField;
use pooler_routing::settings::{SettingsError, SettingsMap, duration_from_millis};
use std::time::Duration;

const DEFAULT_DEADLINE_MS: f64 = 1_000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_SERVER_IDLE_TIMEOUT_MS: f64 = 30_000.0;
/// The discovery mode in which one discovery service serves all poolers of the fleet.
const SHARED_DISCOVERY: &str = "ask";

/// The settings that apply to the proxy and not to the router.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// The time limit for opening a connection to a server.
    pub connect_timeout: Duration,
    /// The idle time after which servers close a connection of their own accord.
    pub server_idle_timeout: Duration,
    /// The longest deadline of any request class.
    pub longest_deadline: Duration,
    /// The fields of a load report, in order, each with its name.
    pub load_report_fields: Vec<(String, LoadReportField)>,
    /// Whether one discovery service serves the whole fleet; otherwise each pooler has a discovery agent of
    /// its own.
    pub shared_discovery: bool,
}

impl ProxySettings {
    /// Decodes the proxy's settings from the settings of the configuration.
    ///
    /// # Errors
    ///
    /// When a value is missing or invalid.
    pub(super) fn decode(map: &SettingsMap) -> Result<Self, SettingsError> {
        Ok(Self {
            longest_deadline: longest_deadline(map)?,
            connect_timeout: duration_or(map, "Limits.DialTimeout", DEFAULT_CONNECT_TIMEOUT_MS)?,
            server_idle_timeout: duration_or(map, "Limits.Keepalive", DEFAULT_SERVER_IDLE_TIMEOUT_MS)?,
            load_report_fields: load_report_fields(map),
            shared_discovery: map.text("Discovery")? == SHARED_DISCOVERY,
        })
    }
}

fn duration_or(map: &SettingsMap, key: &str, default_ms: f64) -> Result<Duration, SettingsError> {
    Ok(duration_from_millis(map.non_negative_number_or(key, default_ms)?).to_duration())
}

fn longest_deadline(map: &SettingsMap) -> Result<Duration, SettingsError> {
    let mut longest = Duration::ZERO;
    for class in 0..map.non_negative_number("Lanes.count")? as usize {
        let deadline = duration_or(map, &format!("Lanes.{class}.Deadline"), DEFAULT_DEADLINE_MS)?;
        longest = longest.max(deadline);
    }
    Ok(longest)
}

fn load_report_fields(map: &SettingsMap) -> Vec<(String, LoadReportField)> {
    let names = map.text("Report.Fields").unwrap_or("").split(',').filter(|name| !name.is_empty());
    names.map(|name| (name.to_owned(), LoadReportField::from_name(name))).collect()
}
