//! What a source claims about an endpoint, and which of two claims of one source is newer.

use crate::{EndpointId, GroupId, Lifecycle, Timestamp};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// A source of claims, in the order in which the host numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u8);

/// The registry server that vouches for a record, and the lease under which it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordAuthority {
    /// The server, by number.
    pub server: usize,
    /// When the endpoint's lease began, by the server's clock.
    pub lease_started_ms: i64,
}

/// How new a claim is, by what the endpoint said itself and not by when the claim arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordVersion {
    /// When the endpoint last started, where the source tells. A later start outranks any change stamp.
    pub started_at: Option<Timestamp>,
    /// The stamp of the endpoint's last change of itself (Eureka's `lastDirtyTimestamp`, in its own unit), or the number
    /// of the message where a source's messages come in order.
    pub change_stamp: i64,
    /// Who vouches for the record. Of one start and one stamp, the record updated last is newer if both come from one
    /// authority; `None` is none.
    pub authority: Option<RecordAuthority>,
    /// When that authority last updated the record, by its own clock.
    pub updated_at_ms: i64,
}

/// How one version of a record compares to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// It describes something later.
    Newer,
    /// It describes the same.
    Same,
    /// It describes something earlier.
    Older,
}

impl RecordVersion {
    /// How `self` compares to `held`.
    #[must_use]
    pub fn compare(&self, held: &Self) -> VersionOrder {
        let starts = self.started_at.zip(held.started_at).map(|(new, old)| new.cmp(&old));
        let stamps = self.change_stamp.cmp(&held.change_stamp);
        let same_authority = self.authority.is_some() && self.authority == held.authority;
        let updates =
            if same_authority { self.updated_at_ms.cmp(&held.updated_at_ms) } else { Ordering::Equal };
        match starts.unwrap_or(Ordering::Equal).then(stamps).then(updates) {
            Ordering::Greater => VersionOrder::Newer,
            Ordering::Equal => VersionOrder::Same,
            Ordering::Less => VersionOrder::Older,
        }
    }
}

/// What a source says of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointClaim {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens; `None` where the source does not tell or could not be read.
    pub address: Option<SocketAddr>,
    /// Its replication group; `None` keeps the one that is known.
    pub group: Option<GroupId>,
    /// Its zone.
    pub zone: String,
    /// Whether the source believes it to be the primary.
    pub primary: bool,
    /// When it last started; `None` for long ago or not told.
    pub started_at: Option<Timestamp>,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// How new all this is.
    pub version: RecordVersion,
}

/// The claim of one source on one endpoint that counts at present.
#[derive(Clone, Debug)]
pub(super) struct HeldClaim {
    pub(super) claim: EndpointClaim,
    /// The version of the snapshot that removed the endpoint by not naming it. Only a newer snapshot or a newer record
    /// brings the endpoint back.
    pub(super) absent_from: Option<i64>,
    /// When the source last reported this.
    pub(super) reported_at: Timestamp,
}

/// What to do with a claim on an endpoint on which the same source has a claim already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimDecision {
    /// It replaces the held claim.
    Replace,
    /// It is ignored: the held claim is newer.
    IgnoreStale {
        /// Whether it would have brought back an endpoint that drains or was removed.
        revival: bool,
    },
    /// It is ignored: one registration with two addresses, which is two endpoints under one id as far as can be seen.
    IgnoreConflict,
    /// It conflicts like that, but asks for more caution: it replaces the held claim, whose address stays.
    ReplaceKeepingAddress,
}

impl HeldClaim {
    /// What to do with `claim`, which came with the snapshot of this version or with a delta.
    pub(super) fn decide(&self, claim: &EndpointClaim, snapshot_version: Option<i64>) -> ClaimDecision {
        let order = claim.version.compare(&self.claim.version);
        let caution = severity(claim.lifecycle).cmp(&severity(self.claim.lifecycle));
        let supersedes = match order {
            VersionOrder::Newer => true,
            // The same registration may only get worse, unless it was merely not named.
            VersionOrder::Same => caution.is_ge() || self.is_named_again_by(snapshot_version),
            VersionOrder::Older => false,
        };
        if !supersedes {
            return ClaimDecision::IgnoreStale { revival: caution.is_lt() };
        }
        let conflicts = order == VersionOrder::Same && self.has_other_address(claim);
        if !conflicts {
            ClaimDecision::Replace
        } else if caution.is_gt() {
            ClaimDecision::ReplaceKeepingAddress
        } else {
            ClaimDecision::IgnoreConflict
        }
    }

    fn is_named_again_by(&self, snapshot_version: Option<i64>) -> bool {
        self.absent_from.zip(snapshot_version).is_some_and(|(absent_from, version)| version > absent_from)
    }

    fn has_other_address(&self, claim: &EndpointClaim) -> bool {
        claim.address.zip(self.claim.address).is_some_and(|(new, held)| new != held)
    }
}

/// How much caution a lifecycle state asks for: the greater, the more.
pub(super) fn severity(lifecycle: Lifecycle) -> u8 {
    match lifecycle {
        Lifecycle::Active => 0,
        Lifecycle::Draining => 1,
        Lifecycle::Removed => 2,
    }
}
