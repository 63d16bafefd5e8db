//! The platform's endpoint list, decoded from JSON and converted to watch events. Unknown keys are ignored.

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

/// A list of all endpoints, or of those that changed since an earlier list.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "ListDocument")]
pub struct EndpointList {
    /// The version of the list.
    pub generation: u64,
    /// Whether the list has all endpoints.
    pub is_snapshot: bool,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint of a list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Its id, which is the same at every pooler and after a restart.
    pub id: EndpointId,
    /// Its address, which may differ between poolers; `None` if the list has none that is valid.
    pub address: Option<SocketAddr>,
    /// Its group, if the list has it.
    pub group: Option<GroupId>,
    /// Its zone.
    pub zone: String,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// Whether the list names it as the primary.
    pub primary: bool,
    /// When it last started, if the list has it.
    pub started_at: Option<Timestamp>,
}

impl EndpointList {
    /// Converts the list to a watch event. The platform's messages arrive in order, so `message`, their
    /// number, is the version of all claims.
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

/// The JSON form of a list.
#[derive(Deserialize)]
struct ListDocument {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<InstanceDocument>,
}

/// The JSON form of an endpoint.
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

/// The lifecycle state of this name. An endpoint in an unknown state is treated as draining: it gets no new
/// work.
fn lifecycle(name: &str) -> Lifecycle {
    match name {
        LIFECYCLE_ACTIVE => Lifecycle::Active,
        LIFECYCLE_REMOVED => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    }
}
