//! Which endpoint of a group is the primary: the evidence for the role of each, and what the router believes.

#[cfg(test)]
mod tests;

use crate::primary_search::{PrimarySearch, SearchTarget};
use crate::{EndpointId, Role, TimeDelta, Timestamp};

/// The latest evidence that an endpoint was the primary and that it was a replica, on the fleet's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleEvidence {
    primary_at: Timestamp,
    replica_at: Timestamp,
}

impl RoleEvidence {
    /// The role that the latest evidence shows; a replica if there is none.
    pub(super) fn role(&self) -> Role {
        if self.primary_at > self.replica_at { Role::Primary } else { Role::Replica }
    }

    /// Whether there is no evidence yet.
    pub(super) fn is_unknown(&self) -> bool {
        self.primary_at.max(self.replica_at) == Timestamp::default()
    }

    /// The time of the latest evidence that it was the primary.
    pub(super) fn primary_at(&self) -> Timestamp {
        self.primary_at
    }

    /// It was the primary at a moment.
    pub(super) fn observe_primary(&mut self, at: Timestamp) {
        self.primary_at = self.primary_at.max(at);
    }

    /// It was a replica at a moment.
    pub(super) fn observe_replica(&mut self, at: Timestamp) {
        self.replica_at = self.replica_at.max(at);
    }

    /// A response just received showed a replica. It may come long after the request, if the endpoint hung;
    /// it still goes before an older load report.
    pub(super) fn observe_replica_response(&mut self, present: Timestamp) {
        self.observe_replica(present - TimeDelta(1));
    }

    /// The fleet's clock was ahead: no evidence is later than the present.
    pub(super) fn limit_to(&mut self, present: Timestamp) {
        self.primary_at = self.primary_at.min(present);
        self.replica_at = self.replica_at.min(present);
    }
}

/// What the router believes of a group's primary.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupPrimary {
    /// Where writes are sent.
    believed: Option<EndpointId>,
    /// The attempts of a write found no primary; writes wait until one is confirmed.
    is_unknown: bool,
    search: PrimarySearch,
}

impl GroupPrimary {
    /// The endpoint believed to be the primary.
    pub(super) fn believed(&self) -> Option<&EndpointId> {
        self.believed.as_ref()
    }

    /// Whether writes wait until a primary is confirmed.
    pub(super) fn is_unknown(&self) -> bool {
        self.is_unknown
    }

    /// Believes that an endpoint is the primary.
    pub(super) fn believe(&mut self, endpoint: EndpointId) {
        self.believed = Some(endpoint);
    }

    /// An endpoint has proved not to be the primary, or to be down. If it was believed to be, `next` is from
    /// now on.
    pub(super) fn disprove(&mut self, endpoint: &EndpointId, next: Option<EndpointId>) {
        if self.believed.as_ref() == Some(endpoint) {
            self.believed = next.or(self.believed.take());
        }
    }

    /// An endpoint has left the group.
    pub(super) fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.believed.take_if(|believed| believed == endpoint);
    }

    /// The attempts of a write found no primary.
    pub(super) fn mark_unknown(&mut self) {
        self.is_unknown = true;
    }

    /// A primary was confirmed.
    pub(super) fn mark_found(&mut self) {
        self.is_unknown = false;
    }

    /// Continues the search for the primary, and returns the endpoints to health-check.
    pub(super) fn continue_search(
        &mut self,
        now: Timestamp,
        router_count: u32,
        targets: &[SearchTarget<'_>],
    ) -> Vec<EndpointId> {
        self.search.next_health_checks(now, router_count, targets)
    }
}
