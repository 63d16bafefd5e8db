//! From an instance to a claim on an endpoint, as the operator's file says: which applications are meant, where
//! endpoints may lie, which metadata hold group, zone, role and start. No I/O.

use super::instance::{ActionType, Instance, InstanceStatus};
use super::networks::Networks;
use pooler_routing::membership::{EndpointClaim, RecordAuthority, RecordVersion};
use pooler_routing::{EndpointId, GroupId, Lifecycle, Timestamp};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Text from an instance is quoted in errors up to this many characters.
const MAX_QUOTED_CHARS: usize = 64;

/// What ends a drain that somebody set over an instance's own status. Taking such an override back leaves the
/// instance's own `lastDirtyTimestamp` as it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainRelease {
    /// Only a new registration, with a later stamp of the instance's own.
    #[default]
    Registration,
    /// Taking the override back, if the same server of the registry reports it later and under the same lease.
    OverrideRemoval,
}

/// How instances become endpoints.
#[derive(Clone, Debug, Default)]
pub struct InstanceMapping {
    /// The applications whose instances are endpoints, in upper case.
    pub apps: BTreeSet<String>,
    /// Where endpoints may lie.
    pub networks: Networks,
    /// The metadata key of the group; the group is a whole number.
    pub group_key: String,
    /// The group of instances that name none; `None` rejects them.
    pub default_group: Option<i64>,
    /// The metadata key of the zone.
    pub zone_key: String,
    /// The metadata key of the role.
    pub role_key: String,
    /// The role of a primary.
    pub primary_role: String,
    /// The metadata key of the last start, in ms since 1970.
    pub started_key: String,
    /// Whether endpoints are reached on the secure port.
    pub use_secure_port: bool,
    /// What ends a drain.
    pub drain_release: DrainRelease,
}

/// Why an instance is no endpoint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MappingError {
    /// It belongs to another application.
    #[error("of another application")]
    OtherApplication,
    /// Its address is no IP address with a port.
    #[error("no address: '{address}:{port:?}'")]
    InvalidAddress {
        /// Its address as it is written.
        address: String,
        /// Its port, if it has one.
        port: Option<u16>,
    },
    /// It lies outside of all networks that are allowed.
    #[error("{0} lies outside of the networks in which endpoints may lie")]
    OutsideNetworks(IpAddr),
    /// It names no group, and there is no default.
    #[error("no group: ''")]
    MissingGroup,
    /// It names a group that is no number.
    #[error("no group: '{0}'")]
    InvalidGroup(String),
}

/// Where an endpoint listens, and the zone of its network where that is known.
struct Location {
    address: SocketAddr,
    zone: Option<Arc<str>>,
}

impl InstanceMapping {
    /// The claim that an instance makes, as reported by the registry's server of this number.
    ///
    /// # Errors
    ///
    /// When it can't be an endpoint. Instances that drain or were deleted are mapped whatever else they say.
    pub fn claim(&self, instance: &Instance, server: usize) -> Result<EndpointClaim, MappingError> {
        if !self.apps.contains(&instance.app.to_ascii_uppercase()) {
            return Err(MappingError::OtherApplication);
        }
        let lifecycle = lifecycle_of(instance);
        let location = self.location(instance);
        let group = self.group(instance);
        // A drain or a removal counts even if the rest of the instance can't be used.
        let (location, group) = match lifecycle {
            Lifecycle::Active => (Some(location?), Some(group?)),
            Lifecycle::Draining | Lifecycle::Removed => (location.ok(), group.ok()),
        };
        let network_zone = location.as_ref().and_then(|location| location.zone.as_deref());
        let zone = metadata(instance, &self.zone_key).or(network_zone).unwrap_or_default().to_owned();
        let started_at = self.started_at(instance);
        Ok(EndpointClaim {
            endpoint: endpoint_id(instance),
            address: location.map(|location| location.address),
            group,
            zone,
            primary: metadata(instance, &self.role_key) == Some(self.primary_role.as_str()),
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
            return Err(MappingError::InvalidAddress { address: quote(&instance.ip_address), port });
        };
        let ip = ip.to_canonical();
        let network = self.networks.find(ip).ok_or(MappingError::OutsideNetworks(ip))?;
        Ok(Location { address: SocketAddr::new(ip, port), zone: network.zone })
    }

    fn group(&self, instance: &Instance) -> Result<GroupId, MappingError> {
        let number = match metadata(instance, &self.group_key) {
            Some(text) => text.parse().map_err(|_| MappingError::InvalidGroup(quote(text)))?,
            None => self.default_group.ok_or(MappingError::MissingGroup)?,
        };
        Ok(GroupId(number))
    }

    fn started_at(&self, instance: &Instance) -> Option<Timestamp> {
        let ms: i64 = metadata(instance, &self.started_key)?.parse().ok()?;
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

/// The claim for an instance that [`InstanceMapping::claim`] rejected: it exists and must get nothing, neither where it
/// says that it is nor where it was before.
pub(super) fn rejected_claim(instance: &Instance) -> EndpointClaim {
    EndpointClaim {
        endpoint: endpoint_id(instance),
        address: None,
        group: None,
        zone: String::new(),
        primary: false,
        started_at: None,
        lifecycle: Lifecycle::Draining,
        version: RecordVersion { change_stamp: ready_stamp(instance), ..RecordVersion::default() },
    }
}

/// The greatest change stamp of an instance's registration: that of the instance once it is ready.
pub(super) fn ready_stamp(instance: &Instance) -> i64 {
    instance.last_dirty_ms.saturating_mul(2).saturating_add(1)
}

/// The change stamp of a claim. A registration that is not ready yet comes before the same one in service, though its
/// `lastDirtyTimestamp` is the same.
fn change_stamp(instance: &Instance, lifecycle: Lifecycle) -> i64 {
    let is_ready = !matches!(instance.status, InstanceStatus::Starting | InstanceStatus::Unknown);
    if is_ready || lifecycle == Lifecycle::Removed {
        ready_stamp(instance)
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

/// A metadata value that is not empty.
fn metadata<'i>(instance: &'i Instance, key: &str) -> Option<&'i str> {
    instance.metadata.get(key).map(String::as_str).filter(|value| !value.is_empty())
}

fn quote(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}
