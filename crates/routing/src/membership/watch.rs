//! Watch events that a source reports, and the result of merging one into the membership.

use super::claim::EndpointClaim;
use super::self_preservation::SuspectedLoss;
use crate::{EndpointEntry, EndpointId};

/// A report of a source about its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The source's complete list of endpoints.
    Snapshot {
        /// The claims about the endpoints.
        claims: Vec<EndpointClaim>,
        /// The version of the snapshot, on the scale of [`RecordVersion::change_stamp`]. An absent endpoint
        /// with a later stamp was not known yet when the snapshot was taken, and is not removed.
        ///
        /// [`RecordVersion::change_stamp`]: super::RecordVersion::change_stamp
        version: i64,
    },
    /// The claims about some endpoints; others are unchanged.
    Delta(Vec<EndpointClaim>),
}

/// The result of merging a watch event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergeResult {
    /// The entries that changed, in the form that the router accepts.
    pub changed: Vec<EndpointEntry>,
    /// The number of changed entries that are active.
    pub active_changes: usize,
    /// The removed endpoints that were evicted from the table.
    pub evicted: Vec<EndpointId>,
    /// The number of claims that were ignored, because the held claim is newer or the table is full.
    pub stale_claims: usize,
    /// The number of those claims that were ignored because there is no memory for another endpoint.
    pub refused_endpoints: usize,
    /// The number of stale claims that would have reverted a drain or a removal.
    pub rejected_revivals: usize,
    /// The number of claims that have another address than the held claim of the same registration, which
    /// indicates two endpoints with the same identifier.
    pub address_conflicts: usize,
    /// The loss of endpoints that was not accepted, if the event is a suspected snapshot.
    pub suspected_loss: Option<SuspectedLoss>,
}
