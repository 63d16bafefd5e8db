//! The membership table: the claims of all sources, and the endpoints resolved from them.

use super::claim::{ClaimDecision, EndpointClaim, HeldClaim, SourceId};
use super::memory::{MemoryUsage, RecordMemory};
use super::resolution::{ClaimsBySource, ResolvedEndpoint};
use super::self_preservation::{SelfPreservation, SnapshotCoverage, SnapshotGuard, SuspectedLoss};
use super::watch::{MergeResult, WatchEvent};
use crate::{EndpointId, Lifecycle, TimeDelta, Timestamp};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of endpoints in the table, whatever its memory. Claims about known endpoints are merged
/// even if the table is full.
pub const MAX_ENDPOINTS: usize = 100_000;

/// The claims about one endpoint and their resolution.
#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    claims: ClaimsBySource,
    resolved: ResolvedEndpoint,
    removed_at: Option<Timestamp>,
    memory: RecordMemory,
}

impl EndpointRecord {
    /// The memory that the record of this endpoint takes up now.
    fn current_memory(&self, endpoint: &EndpointId) -> RecordMemory {
        let names = endpoint.0.len() + self.claims.zones_size() + self.resolved.zone.len();
        RecordMemory::new(names, self.removed_at.is_some())
    }
}

/// The table of endpoints, resolved from the claims of all sources.
#[derive(Debug)]
pub struct Membership {
    guards: BTreeMap<SourceId, SnapshotGuard>,
    /// Boxed, since half of the slots in the map's nodes may be free.
    endpoints: BTreeMap<EndpointId, Box<EndpointRecord>>,
    /// The removed endpoints, ordered by the time of their removal, so that the cost of an eviction depends
    /// only on the number of evicted endpoints.
    removed: BTreeSet<(Timestamp, EndpointId)>,
    removed_retention: TimeDelta,
    max_removed: usize,
    memory: MemoryUsage,
}

/// A merge in progress: its time, its source, and its result so far.
struct Merge<'r> {
    now: Timestamp,
    source: SourceId,
    result: &'r mut MergeResult,
}

impl Membership {
    /// Creates an empty table, which retains removed endpoints for `removed_retention`, and at most
    /// `max_removed` of them. A stale claim that arrives after that is treated as a new endpoint.
    #[must_use]
    pub fn new(removed_retention: TimeDelta, max_removed: usize) -> Self {
        Self {
            guards: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            removed: BTreeSet::new(),
            removed_retention,
            max_removed,
            memory: MemoryUsage::new(usize::MAX),
        }
    }

    /// Limits the memory of the endpoints, here and in the router, to this many bytes. Removed endpoints are
    /// evicted for new ones; without any, new endpoints are refused.
    #[must_use]
    pub fn with_max_memory(mut self, bytes: usize) -> Self {
        self.memory = MemoryUsage::new(bytes);
        self
    }

    /// The memory that the endpoints take up, here and in the router, in bytes.
    #[must_use]
    pub fn memory_used(&self) -> usize {
        self.memory.total()
    }

    /// Sets the limits beyond which snapshots of a source are suspected. Without limits, all are accepted.
    pub fn set_self_preservation(&mut self, source: SourceId, limits: SelfPreservation) {
        self.guards.insert(source, SnapshotGuard::new(limits));
    }

