//! The decoder: turns an evaluated file into settings, with the checks that a schema can't express.

use crate::diagnostic::{Diagnostic, DiagnosticKind, Diagnostics, SettingError};
use crate::export::ExportedValue;
use crate::settings::{
    ClientIdentitySettings, FetchMode, LogSettings, MetadataKeys, NetworkSettings, OperatorConfig,
    RegistrationSettings, RegistrySettings, ServerSettings, UserSettings,
};
use ipnet::IpNet;
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(86_400);
const TENTH_OF_SECOND: Duration = Duration::from_millis(100);

const KILOBYTE: u64 = 1_024;
const MEGABYTE: u64 = 1_024 * 1_024;
const BODY_SIZE_RANGE: RangeInclusive<u64> = 64 * KILOBYTE..=1_024 * MEGABYTE;

const MAX_SERVERS: usize = 16;
const MAX_APPS: usize = 256;
const MAX_NETWORKS: usize = 10_000;

/// The value of `registry.believe_after` with which a suspected loss is never accepted.
const BELIEVE_NEVER: &str = "never";
/// The value of `registry.lifts` with which the removal of an override ends a drain.
const LIFTS_OVERRIDE: &str = "override";

/// An evaluated file, with the fields and types of its schema.
#[derive(Deserialize)]
struct RawFile {
    registry: Option<RawRegistry>,
    log: LogSettings,
}

#[derive(Deserialize)]
struct RawRegistry {
    servers: Vec<RawServer>,
    apps: Vec<String>,
    networks: Vec<RawNetwork>,
    read: FetchMode,
    vip: String,
    interval: String,
    patience: String,
    longest_pause: String,
    most_body: String,
    lost_share: f64,
    believe_after: String,
    lifts: String,
    metadata: MetadataKeys,
    primary: String,
    group: Option<i64>,
    secure_port: bool,
    user: Option<UserSettings>,
    ca: Option<PathBuf>,
    identity: Option<ClientIdentitySettings>,
    register: Option<RawRegistration>,
}

#[derive(Deserialize)]
struct RawServer {
    url: String,
    at: Option<String>,
}

#[derive(Deserialize)]
struct RawNetwork {
    prefix: String,
    zone: String,
}

#[derive(Deserialize)]
struct RawRegistration {
    app: String,
    id: Option<String>,
    renew: String,
    expires: String,
}

/// Decodes an evaluated file. All invalid settings are reported together.
pub(crate) fn decode(exported: &ExportedValue) -> Result<OperatorConfig, Diagnostics> {
    let raw: RawFile = serde_json::from_value(exported.json.clone())
        .map_err(|error| Diagnostic::of_file(DiagnosticKind::Undecodable(error)))?;
    let mut decoder = Decoder { exported, diagnostics: Diagnostics::default() };
    let registry = raw.registry.map(|registry| decoder.registry(registry));
    decoder.diagnostics.into_result(OperatorConfig { registry, log: raw.log })
}

/// Decodes settings, and collects a diagnostic for each invalid one.
struct Decoder<'e> {
    exported: &'e ExportedValue,
    diagnostics: Diagnostics,
}

