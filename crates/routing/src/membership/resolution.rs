//! Resolution of one endpoint from the claims of all sources.

use super::claim::{HeldClaim, SourceId, severity};
use crate::{EndpointEntry, EndpointId, GroupId, Lifecycle, Timestamp};
use std::net::SocketAddr;

/// The state of an endpoint, resolved from the claims of all sources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResolvedEndpoint {
    /// The address on which the endpoint listens, if a source provides it.
    pub address: Option<SocketAddr>,
    /// The lifecycle state of the endpoint, from the claims of all sources together.
    pub lifecycle: Lifecycle,
    /// The replication group of the endpoint.
    pub group: GroupId,
    /// The zone of the endpoint; empty if unknown.
    pub zone: String,
    /// Whether any source believes that the endpoint is the primary.
    pub primary: bool,
    /// The latest start of the endpoint that a source reports.
    pub started_at: Option<Timestamp>,
}

impl ResolvedEndpoint {
    /// Converts to the entry of the router's endpoint list.
    pub(super) fn to_entry(&self, endpoint: EndpointId) -> EndpointEntry {
        EndpointEntry {
            endpoint,
            group: self.group,
            lifecycle: self.lifecycle,
            primary: self.primary,
            started_at: self.started_at,
            zone: self.zone.clone(),
        }
    }
}

/// The claims of all sources about one endpoint, ordered by source.
///
/// There are only one or two claims; a map would need ten times their memory.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimsBySource(Vec<(SourceId, HeldClaim)>);

impl ClaimsBySource {
    pub(super) fn get(&self, source: SourceId) -> Option<&HeldClaim> {
        self.0.iter().find(|(claimant, _)| *claimant == source).map(|(_, held)| held)
    }

    /// The length of the zones in all claims, in bytes.
    pub(super) fn zones_size(&self) -> usize {
        self.all().map(|held| held.claim.zone.len()).sum()
    }

    pub(super) fn insert(&mut self, source: SourceId, held: HeldClaim) {
        match self.0.binary_search_by_key(&source, |(claimant, _)| *claimant) {
            Ok(index) => self.0[index].1 = held,
            Err(index) => {
                self.0.reserve_exact(1);
                self.0.insert(index, (source, held));
            }
        }
    }

    /// Combines the claims. The most severe lifecycle state takes effect, unless another source reports a
    /// later start, because a restarted endpoint is not the incarnation that was draining. A value that only
    /// some sources provide comes from the first of these.
    pub(super) fn resolve(&self) -> ResolvedEndpoint {
        let lifecycle =
            self.current().map(|held| held.claim.lifecycle).max_by_key(|lifecycle| severity(*lifecycle));
        let address = self.current().find_map(|held| held.claim.address);
        let zone = self.all().map(|held| &held.claim.zone).find(|zone| !zone.is_empty());
        ResolvedEndpoint {
            address: address.or_else(|| self.all().find_map(|held| held.claim.address)),
            lifecycle: lifecycle.unwrap_or(Lifecycle::Removed),
            group: self.all().find_map(|held| held.claim.group).unwrap_or_default(),
            zone: zone.cloned().unwrap_or_default(),
            primary: self.current().any(|held| held.claim.primary),
            started_at: self.all().filter_map(|held| held.claim.started_at).max(),
        }
    }

    fn all(&self) -> impl Iterator<Item = &HeldClaim> {
        self.0.iter().map(|(_, held)| held)
    }

    /// The claims that are not superseded by a later start that another source reports.
    fn current(&self) -> impl Iterator<Item = &HeldClaim> {
        self.all().filter(|held| held.claim.lifecycle == Lifecycle::Active || !self.has_start_after(held))
    }

    /// Whether a source reports the endpoint as active after a start that is later than `held`.
    fn has_start_after(&self, held: &HeldClaim) -> bool {
        let held_since = held.claim.started_at.unwrap_or(held.reported_at);
        self.all().any(|other| {
            other.claim.lifecycle == Lifecycle::Active && other.claim.started_at > Some(held_since)
        })
    }
}