    /// Returns a known endpoint. Removed endpoints are known until they are evicted.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&ResolvedEndpoint> {
        self.endpoints.get(endpoint).map(|record| &record.resolved)
    }

    /// Iterates over all known endpoints in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &ResolvedEndpoint)> {
        self.endpoints.iter().map(|(id, record)| (id, &record.resolved))
    }

    /// Merges a watch event of a source. The cost grows with the number of endpoints that the event names
    /// and, for a snapshot, with the number of known endpoints.
    pub fn merge(&mut self, now: Timestamp, source: SourceId, event: WatchEvent) -> MergeResult {
        let mut result = MergeResult::default();
        let mut merge = Merge { now, source, result: &mut result };
        match event {
            WatchEvent::Delta(claims) => {
                for claim in claims {
                    self.merge_claim(&mut merge, claim, None);
                }
            }
            WatchEvent::Snapshot { claims, version } => self.merge_snapshot(&mut merge, claims, version),
        }
        self.evict_removed(now, &mut result);
        result
    }

    fn merge_snapshot(&mut self, merge: &mut Merge<'_>, claims: Vec<EndpointClaim>, version: i64) {
        // The snapshot is compared before its claims are merged, so that a drain in the snapshot does not
        // count as a loss.
        let coverage = self.coverage(merge.source, &claims, version);
        let guard = self.guards.get_mut(&merge.source);
        let suspected = guard.is_some_and(|guard| guard.suspects(merge.now, &coverage));
        for claim in claims {
            self.merge_claim(merge, claim, Some(version));
        }
        if suspected {
            merge.result.suspected_loss =
                Some(SuspectedLoss { missing: coverage.missing_active, active: coverage.active });
            return;
        }
        for endpoint in coverage.missing {
            self.remove_absent(merge, endpoint, version);
        }
    }

    /// Compares the claims of a snapshot with the endpoints that its source reported before.
    fn coverage(&self, source: SourceId, claims: &[EndpointClaim], version: i64) -> SnapshotCoverage {
        let named: BTreeSet<&EndpointId> = claims.iter().map(|claim| &claim.endpoint).collect();
        let mut coverage = SnapshotCoverage { is_empty: named.is_empty(), ..SnapshotCoverage::default() };
        for (id, record) in &self.endpoints {
            let Some(held) = record.claims.get(source) else { continue };
            if held.claim.lifecycle == Lifecycle::Removed {
                continue;
            }
            let active = usize::from(held.claim.lifecycle == Lifecycle::Active);
            coverage.active += active;
            if !named.contains(id) && held.claim.version.change_stamp <= version {
                coverage.missing_active += active;
                coverage.missing.push(id.clone());
            }
        }
        coverage
    }

    /// Merges one claim. `snapshot_version` is the version of the snapshot that contains the claim; `None` if
    /// a delta contains it.
    fn merge_claim(
        &mut self,
        merge: &mut Merge<'_>,
        mut claim: EndpointClaim,
        snapshot_version: Option<i64>,
    ) {
        let record = self.endpoints.get(&claim.endpoint);
        if record.is_none() && !self.has_room_for(&claim) {
            merge.result.stale_claims += 1;
            merge.result.refused_endpoints += 1;
            return;
        }
        if let Some(held) = record.and_then(|record| record.claims.get(merge.source)) {
            match held.decide(&claim, snapshot_version) {
                ClaimDecision::Replace => {}
                ClaimDecision::IgnoreStale { revival } => {
                    merge.result.stale_claims += 1;
                    merge.result.rejected_revivals += usize::from(revival);
                    return;
                }
                ClaimDecision::IgnoreConflict => {
                    merge.result.address_conflicts += 1;
                    return;
                }
                ClaimDecision::ReplaceKeepingAddress => {
                    merge.result.address_conflicts += 1;
                    claim.address = held.claim.address;
                }
            }
            claim.address = claim.address.or(held.claim.address);
            claim.group = claim.group.or(held.claim.group);
        }
        self.store_claim(merge, HeldClaim { claim, absent_from_version: None, reported_at: merge.now });
    }

    /// Whether the endpoint of this claim can be added to the table.
    fn has_room_for(&self, claim: &EndpointClaim) -> bool {
        let names = claim.endpoint.0.len() + 2 * claim.zone.len();
        let memory = RecordMemory::new(names, claim.lifecycle == Lifecycle::Removed);
        self.endpoints.len() < MAX_ENDPOINTS && self.memory.has_room_for(memory)
    }

    /// Removes an endpoint that is absent from the snapshot of this version.
    fn remove_absent(&mut self, merge: &mut Merge<'_>, endpoint: EndpointId, snapshot_version: i64) {
        let held = self.endpoints.get(&endpoint).and_then(|record| record.claims.get(merge.source));
        let Some(mut held) = held.cloned() else { return };
        held.claim.lifecycle = Lifecycle::Removed;
        held.absent_from_version = Some(snapshot_version);
        held.reported_at = merge.now;
        self.store_claim(merge, held);
    }

    /// Stores the claim of a source, and records the endpoint as changed if its resolution changes.
    fn store_claim(&mut self, merge: &mut Merge<'_>, held: HeldClaim) {
        let endpoint = held.claim.endpoint.clone();
        let entry = self.endpoints.entry(endpoint.clone());
        let is_new = matches!(entry, Entry::Vacant(_));
        let record = entry.or_default();
        record.claims.insert(merge.source, held);
        let resolved = record.claims.resolve();
        match (record.removed_at, resolved.lifecycle == Lifecycle::Removed) {
            (None, true) => {
                record.removed_at = Some(merge.now);
                self.removed.insert((merge.now, endpoint.clone()));
            }
            (Some(removed_at), false) => {
                record.removed_at = None;
                self.removed.remove(&(removed_at, endpoint.clone()));
            }
            (None, false) | (Some(_), true) => {}
        }
        let is_changed = is_new || record.resolved != resolved;
        record.resolved = resolved;
        if !is_new {
            self.memory -= record.memory;
        }
        record.memory = record.current_memory(&endpoint);
        self.memory += record.memory;
        if is_changed {
            merge.result.active_changes += usize::from(record.resolved.lifecycle == Lifecycle::Active);
            merge.result.changed.push(record.resolved.to_entry(endpoint));
        }
    }

    /// Evicts the endpoints that were removed longest ago while they exceed the retention time, the maximum
    /// number or the memory.
    fn evict_removed(&mut self, now: Timestamp, result: &mut MergeResult) {
        while let Some((removed_at, _)) = self.removed.first() {
            let is_retained = now - *removed_at < self.removed_retention
                && self.removed.len() <= self.max_removed
                && !self.memory.is_exceeded();
            if is_retained {
                return;
            }
            if let Some((_, endpoint)) = self.removed.pop_first() {
                if let Some(record) = self.endpoints.remove(&endpoint) {
                    self.memory -= record.memory;
                }
                result.evicted.push(endpoint);
            }
        }
    }
}
