//! Decodes an instance as Eureka servers write it, in JSON or XML.
//!
//! Reference: the wiki page "Eureka REST operations" and the schema given there.

mod raw;

use raw::RawInstance;
use std::collections::BTreeMap;

/// Why an instance can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// The bytes are not a JSON object with the structure of an instance.
    #[error("invalid instance JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is not an XML element with the structure of an instance.
    #[error("invalid instance XML: {0}")]
    Xml(#[from] quick_xml::DeError),
    /// The bytes of the XML element are not valid UTF-8.
    #[error("invalid instance XML: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// A field of the instance is missing or invalid.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

/// A field of an instance that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("instance '{id}': invalid {field} '{value}'")]
pub struct InvalidField {
    /// The instance id, cut to 64 characters.
    pub id: String,
    /// The name of the field on the wire.
    pub field: &'static str,
    /// The value of the field, cut to 64 characters.
    pub value: String,
}

/// The status of an instance as the registry reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceStatus {
    /// The instance is down.
    Down,
    /// The instance was taken out of service on purpose.
    OutOfService,
    /// The instance is not ready yet.
    Starting,
    /// The status is not known, or the registry reports one that Eureka does not define.
    Unknown,
    /// The instance is in service.
    Up,
}

impl InstanceStatus {
    /// All statuses, in alphabetical order of their names: the order in a hash code.
    pub const ALL: [Self; 5] = [Self::Down, Self::OutOfService, Self::Starting, Self::Unknown, Self::Up];

    /// The name of the status on the wire.
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

    /// The status with this name, in upper or lower case. Any other name counts as unknown, as in Eureka's
    /// own clients.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self::ALL.into_iter().find(|status| status.name().eq_ignore_ascii_case(name)).unwrap_or(Self::Unknown)
    }
}

/// The change of an instance that a delta reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ActionType {
    /// The instance registered.
    #[default]
    Added,
    /// The instance's data changed.
    Modified,
    /// The instance was deleted from the registry.
    Deleted,
}

/// An instance as the registry reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The instance id; the host name if the registry gives no id, as in Eureka's own clients.
    pub id: String,
    /// The name of the application that the instance belongs to, in any case.
    pub app: String,
    /// The IP address as the registry writes it, not validated.
    pub ip_address: String,
    /// The host name of the instance.
    pub host_name: String,
    /// The plain port; `None` if the port is missing or disabled.
    pub port: Option<u16>,
    /// The port for TLS; `None` if the port is missing or disabled.
    pub secure_port: Option<u16>,
    /// The virtual addresses of the instance, separated by commas.
    pub vip_address: String,
    /// The effective status. The registry has already replaced the instance's own status by an override, if
    /// any.
    pub status: InstanceStatus,
    /// The override of the instance's own status; [`InstanceStatus::Unknown`] if there is none.
    pub overridden_status: InstanceStatus,
    /// When the instance last changed its own data, in ms by the instance's clock (`lastDirtyTimestamp`).
    pub last_dirty_ms: i64,
    /// When the registry last changed the instance's record, in ms by the registry's clock.
    pub last_updated_ms: i64,
    /// When the instance's lease began, in ms by the clock of the registry server that reports the instance.
    pub lease_started_ms: i64,
    /// The change that a delta reports; [`ActionType::Added`] if the registry gives none.
    pub action: ActionType,
    /// The metadata that the instance's operators have set.
    pub metadata: BTreeMap<String, String>,
}

impl Instance {
    /// Decodes an instance from JSON.
    ///
    /// # Errors
    ///
    /// When `bytes` is not the JSON object of an instance, or a required field is missing, or a field is
    /// invalid.
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
