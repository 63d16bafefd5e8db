//! The settings of an operator's file as plain types.

use ipnet::IpNet;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What an operator configures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The service registry that is watched, if one is.
    pub registry: Option<RegistrySettings>,
    /// The log on standard error.
    pub log: LogSettings,
}

/// What is fetched from a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FetchMode {
    /// All applications, and then the changes.
    #[default]
    Delta,
    /// All applications, at each poll.
    Full,
    /// One application, at each poll.
    App,
    /// One virtual address, at each poll.
    Vip,
}

/// A service registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// Its servers, the preferred one first.
    pub servers: Vec<ServerSettings>,
    /// The applications whose instances are endpoints.
    pub apps: Vec<String>,
    /// Where endpoints may lie.
    pub networks: Vec<NetworkSettings>,
    /// What is fetched.
    pub fetch_mode: FetchMode,
    /// The virtual address that is fetched in [`FetchMode::Vip`].
    pub vip_address: String,
    /// Between two polls.
    pub poll_interval: Duration,
    /// How long a call may take.
    pub call_timeout: Duration,
    /// The longest backoff while all servers fail.
    pub max_backoff: Duration,
    /// A larger body is not read.
    pub max_body_bytes: u64,
    /// The fraction of the active endpoints that a snapshot may lack and still be believed.
    pub max_missing_fraction: f64,
    /// A suspected loss that lasts this long is believed; `None` never.
    pub accept_loss_after: Option<Duration>,
    /// Whether a drain ends when the override that caused it is taken back.
    pub accept_override_removal: bool,
    /// The metadata keys.
    pub metadata_keys: MetadataKeys,
    /// The role of a primary.
    pub primary_role: String,
    /// The group of instances that name none.
    pub default_group: Option<i64>,
    /// Whether endpoints are reached on their secure port.
    pub use_secure_port: bool,
    /// The user of HTTP basic authentication.
    pub user: Option<UserSettings>,
    /// The certificates of the authorities that are trusted.
    pub ca_file: Option<PathBuf>,
    /// The pooler's own certificate.
    pub identity: Option<ClientIdentitySettings>,
    /// How the pooler registers itself, if it does.
    pub registration: Option<RegistrationSettings>,
}

/// A server of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// Its URL.
    pub url: String,
    /// Where it listens if the URL's host is a name.
    pub address: Option<SocketAddr>,
}

/// A network in which endpoints may lie.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetworkSettings {
    /// The network.
    pub prefix: IpNet,
    /// The zone of what lies in it, where that is known.
    pub zone: Option<String>,
}

/// The keys of an instance's metadata.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MetadataKeys {
    /// Of the group.
    pub group: String,
    /// Of the zone.
    pub zone: String,
    /// Of the role.
    pub role: String,
    /// Of the last start.
    pub started: String,
}

/// The user of HTTP basic authentication.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct UserSettings {
    /// The user's name.
    pub name: String,
    /// The file that holds the password.
    pub password_file: PathBuf,
}

/// The pooler's own certificate.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ClientIdentitySettings {
    /// The file of the certificate.
    #[serde(rename = "certificate")]
    pub certificate_file: PathBuf,
    /// The file of the key.
    #[serde(rename = "key")]
    pub key_file: PathBuf,
}

/// How the pooler registers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrationSettings {
    /// Its application.
    pub app: String,
    /// Its id; by default its name and where it listens.
    pub id: Option<String>,
    /// How often the lease is renewed.
    pub renewal_interval: Duration,
    /// The duration of the lease: after so long without a renewal the registry may evict the registration.
    pub lease_duration: Duration,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Also what happens in normal operation.
    #[default]
    Info,
    /// Also details for debugging.
    Debug,
}

/// The log on standard error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LogSettings {
    /// The least severe level.
    pub level: LogLevel,
    /// The format of lines.
    pub format: LogFormat,
}
