//! Claims of sources about endpoints, and the rules by which a claim replaces an earlier one of its source.

use crate::{EndpointId, GroupId, Lifecycle, Timestamp};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// The number that the host assigns to a source of claims. Where several sources provide a value, the source
/// with the lowest number comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u8);

/// The registry server that maintains a record, and the lease of the record there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordAuthority {
    /// The index of the server.
    pub server: usize,
    /// When the endpoint's lease began, in milliseconds on the server's clock.
    pub lease_started_ms: i64,
}

/// The version of a claim, based on data that the endpoint itself provided rather than on the time at which
/// the claim arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordVersion {
    /// When the endpoint last started, if the source reports it. A later start takes precedence over any
    /// change stamp.
    pub started_at: Option<Timestamp>,
    /// The stamp of the last change that the endpoint made to its own record (derived from Eureka's
    /// `lastDirtyTimestamp`, in its own unit), or the number of the message for a source whose messages
    /// arrive in order.
    pub change_stamp: i64,
    /// The authority that maintains the record. Of two records with the same start and stamp, the one updated
    /// last is newer if both come from the same authority; update times are not compared if this is `None`.
    pub authority: Option<RecordAuthority>,
    /// When the authority last updated the record, in milliseconds on the authority's clock.
    pub updated_at_ms: i64,
}

/// The result of comparing one version of a record with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// The version describes a later state of the endpoint than the other.
    Newer,
    /// Both versions describe the same state, as far as they can be compared.
    Same,
    /// The version describes an earlier state of the endpoint than the other.
    Older,
}

impl RecordVersion {
    /// Compares `self` with `held`, the version of the current claim of the same source.
    #[must_use]
    pub fn compare(&self, held: &Self) -> VersionOrder {
        let start_order = self.started_at.zip(held.started_at).map(|(new, old)| new.cmp(&old));
        let stamp_order = self.change_stamp.cmp(&held.change_stamp);
        let same_authority = self.authority.is_some() && self.authority == held.authority;
        let update_order =
            if same_authority { self.updated_at_ms.cmp(&held.updated_at_ms) } else { Ordering::Equal };
        match start_order.unwrap_or(Ordering::Equal).then(stamp_order).then(update_order) {
            Ordering::Greater => VersionOrder::Newer,
            Ordering::Equal => VersionOrder::Same,
            Ordering::Less => VersionOrder::Older,
        }
    }
}

/// The claim of a source about one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointClaim {
    /// The endpoint that the claim describes.
    pub endpoint: EndpointId,
    /// The address on which the endpoint listens; `None` if the source does not provide a valid address.
    pub address: Option<SocketAddr>,
    /// The replication group of the endpoint; `None` keeps the group that is known.
    pub group: Option<GroupId>,
    /// The zone of the endpoint; empty if unknown.
    pub zone: String,
    /// Whether the source believes that the endpoint is the primary of its group.
    pub primary: bool,
    /// When the endpoint last started; `None` if that was long ago or is unknown.
    pub started_at: Option<Timestamp>,
    /// The lifecycle state of the endpoint.
    pub lifecycle: Lifecycle,
    /// The version of the claim.
    pub version: RecordVersion,
}

/// The claim of one source about one endpoint that is currently in effect.
#[derive(Clone, Debug)]
pub(super) struct HeldClaim {
    pub(super) claim: EndpointClaim,
    /// The version of the snapshot that removed the endpoint by omitting it. Only a newer snapshot or a newer
    /// record makes the endpoint active again.
    pub(super) absent_from_version: Option<i64>,
    /// When the source last reported this state.
    pub(super) reported_at: Timestamp,
}

/// The decision on a new claim about an endpoint for which a claim of the same source is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimDecision {
    /// The new claim replaces the held claim.
    Replace,
    /// The new claim is ignored, because the held claim is newer.
    IgnoreStale {
        /// Whether the new claim would have reduced the severity of the endpoint's lifecycle state, such as
        /// by making a draining endpoint active again.
        revival: bool,
    },
    /// The new claim is ignored: it is the same registration with another address, which indicates two
    /// endpoints with the same identifier.
    IgnoreConflict,
    /// The new claim has the same conflict as in [`Self::IgnoreConflict`], but a more severe lifecycle state.
    /// It replaces the held claim except for the address.
    ReplaceKeepingAddress,
}

impl HeldClaim {
    /// Decides on a new claim. `snapshot_version` is the version of the snapshot that contains the claim;
    /// `None` if a delta contains it.
    pub(super) fn decide(&self, claim: &EndpointClaim, snapshot_version: Option<i64>) -> ClaimDecision {
        let order = claim.version.compare(&self.claim.version);
        let severity_order = severity(claim.lifecycle).cmp(&severity(self.claim.lifecycle));
        let supersedes = match order {
            VersionOrder::Newer => true,
            // Within one registration, the state may only become more severe, unless the endpoint was removed
            // only by its absence from a snapshot.
            VersionOrder::Same => severity_order.is_ge() || self.reappears_in_snapshot(snapshot_version),
            VersionOrder::Older => false,
        };
        if !supersedes {
            return ClaimDecision::IgnoreStale { revival: severity_order.is_lt() };
        }
        let conflicts = order == VersionOrder::Same && self.has_other_address(claim);
        if !conflicts {
            ClaimDecision::Replace
        } else if severity_order.is_gt() {
            ClaimDecision::ReplaceKeepingAddress
        } else {
            ClaimDecision::IgnoreConflict
        }
    }

    /// Whether the endpoint was removed by its absence from a snapshot older than `snapshot_version`.
    fn reappears_in_snapshot(&self, snapshot_version: Option<i64>) -> bool {
        self.absent_from_version
            .zip(snapshot_version)
            .is_some_and(|(absent_from_version, version)| version > absent_from_version)
    }

    fn has_other_address(&self, claim: &EndpointClaim) -> bool {
        claim.address.zip(self.claim.address).is_some_and(|(new, held)| new != held)
    }
}

/// The severity of a lifecycle state. When claims differ, the more severe state takes effect.
pub(super) fn severity(lifecycle: Lifecycle) -> u8 {
    match lifecycle {
        Lifecycle::Active => 0,
        Lifecycle::Draining => 1,
        Lifecycle::Removed => 2,
    }
}
