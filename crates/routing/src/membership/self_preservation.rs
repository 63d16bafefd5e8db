//! Self-preservation: a snapshot that suddenly lacks many endpoints is treated as a fault of its source.

use crate::{EndpointId, TimeDelta, Timestamp};

/// The limits beyond which a snapshot that lacks endpoints is treated as a fault of its source rather than as
/// a smaller fleet. Eureka servers take the same precaution under this name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelfPreservation {
    /// The maximum fraction of a source's active endpoints that an accepted snapshot may lack. At 1, only an
    /// empty snapshot is suspected; above 1, no snapshot is.
    pub max_missing_fraction: f64,
    /// The time after which a suspected loss that persists is accepted; `None` means never.
    pub accept_after: Option<TimeDelta>,
}

/// A loss of endpoints that was not accepted, because a snapshot lacked too many active endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectedLoss {
    /// The number of active endpoints that the snapshot lacked.
    pub missing: usize,
    /// The number of endpoints of the source that were active before the snapshot.
    pub active: usize,
}

/// The result of comparing a snapshot with the endpoints that its source reported before.
#[derive(Debug, Default)]
pub(super) struct SnapshotCoverage {
    /// The active or draining endpoints that the snapshot should contain but does not.
    pub(super) missing: Vec<EndpointId>,
    /// The number of missing endpoints that were active.
    pub(super) missing_active: usize,
    /// The number of endpoints of the source that were active.
    pub(super) active: usize,
    /// Whether the snapshot contains no endpoints.
    pub(super) is_empty: bool,
}

/// The self-preservation of one source: its limits, and the time since which they have been exceeded.
#[derive(Clone, Copy, Debug)]
pub(super) struct SnapshotGuard {
    limits: SelfPreservation,
    suspected_since: Option<Timestamp>,
}

impl SnapshotGuard {
    pub(super) fn new(limits: SelfPreservation) -> Self {
        Self { limits, suspected_since: None }
    }

    /// Returns whether a snapshot is suspected, in which case the endpoints that it lacks are kept.
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
        // Suspicion lasts until a snapshot contains all endpoints again. A registry that lost its state
        // regains its endpoints one by one, and a partial snapshot would otherwise come within the limit.
        let allowed = if self.suspected_since.is_some() { 0.0 } else { self.limits.max_missing_fraction };
        let too_many =
            coverage.missing_active > 0 && coverage.missing_active as f64 > allowed * coverage.active as f64;
        let lost_all = coverage.is_empty && coverage.active > 0 && self.limits.max_missing_fraction <= 1.0;
        too_many || lost_all
    }
}
