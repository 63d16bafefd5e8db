//! An instance as Eureka's servers write it, in JSON or XML.
//!
//! Source: the wiki page "Eureka REST operations" and the schema given there.

mod raw;

use raw::RawInstance;
use std::collections::BTreeMap;

/// Why an instance can't be read.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// It is no JSON object of this kind.
    #[error("an instance that can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// It is no XML element of this kind.
    #[error("an instance that can't be read: {0}")]
    Xml(#[from] quick_xml::DeError),
    /// It is no text.
    #[error("an instance that can't be read: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// One of its fields is missing or can't be used.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

/// A field of an instance that is missing or can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("instance '{id}': {field} is '{value}'")]
pub struct InvalidField {
    /// The instance's id, cut to 64 characters.
    pub id: String,
    /// The field, by its name on the wire.
    pub field: &'static str,
    /// What it holds, cut to 64 characters.
    pub value: String,
}

/// An instance's state as the registry reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceStatus {
    /// Down.
    Down,
    /// Taken out of service on purpose.
    OutOfService,
    /// Not ready yet.
    Starting,
    /// Not known.
    Unknown,
    /// In service.
    Up,
}

impl InstanceStatus {
    /// All statuses, in the order in which a hash code names them.
    pub const ALL: [Self; 5] = [Self::Down, Self::OutOfService, Self::Starting, Self::Unknown, Self::Up];

    /// The name on the wire.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Down => "DOWN",
            Self::OutOfService => "OUT_OF_SERVICE",
            Self::Starting => "STARTING",
            Self::Unknown => "UNKNOWN",
            Self::Up => "UP",
        }
    }

    /// The status of this name; any other name counts as unknown, as in Eureka's own clients.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self::ALL.into_iter().find(|status| status.name().eq_ignore_ascii_case(name)).unwrap_or(Self::Unknown)
    }
}

/// What a delta says happened to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ActionType {
    /// It registered.
    #[default]
    Added,
    /// It changed.
    Modified,
    /// It was deleted.
    Deleted,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its id; the host name where a registry gives none, as in Eureka's own clients.
    pub id: String,
    /// Its application.
    pub app: String,
    /// Its IP address as text.
    pub ip_address: String,
    /// Its host name.
    pub host_name: String,
    /// Its port, unless it is disabled.
    pub port: Option<u16>,
    /// Its port for TLS, unless it is disabled.
    pub secure_port: Option<u16>,
    /// Its virtual addresses, separated by commas.
    pub vip_address: String,
    /// The status that counts: the registry has put an override in its place already.
    pub status: InstanceStatus,
    /// The status that somebody set over its own; [`InstanceStatus::Unknown`] for none.
    pub overridden_status: InstanceStatus,
    /// When it last changed itself, in ms by its own clock.
    pub last_dirty_ms: i64,
    /// When the registry last changed it, in ms by the registry's clock.
    pub last_updated_ms: i64,
    /// When its lease began, in ms by the clock of the registry's server that reports it.
    pub lease_started_ms: i64,
    /// What a delta says happened to it.
    pub action: ActionType,
    /// What its operators say of it.
    pub metadata: BTreeMap<String, String>,
}

impl Instance {
    /// Decodes an instance from JSON.
    ///
    /// # Errors
    ///
    /// When it is no such object, or a field that is needed is missing or can't be used.
    pub fn from_json(bytes: &[u8]) -> Result<Self, InstanceError> {
        let raw: RawInstance = serde_json::from_slice(bytes)?;
        Ok(raw.into_instance()?)
    }

    /// Decodes an instance from an XML element.
    ///
    /// # Errors
    ///
    /// As [`Instance::from_json`].
    pub fn from_xml(bytes: &[u8]) -> Result<Self, InstanceError> {
        let text = std::str::from_utf8(bytes)?;
        let raw: RawInstance = quick_xml::de::from_str(text)?;
        Ok(raw.into_instance()?)
    }
}
