//! Counters of a watched registry.

use crate::eureka::decoder::BodySummary;
use pooler_routing::membership::MergeResult;
use std::cell::Cell;
use std::fmt;

/// What was seen of a registry since the start.
#[derive(Debug, Default)]
pub struct RegistryCounters {
    /// Snapshots that were applied.
    pub snapshots: Cell<u64>,
    /// Deltas that were applied.
    pub deltas: Cell<u64>,
    /// Polls that failed.
    pub poll_failures: Cell<u64>,
    /// Responses whose hash code did not match what is held.
    pub hash_mismatches: Cell<u64>,
    /// Snapshots that were suspected of a loss.
    pub suspected_snapshots: Cell<u64>,
    /// Claims that were older than what is held.
    pub stale_claims: Cell<u64>,
    /// Of these, claims that would have brought back an endpoint that drains or was removed.
    pub rejected_revivals: Cell<u64>,
    /// Claims of two endpoints under one id.
    pub address_conflicts: Cell<u64>,
    /// Instances that could not be decoded.
    pub unreadable_instances: Cell<u64>,
    /// Instances of the mapped applications that could not be endpoints.
    pub rejected_instances: Cell<u64>,
    /// Of these, those outside of the networks.
    pub outside_networks: Cell<u64>,
    /// Requests of the pooler's own lease that the registry accepted.
    pub lease_requests_accepted: Cell<u64>,
    /// Those that it did not.
    pub lease_requests_failed: Cell<u64>,
}

impl RegistryCounters {
    /// Counts the instances that a body held and could not be used.
    pub(crate) fn add_summary(&self, summary: &BodySummary) {
        add(&self.unreadable_instances, summary.unreadable);
        add(&self.rejected_instances, summary.rejected);
        add(&self.outside_networks, summary.outside_networks);
    }

    /// Counts what the membership made of a watch event.
    pub(crate) fn add_merge(&self, result: &MergeResult) {
        add(&self.suspected_snapshots, usize::from(result.suspected_loss.is_some()));
        add(&self.stale_claims, result.stale_claims);
        add(&self.rejected_revivals, result.rejected_revivals);
        add(&self.address_conflicts, result.address_conflicts);
    }
}

/// Adds one.
pub(crate) fn increment(counter: &Cell<u64>) {
    add(counter, 1);
}

fn add(counter: &Cell<u64>, count: usize) {
    counter.set(counter.get().saturating_add(count as u64));
}

impl fmt::Display for RegistryCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = [
            ("snapshots", &self.snapshots),
            ("deltas", &self.deltas),
            ("poll_failures", &self.poll_failures),
            ("hash_mismatches", &self.hash_mismatches),
            ("suspected_snapshots", &self.suspected_snapshots),
            ("stale_claims", &self.stale_claims),
            ("rejected_revivals", &self.rejected_revivals),
            ("address_conflicts", &self.address_conflicts),
            ("unreadable_instances", &self.unreadable_instances),
            ("rejected_instances", &self.rejected_instances),
            ("outside_networks", &self.outside_networks),
            ("lease_requests_accepted", &self.lease_requests_accepted),
            ("lease_requests_failed", &self.lease_requests_failed),
        ];
        write!(f, "registry")?;
        named.iter().try_for_each(|(name, counter)| write!(f, " {name}={}", counter.get()))
    }
}
