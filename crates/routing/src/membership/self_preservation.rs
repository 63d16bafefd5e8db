//! Self-preservation: a snapshot that suddenly lacks many endpoints is taken for a fault of its source.

use crate::{EndpointId, TimeDelta, Timestamp};

/// When a snapshot that lacks endpoints is taken for a fault of its source rather than for a smaller fleet. Eureka
/// gives this name to the same precaution of its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelfPreservation {
    /// The fraction of a source's active endpoints that one snapshot may lack and still be believed; at 1 only an
    /// empty snapshot is suspected, over 1 none is.
    pub max_missing_fraction: f64,
    /// A suspected loss that lasts this long is believed; `None` never.
    pub accept_after: Option<TimeDelta>,
}

/// A snapshot that was not believed, as it lacked too many active endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectedLoss {
    /// How many it lacked.
    pub missing: usize,
    /// Of so many.
    pub active: usize,
}

/// How a snapshot compares to the endpoints that its source reported before.
#[derive(Debug, Default)]
pub(super) struct SnapshotCoverage {
    /// Endpoints, active or draining, that the snapshot should have named and did not.
    pub(super) missing: Vec<EndpointId>,
    /// How many of these were active.
    pub(super) missing_active: usize,
    /// How many endpoints were active.
    pub(super) active: usize,
    /// Whether the snapshot names no endpoint at all.
    pub(super) is_empty: bool,
}

/// The self-preservation of one source: its limits, and since when they have been exceeded.
#[derive(Clone, Copy, Debug)]
pub(super) struct SnapshotGuard {
    limits: SelfPreservation,
    suspected_since: Option<Timestamp>,
}

impl SnapshotGuard {
    pub(super) fn new(limits: SelfPreservation) -> Self {
        Self { limits, suspected_since: None }
    }

    /// Whether a snapshot is suspected, so that the endpoints it lacks stay.
    pub(super) fn suspects(&mut self, now: Timestamp, coverage: &SnapshotCoverage) -> bool {
        if !self.exceeds_limits(coverage) {
            self.suspected_since = None;
            return false;
        }
        let since = *self.suspected_since.get_or_insert(now);
        let accepted = self.limits.accept_after.is_some_and(|delay| now - since >= delay);
        if accepted {
            self.suspected_since = None;
        }
        !accepted
    }

    fn exceeds_limits(&self, coverage: &SnapshotCoverage) -> bool {
        // A suspicion lasts until all endpoints are named again: a registry that lost its memory fills up one by one,
        // and at some point lacks few enough.
        let allowed = if self.suspected_since.is_some() { 0.0 } else { self.limits.max_missing_fraction };
        let too_many =
            coverage.missing_active > 0 && coverage.missing_active as f64 > allowed * coverage.active as f64;
        let lost_all = coverage.is_empty && coverage.active > 0 && self.limits.max_missing_fraction <= 1.0;
        too_many || lost_all
    }
}
