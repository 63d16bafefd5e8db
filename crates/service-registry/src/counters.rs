//! Counters of registry polls and of the pooler's own lease requests.

use crate::eureka::decoder::BodySummary;
use pooler_routing::membership::MergeResult;
use std::cell::Cell;
use std::fmt;

/// Totals since the start of the process. [`fmt::Display`] writes the `registry` line of the status report.
#[derive(Debug, Default)]
pub struct RegistryCounters {
    /// Snapshots that were decoded and passed to the membership, suspected ones included.
    pub snapshots: Cell<u64>,
    /// Deltas that were decoded and passed to the membership.
    pub deltas: Cell<u64>,
    /// Polls without a usable response.
    pub poll_failures: Cell<u64>,
    /// Responses whose hash code differs from the one computed from the instances held.
    pub hash_mismatches: Cell<u64>,
    /// Snapshots that self-preservation suspected.
    pub suspected_snapshots: Cell<u64>,
    /// Claims that were ignored because the record held is newer.
    pub stale_claims: Cell<u64>,
    /// Stale claims that would have reactivated a draining or removed endpoint.
    pub rejected_revivals: Cell<u64>,
    /// Claims under one endpoint id with different addresses.
    pub address_conflicts: Cell<u64>,
    /// Instances that can't be decoded; each response that contains them counts them again.
    pub unreadable_instances: Cell<u64>,
    /// Instances of the mapped applications that can't be endpoints; each response counts them again.
    pub rejected_instances: Cell<u64>,
    /// Rejected instances whose address is outside of the allowed networks.
    pub outside_networks: Cell<u64>,
    /// Requests for the pooler's own lease that the registry accepted.
    pub lease_requests_accepted: Cell<u64>,
    /// Requests for the pooler's own lease that failed, were abandoned or were answered with status 404.
    pub lease_requests_failed: Cell<u64>,
}

impl RegistryCounters {
    /// Adds the unusable instances of a response body.
    pub(crate) fn add_summary(&self, summary: &BodySummary) {
        add(&self.unreadable_instances, summary.unreadable);
        add(&self.rejected_instances, summary.rejected);
        add(&self.outside_networks, summary.outside_networks);
    }

    /// Adds the ignored claims and the suspected loss of a merge.
    pub(crate) fn add_merge(&self, result: &MergeResult) {
        add(&self.suspected_snapshots, usize::from(result.suspected_loss.is_some()));
        add(&self.stale_claims, result.stale_claims);
        add(&self.rejected_revivals, result.rejected_revivals);
        add(&self.address_conflicts, result.address_conflicts);
    }
}

pub(crate) fn increment(counter: &Cell<u64>) {
    add(counter, 1);
}

fn add(counter: &Cell<u64>, count: usize) {
    counter.set(counter.get().saturating_add(count as u64));
}

impl fmt::Display for RegistryCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counters = [
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
        counters.iter().try_for_each(|(name, counter)| write!(f, " {name}={}", counter.get()))
    }
}
