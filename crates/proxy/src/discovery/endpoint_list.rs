//! The platform's endpoint list: decoded from JSON, and turned into a watch event. Keys that mean nothing here are ignored.

use pooler_routing::membership::{EndpointClaim, RecordVersion, WatchEvent};
use pooler_routing::settings::duration_from_millis;
use pooler_routing::{EndpointId, GroupId, Lifecycle, Timestamp};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// The platform's names of an endpoint's lifecycle states.
const LIFECYCLE_ACTIVE: &str = "up";
const LIFECYCLE_REMOVED: &str = "removed";
/// The platform's name of the role that takes writes.
const ROLE_PRIMARY: &str = "master";

/// All endpoints, or those that changed since an earlier list.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "ListDocument")]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// Whether it holds all endpoints.
    pub is_snapshot: bool,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint of a list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Its id, the same at every pooler and after a restart.
    pub id: EndpointId,
    /// Where it listens, as far as the list tells; it may differ between poolers.
    pub address: Option<SocketAddr>,
    /// Its group, as far as the list tells.
    pub group: Option<GroupId>,
    /// Its zone.
    pub zone: String,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// Whether the list shows it as the primary.
    pub primary: bool,
    /// When it last started, as far as the list tells.
    pub started_at: Option<Timestamp>,
}

impl EndpointList {
    /// What the list reports, as the message of this number. The platform's messages come in order and are believed.
    #[must_use]
    pub fn watch_event(&self, message: i64) -> WatchEvent {
        let claims = self.endpoints.iter().map(|endpoint| endpoint.claim(message)).collect();
        if self.is_snapshot {
            WatchEvent::Snapshot { claims, version: message }
        } else {
            WatchEvent::Delta(claims)
        }
    }
}

impl ListedEndpoint {
    fn claim(&self, message: i64) -> EndpointClaim {
        EndpointClaim {
            endpoint: self.id.clone(),
            address: self.address,
            group: self.group,
            lifecycle: self.lifecycle,
            primary: self.primary,
            started_at: self.started_at,
            zone: self.zone.clone(),
            version: RecordVersion { change_stamp: message, ..RecordVersion::default() },
        }
    }
}

/// A list as the platform writes it.
#[derive(Deserialize)]
struct ListDocument {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<InstanceDocument>,
}

/// An endpoint as the platform writes it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct InstanceDocument {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: Option<f64>,
    #[serde(default)]
    lifecycle: String,
    #[serde(default)]
    started_at_ms: Option<f64>,
    #[serde(default)]
    part: Option<String>,
}

impl From<ListDocument> for EndpointList {
    fn from(document: ListDocument) -> Self {
        Self {
            generation: document.generation,
            is_snapshot: document.reset,
            endpoints: document.instances.into_iter().map(ListedEndpoint::from).collect(),
        }
    }
}

impl From<InstanceDocument> for ListedEndpoint {
    fn from(document: InstanceDocument) -> Self {
        let started_at_ms = document.started_at_ms.filter(|ms| *ms > 0.0);
        Self {
            id: EndpointId(Arc::from(document.instance_id)),
            address: document.host_port.parse().ok(),
            group: document.cell.map(|cell| GroupId(cell as i64)),
            zone: document.zone,
            lifecycle: lifecycle(&document.lifecycle),
            primary: document.part.as_deref() == Some(ROLE_PRIMARY),
            started_at: started_at_ms.map(|ms| Timestamp(duration_from_millis(ms).0)),
        }
    }
}

/// The lifecycle state of this name. An endpoint in a state that is not known here gets nothing new, as if it drained.
fn lifecycle(name: &str) -> Lifecycle {
    match name {
        LIFECYCLE_ACTIVE => Lifecycle::Active,
        LIFECYCLE_REMOVED => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    }
}
