//! Maps an instance to the claim of an endpoint. The operator configures which applications hold endpoints,
//! in which networks endpoints may lie, and which metadata keys hold group, zone, role and start time.
//! Performs no I/O.

use super::instance::{ActionType, Instance, InstanceStatus};
use super::networks::Networks;
use pooler_routing::membership::{EndpointClaim, RecordAuthority, RecordVersion};
use pooler_routing::{EndpointId, GroupId, Lifecycle, Timestamp};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// The maximum number of characters of an instance's text that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// What ends a drain that was set by an override of the instance's own status. Removing an override leaves
/// the instance's `lastDirtyTimestamp` unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainRelease {
    /// Only a new registration by the instance, with a later `lastDirtyTimestamp`.
    #[default]
    Registration,
    /// Also the removal of the override, if the same registry server reports it later and under the same
    /// lease.
    OverrideRemoval,
}

/// The rules that map instances to endpoints.
#[derive(Clone, Debug, Default)]
pub struct InstanceMapping {
    /// The names of the applications whose instances are endpoints, in upper case.
    pub apps: BTreeSet<String>,
    /// The networks in which endpoints may lie.
    pub networks: Networks,
    /// The metadata key of the group, whose value is an integer.
    pub group_key: String,
    /// The group of instances whose metadata has no group; if `None`, such instances are rejected.
    pub default_group: Option<i64>,
    /// The metadata key of the zone.
    pub zone_key: String,
    /// The metadata key of the role.
    pub role_key: String,
    /// The value of the role that marks a primary.
    pub primary_role: String,
    /// The metadata key of the time of the last start, in ms since 1970.
    pub started_at_key: String,
    /// Whether endpoints listen on the instance's secure port instead of its plain one.
    pub use_secure_port: bool,
    /// What ends a drain that was set by an override.
    pub drain_release: DrainRelease,
}

/// Why an instance can't be an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MappingError {
    /// The instance's application is not in [`InstanceMapping::apps`].
    #[error("application is not configured")]
    OtherApplication,
    /// The instance's address is not an IP address, or its port is missing or disabled.
    #[error("no usable IP address and port: address '{address}', port {port:?}")]
    InvalidAddress {
        /// The address as written in the instance, cut to 64 characters.
        address: String,
        /// The port, if the instance has an enabled one.
        port: Option<u16>,
    },
    /// The instance's address lies outside of all allowed networks.
    #[error("address {0} lies outside of the networks in which endpoints may lie")]
    OutsideNetworks(IpAddr),
    /// The instance's metadata has no group, and there is no default group.
    #[error("no group in the metadata, and no default group is configured")]
    MissingGroup,
    /// The group in the instance's metadata is not a valid number.
    #[error("group '{0}' is not a 64-bit integer")]
    InvalidGroup(String),
}

/// The address of an endpoint, and the zone of the endpoint's network if that zone is known.
struct Location {
    address: SocketAddr,
    zone: Option<Arc<str>>,
}

impl InstanceMapping {
    /// The claim that an instance makes, as reported by the registry server with index `server`.
    ///
    /// # Errors
    ///
    /// When the instance can't be an endpoint. Instances of mapped applications that drain or were deleted
    /// are mapped even if their address or group is invalid.
    pub fn claim(&self, instance: &Instance, server: usize) -> Result<EndpointClaim, MappingError> {
        if !self.apps.contains(&instance.app.to_ascii_uppercase()) {
            return Err(MappingError::OtherApplication);
        }
        let lifecycle = lifecycle_of(instance);
        let location = self.location(instance);
        let group = self.group(instance);
        // A drain or a removal takes effect even if the address or the group can't be used.
        let (location, group) = match lifecycle {
            Lifecycle::Active => (Some(location?), Some(group?)),
            Lifecycle::Draining | Lifecycle::Removed => (location.ok(), group.ok()),
        };
        let network_zone = location.as_ref().and_then(|location| location.zone.as_deref());
        let zone = metadata_value(instance, &self.zone_key).or(network_zone).unwrap_or_default().to_owned();
        let started_at = self.started_at(instance);
        Ok(EndpointClaim {
            endpoint: endpoint_id(instance),
            address: location.map(|location| location.address),
            group,
            zone,
            primary: metadata_value(instance, &self.role_key) == Some(self.primary_role.as_str()),
            started_at,
            lifecycle,
            version: RecordVersion {
                started_at,
                change_stamp: change_stamp(instance, lifecycle),
                authority: self.authority(instance, server),
                updated_at_ms: instance.last_updated_ms,
            },
        })
    }

