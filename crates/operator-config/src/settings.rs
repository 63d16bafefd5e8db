//! The decoded settings of an operator's file. The keys in the file, their units and defaults are in
//! `schema.cue`.

use ipnet::IpNet;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// All settings of an operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The service registry to watch; `None` uses no registry.
    pub registry: Option<RegistrySettings>,
    /// The settings of the log on standard error.
    pub log: LogSettings,
}

/// What a poll of the registry fetches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FetchMode {
    /// All applications at first, and then the changes.
    #[default]
    Delta,
    /// All applications at each poll.
    Full,
    /// The only configured application at each poll.
    App,
    /// The configured virtual address at each poll.
    Vip,
}

/// The settings of a service registry and of its client.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The registry's servers in the order in which they are tried, at least one.
    pub servers: Vec<ServerSettings>,
    /// The names of the applications whose instances are endpoints, at least one.
    pub apps: Vec<String>,
    /// The networks that may contain endpoints, at least one.
    pub networks: Vec<NetworkSettings>,
    /// What a poll fetches.
    pub fetch_mode: FetchMode,
    /// The virtual address that is fetched in [`FetchMode::Vip`]; empty in all other modes.
    pub vip_address: String,
    /// The time between two polls.
    pub poll_interval: Duration,
    /// The timeout of one call to a server.
    pub call_timeout: Duration,
    /// The maximum backoff between polls while all servers fail.
    pub max_backoff: Duration,
    /// The maximum size of a response body in bytes, after decompression.
    pub max_body_bytes: u64,
    /// The maximum fraction (0 to 1) of the active endpoints that a snapshot may lack and still be believed.
    pub max_missing_fraction: f64,
    /// How long a suspected loss must last until it is believed; `None` means that it never is.
    pub accept_loss_after: Option<Duration>,
    /// Whether a drain that a status override started also ends when the override is removed.
    pub accept_override_removal: bool,
    /// The metadata keys that hold the properties of an instance.
    pub metadata_keys: MetadataKeys,
    /// The value of the role metadata that marks an instance as a primary.
    pub primary_role: String,
    /// The group of instances whose metadata name none; `None` rejects such instances.
    pub default_group: Option<i64>,
    /// Whether endpoints are reached on the secure port of their instances rather than on the plain one.
    pub use_secure_port: bool,
    /// The credentials for HTTP basic authentication; `None` sends none.
    pub user: Option<UserSettings>,
    /// The PEM file with the trusted certificate authorities; with `None`, no authority is trusted.
    pub ca_file: Option<PathBuf>,
    /// The pooler's certificate for TLS client authentication; `None` presents none.
    pub identity: Option<ClientIdentitySettings>,
    /// The pooler's own registration; `None` registers nothing.
    pub registration: Option<RegistrationSettings>,
}

/// A server of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// The base URL of the server's REST API.
    pub url: String,
    /// The address to connect to; required if the URL's host is a name, because host names are not resolved.
    /// `None` connects to the IP address in the URL.
    pub address: Option<SocketAddr>,
}

/// A network that may contain endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetworkSettings {
    /// The network's address and prefix length.
    pub prefix: IpNet,
    /// The zone of endpoints in this network whose metadata name none; `None` if it is unknown.
    pub zone: Option<String>,
}

/// The keys in an instance's metadata under which its properties are found.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MetadataKeys {
    /// The key of the group, a whole number.
    pub group: String,
    /// The key of the zone.
    pub zone: String,
    /// The key of the role.
    pub role: String,
    /// The key of the time of the last start, in ms since 1970-01-01 UTC.
    pub started: String,
}

/// The credentials for HTTP basic authentication.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct UserSettings {
    /// The user's name, without colons.
    pub name: String,
    /// The file that contains the password and nothing else.
    pub password_file: PathBuf,
}

/// The certificate and private key that the pooler presents to the registry's servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ClientIdentitySettings {
    /// The PEM file with the certificate chain.
    #[serde(rename = "certificate")]
    pub certificate_file: PathBuf,
    /// The PEM file with the private key.
    #[serde(rename = "key")]
    pub key_file: PathBuf,
}

/// The pooler's own registration in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrationSettings {
    /// The application under which the pooler registers.
    pub app: String,
    /// The instance id; `None` makes it of the pooler's name and the address on which it listens.
    pub id: Option<String>,
    /// The time between two renewals of the registration lease.
    pub renewal_interval: Duration,
    /// The duration of the lease after a renewal; once it has passed, the registry may evict the
    /// registration.
    pub lease_duration: Duration,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
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
    /// Warnings, errors and events of normal operation.
    #[default]
    Info,
    /// Events of all levels, details for debugging included.
    Debug,
}

/// The settings of the log on standard error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LogLevel,
    /// The format of each log line.
    pub format: LogFormat,
}
