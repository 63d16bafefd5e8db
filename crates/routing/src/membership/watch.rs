//! The changes that a source reports, and what merging one into the membership changed.

use super::claim::EndpointClaim;
use super::self_preservation::SuspectedLoss;
use crate::{EndpointEntry, EndpointId};

/// A change that a source reports.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// All that the source knows.
    Snapshot {
        /// The endpoints.
        claims: Vec<EndpointClaim>,
        /// How new the snapshot is, on the scale of [`RecordVersion::change_stamp`]: an endpoint with a later stamp
        /// that is absent was not known yet, and its absence means nothing.
        ///
        /// [`RecordVersion::change_stamp`]: super::RecordVersion::change_stamp
        version: i64,
    },
    /// Some endpoints.
    Delta(Vec<EndpointClaim>),
}

/// What a watch event changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergeResult {
    /// The entries that differ from before, as the router takes them.
    pub changed: Vec<EndpointEntry>,
    /// Endpoints that were evicted.
    pub evicted: Vec<EndpointId>,
    /// Claims that were ignored since what is held is newer.
    pub stale_claims: usize,
    /// Of those, claims that would have brought back an endpoint that drains or was removed.
    pub rejected_revivals: usize,
    /// Claims of one registration with two addresses: two endpoints under one id.
    pub address_conflicts: usize,
    /// A snapshot that was not believed.
    pub suspected_loss: Option<SuspectedLoss>,
}