    fn location(&self, instance: &Instance) -> Result<Location, MappingError> {
        let port = if self.use_secure_port { instance.secure_port } else { instance.port };
        let ip = instance.ip_address.parse::<IpAddr>();
        let (Ok(ip), Some(port)) = (ip, port) else {
            return Err(MappingError::InvalidAddress { address: truncate(&instance.ip_address), port });
        };
        let ip = ip.to_canonical();
        let network = self.networks.find(ip).ok_or(MappingError::OutsideNetworks(ip))?;
        Ok(Location { address: SocketAddr::new(ip, port), zone: network.zone })
    }

    fn group(&self, instance: &Instance) -> Result<GroupId, MappingError> {
        let number = match metadata_value(instance, &self.group_key) {
            Some(text) => text.parse().map_err(|_| MappingError::InvalidGroup(truncate(text)))?,
            None => self.default_group.ok_or(MappingError::MissingGroup)?,
        };
        Ok(GroupId(number))
    }

    fn started_at(&self, instance: &Instance) -> Option<Timestamp> {
        let ms: i64 = metadata_value(instance, &self.started_at_key)?.parse().ok()?;
        (ms > 0).then(|| Timestamp(ms.saturating_mul(1_000)))
    }

    fn authority(&self, instance: &Instance, server: usize) -> Option<RecordAuthority> {
        match self.drain_release {
            DrainRelease::Registration => None,
            DrainRelease::OverrideRemoval => {
                Some(RecordAuthority { server, lease_started_ms: instance.lease_started_ms })
            }
        }
    }
}

/// The claim for an instance that [`InstanceMapping::claim`] rejected. The endpoint exists and must receive
/// no requests, neither at the address that the instance reports nor at an earlier one.
pub(super) fn rejected_claim(instance: &Instance) -> EndpointClaim {
    EndpointClaim {
        endpoint: endpoint_id(instance),
        address: None,
        group: None,
        zone: String::new(),
        primary: false,
        started_at: None,
        lifecycle: Lifecycle::Draining,
        version: RecordVersion { change_stamp: ready_change_stamp(instance), ..RecordVersion::default() },
    }
}

/// The change stamp of an instance that is ready, which is the greatest one of the instance's registration.
pub(super) fn ready_change_stamp(instance: &Instance) -> i64 {
    instance.last_dirty_ms.saturating_mul(2).saturating_add(1)
}

/// The change stamp of a claim: twice the `lastDirtyTimestamp`, plus 1 if the instance is ready. An instance
/// that is not ready yet thus counts as older than the same registration in service, though both have the
/// same `lastDirtyTimestamp`.
fn change_stamp(instance: &Instance, lifecycle: Lifecycle) -> i64 {
    let is_ready = !matches!(instance.status, InstanceStatus::Starting | InstanceStatus::Unknown);
    if is_ready || lifecycle == Lifecycle::Removed {
        ready_change_stamp(instance)
    } else {
        instance.last_dirty_ms.saturating_mul(2)
    }
}

fn lifecycle_of(instance: &Instance) -> Lifecycle {
    match (instance.action, instance.status) {
        (ActionType::Deleted, _) => Lifecycle::Removed,
        (_, InstanceStatus::Up) => Lifecycle::Active,
        _ => Lifecycle::Draining,
    }
}

fn endpoint_id(instance: &Instance) -> EndpointId {
    EndpointId(Arc::from(instance.id.as_str()))
}

/// The metadata value of `key`; `None` if the value is missing or empty.
fn metadata_value<'i>(instance: &'i Instance, key: &str) -> Option<&'i str> {
    instance.metadata.get(key).map(String::as_str).filter(|value| !value.is_empty())
}

/// Cuts `text` to the length that an error may quote.
fn truncate(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}