impl Decoder<'_> {
    /// Adds a diagnostic for the setting at `path`.
    fn report(&mut self, path: &str, error: impl Into<SettingError>) {
        let kind = DiagnosticKind::InvalidSetting { path: path.to_owned(), error: error.into() };
        self.diagnostics.push(Diagnostic::new(self.exported.position(path), kind));
    }

    fn registry(&mut self, raw: RawRegistry) -> RegistrySettings {
        self.check_count("registry.servers", raw.servers.len(), MAX_SERVERS);
        self.check_count("registry.apps", raw.apps.len(), MAX_APPS);
        self.check_count("registry.networks", raw.networks.len(), MAX_NETWORKS);
        self.check_fetch_mode(&raw);
        RegistrySettings {
            poll_interval: self.duration("registry.interval", &raw.interval, TENTH_OF_SECOND..=HOUR),
            call_timeout: self.duration("registry.patience", &raw.patience, TENTH_OF_SECOND..=10 * MINUTE),
            max_backoff: self.duration("registry.longest_pause", &raw.longest_pause, TENTH_OF_SECOND..=HOUR),
            max_body_bytes: self.body_size("registry.most_body", &raw.most_body),
            accept_loss_after: self.accept_loss_after(&raw.believe_after),
            servers: self.servers(raw.servers),
            networks: self.networks(raw.networks),
            registration: raw.register.map(|register| self.registration(register)),
            apps: raw.apps,
            fetch_mode: raw.read,
            vip_address: raw.vip,
            max_missing_fraction: raw.lost_share,
            accept_override_removal: raw.lifts == LIFTS_OVERRIDE,
            metadata_keys: raw.metadata,
            primary_role: raw.primary,
            default_group: raw.group,
            use_secure_port: raw.secure_port,
            user: raw.user,
            ca_file: raw.ca,
            identity: raw.identity,
        }
    }

    fn check_count(&mut self, path: &str, count: usize, max: usize) {
        if count == 0 || count > max {
            self.report(path, SettingError::WrongCount { count, max });
        }
    }

    fn check_fetch_mode(&mut self, raw: &RawRegistry) {
        if raw.read == FetchMode::App && raw.apps.len() > 1 {
            self.report("registry.read", SettingError::MultipleApps);
        }
        if (raw.read == FetchMode::Vip) == raw.vip.is_empty() {
            self.report("registry.vip", SettingError::VipModeMismatch);
        }
    }

    fn servers(&mut self, raw: Vec<RawServer>) -> Vec<ServerSettings> {
        let mut servers: Vec<ServerSettings> = Vec::new();
        for (index, server) in raw.into_iter().enumerate() {
            let path = format!("registry.servers[{index}]");
            let address = server.at.and_then(|text| self.address(&format!("{path}.at"), &text));
            if servers.iter().any(|other| other.url == server.url) {
                self.report(&format!("{path}.url"), SettingError::DuplicateUrl);
            }
            servers.push(ServerSettings { url: server.url, address });
        }
        servers
    }

    fn address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        text.parse::<SocketAddr>().map_err(|error| self.report(path, error)).ok()
    }

    fn networks(&mut self, raw: Vec<RawNetwork>) -> Vec<NetworkSettings> {
        let mut networks = Vec::new();
        let mut seen = HashSet::new();
        for (index, network) in raw.into_iter().enumerate() {
            let path = format!("registry.networks[{index}].prefix");
            let zone = Some(network.zone).filter(|zone| !zone.is_empty());
            match network.prefix.parse::<IpNet>() {
                Ok(prefix) if prefix.trunc() != prefix => {
                    self.report(&path, SettingError::HostBitsSet { network: prefix });
                }
                Ok(prefix) if !seen.insert(prefix) => {
                    self.report(&path, SettingError::DuplicateNetwork { network: prefix });
                }
                Ok(prefix) => networks.push(NetworkSettings { prefix, zone }),
                Err(error) => self.report(&path, error),
            }
        }
        networks
    }

    fn accept_loss_after(&mut self, text: &str) -> Option<Duration> {
        if text == BELIEVE_NEVER {
            return None;
        }
        Some(self.duration("registry.believe_after", text, SECOND..=30 * DAY))
    }

    fn registration(&mut self, raw: RawRegistration) -> RegistrationSettings {
        let renewal_interval = self.duration("registry.register.renew", &raw.renew, SECOND..=HOUR);
        let lease_duration = self.duration("registry.register.expires", &raw.expires, SECOND..=DAY);
        if lease_duration < renewal_interval * 2 {
            self.report("registry.register.expires", SettingError::LeaseTooShort);
        }
        RegistrationSettings { app: raw.app, id: raw.id, renewal_interval, lease_duration }
    }

    /// Decodes a duration, which the schema has checked to be digits and a unit; `range` includes its limits.
    fn duration(&mut self, path: &str, text: &str, range: RangeInclusive<Duration>) -> Duration {
        let unit_start = text.find(|character: char| !character.is_ascii_digit()).unwrap_or(text.len());
        let (number, unit) = text.split_at(unit_start);
        let number: u64 = number.parse().unwrap_or(0);
        let milliseconds = match unit {
            "ms" => number,
            "s" => number * 1_000,
            "m" => number * 60_000,
            _ => number * 3_600_000,
        };
        let duration = Duration::from_millis(milliseconds);
        if !range.contains(&duration) {
            let (min, max) = range.into_inner();
            self.report(path, SettingError::DurationOutOfRange { text: text.to_owned(), min, max });
        }
        duration
    }

    /// Decodes a size, which the schema has checked to be digits and KB or MB, to bytes.
    fn body_size(&mut self, path: &str, text: &str) -> u64 {
        let (number, unit) = text.split_at(text.len() - "KB".len());
        let unit_bytes = if unit == "KB" { KILOBYTE } else { MEGABYTE };
        let bytes = number.parse::<u64>().unwrap_or(0) * unit_bytes;
        if !BODY_SIZE_RANGE.contains(&bytes) {
            self.report(path, SettingError::SizeOutOfRange);
        }
        bytes
    }
}
