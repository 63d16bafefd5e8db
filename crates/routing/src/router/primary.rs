//! The primary of a group: the role evidence of each endpoint, and the believed primary.

#[cfg(test)]
mod tests;

use crate::primary_search::{PrimarySearch, SearchTarget};
use crate::{EndpointId, Role, TimeDelta, Timestamp};

/// The times, on the fleet clock, of the latest evidence that an endpoint was the primary and that it was a
/// replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleEvidence {
    primary_at: Timestamp,
    replica_at: Timestamp,
}

impl RoleEvidence {
    /// The role by the latest evidence; a replica if there is none.
    pub(super) fn role(&self) -> Role {
        if self.primary_at > self.replica_at { Role::Primary } else { Role::Replica }
    }

    /// Whether there is no evidence for either role yet.
    pub(super) fn is_unknown(&self) -> bool {
        self.primary_at.max(self.replica_at) == Timestamp::default()
    }

    /// The time of the latest evidence that the endpoint was the primary.
    pub(super) fn primary_at(&self) -> Timestamp {
        self.primary_at
    }

    /// Records that the endpoint was the primary at a time.
    pub(super) fn observe_primary(&mut self, at: Timestamp) {
        self.primary_at = self.primary_at.max(at);
    }

    /// Records that the endpoint was a replica at a time.
    pub(super) fn observe_replica(&mut self, at: Timestamp) {
        self.replica_at = self.replica_at.max(at);
    }

    /// Records a response received just now that showed a replica. The evidence is dated by its receipt: if
    /// the endpoint hung, the request was sent long ago, but the response still takes precedence over an
    /// older load report.
    pub(super) fn observe_replica_response(&mut self, present: Timestamp) {
        self.observe_replica(present - TimeDelta(1));
    }

    /// Lowers times that are later than the present, after the fleet clock was set back.
    pub(super) fn cap_times(&mut self, present: Timestamp) {
        self.primary_at = self.primary_at.min(present);
        self.replica_at = self.replica_at.min(present);
    }
}

/// The believed primary of a group, and the search for it.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupPrimary {
    /// The endpoint that writes are sent to.
    believed: Option<EndpointId>,
    /// Whether the attempts of a write have failed to find the primary; writes are then queued until a
    /// primary is confirmed.
    is_unknown: bool,
    search: PrimarySearch,
}

impl GroupPrimary {
    pub(super) fn believed(&self) -> Option<&EndpointId> {
        self.believed.as_ref()
    }

    /// Whether writes are queued until a primary is confirmed.
    pub(super) fn is_unknown(&self) -> bool {
        self.is_unknown
    }

    /// Makes an endpoint the believed primary.
    pub(super) fn believe(&mut self, endpoint: EndpointId) {
        self.believed = Some(endpoint);
    }

    /// Records that an endpoint is not the primary, or is down. If it was the believed primary, `next`
    /// replaces it unless that is `None`.
    pub(super) fn disprove(&mut self, endpoint: &EndpointId, next: Option<EndpointId>) {
        if self.believed.as_ref() == Some(endpoint) {
            self.believed = next.or(self.believed.take());
        }
    }

    /// Records that an endpoint has left the group, which then has no believed primary if it was this one.
    pub(super) fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.believed.take_if(|believed| believed == endpoint);
    }

    /// Records that the attempts of a write have failed to find the primary.
    pub(super) fn mark_unknown(&mut self) {
        self.is_unknown = true;
    }

    /// Records that a primary was confirmed.
    pub(super) fn mark_known(&mut self) {
        self.is_unknown = false;
    }

    /// Continues the primary search, and returns the endpoints to health-check now.
    pub(super) fn continue_search(
        &mut self,
        now: Timestamp,
        router_count: u32,
        targets: &[SearchTarget<'_>],
    ) -> Vec<EndpointId> {
        self.search.next_health_checks(now, router_count, targets)
    }
}
