//! The platform's endpoint list: decoded from JSON, with unknown keys ignored, and converted to watch events.

use pooler_routing::membership::{EndpointClaim, RecordVersion, WatchEvent};
use pooler_routing::settings::duration_from_millis;
use pooler_routing::{EndpointEntry, EndpointId, GroupId, Lifecycle, Timestamp};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// The platform's names of an endpoint's lifecycle states.
const LIFECYCLE_ACTIVE: &str = "up";
const LIFECYCLE_REMOVED: &str = "removed";
/// The platform's name of the role that accepts writes.
const ROLE_PRIMARY: &str = "master";

/// The memory that decoding and merging one endpoint takes, without its names, in bytes: the entry, the claim that it
/// becomes, and the change that results.
const DECODED_ENDPOINT_SIZE: usize =
    size_of::<ListedEndpoint>() + size_of::<EndpointClaim>() + size_of::<EndpointEntry>();

/// An upper bound of the memory that decoding and merging a list takes, in bytes, from its text.
#[must_use]
pub fn decoding_size(text: &[u8]) -> usize {
    // Each entry is an object, and the list another one. The names are copied for the change.
    let objects = text.iter().filter(|byte| **byte == b'{').count();
    2 * text.len() + objects * DECODED_ENDPOINT_SIZE
}

/// A list of all endpoints, or of the endpoints that changed since an earlier list.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "ListDocument")]
pub struct EndpointList {
    /// The generation of the list, from which a later watch can resume.
    pub generation: u64,
    /// Whether the list contains all endpoints rather than changes only.
    pub is_snapshot: bool,
    /// The endpoints of the list, in its order.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "InstanceDocument")]
pub struct ListedEndpoint {
    /// The endpoint's id, which is the same at every pooler and after a restart.
    pub id: EndpointId,
    /// The endpoint's address, which may differ between poolers; `None` if the list has no valid address.
    pub address: Option<SocketAddr>,
    /// The endpoint's group, if the list contains it.
    pub group: Option<GroupId>,
    /// The endpoint's zone; empty if the list does not contain it.
    pub zone: String,
    /// The endpoint's lifecycle state.
    pub lifecycle: Lifecycle,
    /// Whether the list gives the endpoint the role of the primary.
    pub primary: bool,
    /// When the endpoint last started, if the list contains it.
    pub started_at: Option<Timestamp>,
}

impl EndpointList {
    /// Converts the list to a watch event. `message_number` is the number of the message that carried the
    /// list; since the platform's messages arrive in order, it becomes the version of all claims in the
    /// event.
    #[must_use]
    pub fn watch_event(self, message_number: i64) -> WatchEvent {
        let claims = self.endpoints.into_iter().map(|endpoint| endpoint.claim(message_number)).collect();
        if self.is_snapshot {
            WatchEvent::Snapshot { claims, version: message_number }
        } else {
            WatchEvent::Delta(claims)
        }
    }
}

impl ListedEndpoint {
    fn claim(self, message_number: i64) -> EndpointClaim {
        EndpointClaim {
            endpoint: self.id,
            address: self.address,
            group: self.group,
            lifecycle: self.lifecycle,
            primary: self.primary,
            started_at: self.started_at,
            zone: self.zone,
            version: RecordVersion { change_stamp: message_number, ..RecordVersion::default() },
        }
    }
}

/// The JSON representation of an endpoint list.
#[derive(Deserialize)]
struct ListDocument {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<ListedEndpoint>,
}

/// The JSON representation of an endpoint.
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
        Self { generation: document.generation, is_snapshot: document.reset, endpoints: document.instances }
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
            lifecycle: parse_lifecycle(&document.lifecycle),
            primary: document.part.as_deref() == Some(ROLE_PRIMARY),
            started_at: started_at_ms.map(|ms| Timestamp(duration_from_millis(ms).0)),
        }
    }
}

/// Parses the name of a lifecycle state. An unknown state is treated as draining, so that the endpoint gets
/// no new work.
fn parse_lifecycle(name: &str) -> Lifecycle {
    match name {
        LIFECYCLE_ACTIVE => Lifecycle::Active,
        LIFECYCLE_REMOVED => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    }
}
