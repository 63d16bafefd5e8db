//! Resolving one endpoint from the claims of all sources.

use super::claim::{HeldClaim, SourceId, severity};
use crate::{EndpointEntry, EndpointId, GroupId, Lifecycle, Timestamp};
use std::net::SocketAddr;

/// An endpoint as a host needs it, resolved from all sources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResolvedEndpoint {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its lifecycle state, all sources taken together.
    pub lifecycle: Lifecycle,
    /// Its replication group.
    pub group: GroupId,
    /// Its zone.
    pub zone: String,
    /// Whether a source believes it to be the primary.
    pub primary: bool,
    /// When it last started.
    pub started_at: Option<Timestamp>,
}

impl ResolvedEndpoint {
    /// The entry for the router.
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

/// The claims of all sources on one endpoint, in the order of the sources.
///
/// There are one or two of them; a map would take up ten times their size.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimsBySource(Vec<(SourceId, HeldClaim)>);

impl ClaimsBySource {
    pub(super) fn get(&self, source: SourceId) -> Option<&HeldClaim> {
        self.0.iter().find(|(claimant, _)| *claimant == source).map(|(_, held)| held)
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

    /// Combines the claims: the worst lifecycle state counts, unless another source reports a start after it, since an
    /// endpoint that started anew is not the one that drained. What only some sources tell comes from the first of
    /// these.
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

    /// The claims that no later start contradicts.
    fn current(&self) -> impl Iterator<Item = &HeldClaim> {
        self.all().filter(|held| held.claim.lifecycle == Lifecycle::Active || !self.has_start_after(held))
    }

    /// Whether a source reports the endpoint active since a start that came after `held`.
    fn has_start_after(&self, held: &HeldClaim) -> bool {
        let held_since = held.claim.started_at.unwrap_or(held.reported_at);
        self.all().any(|other| {
            other.claim.lifecycle == Lifecycle::Active && other.claim.started_at > Some(held_since)
        })
    }
}
