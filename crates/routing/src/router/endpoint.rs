//! The state of one endpoint: its entry in the endpoint list, and the components that are kept per endpoint.

use super::concurrency::ConcurrencyLimit;
use super::fleet_clock::FleetClock;
use super::freshness::ReplicaFreshness;
use super::in_flight::EndpointWork;
use super::latency::Slowness;
use super::outlier_detection::FailureScore;
use super::primary::RoleEvidence;
use super::read_trials::ReadTrials;
use super::slow_start::{ListedStart, WarmUp};
use crate::primary_search::SearchTarget;
use crate::{EndpointEntry, EndpointId, GroupId, Lifecycle, Role, Timestamp};

/// What the router knows of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    id: EndpointId,
    group: GroupId,
    lifecycle: Lifecycle,
    is_listed_primary: bool,
    /// When the last health check was sent to the endpoint.
    health_checked_at: Timestamp,
    /// The log position that the endpoint has applied.
    pub(super) freshness: ReplicaFreshness,
    /// The evidence that the endpoint is the primary or a replica.
    pub(super) role_evidence: RoleEvidence,
    /// The attempts of this router that the endpoint works on.
    pub(super) work: EndpointWork,
    /// How much slower than usual the endpoint responds.
    pub(super) slowness: Slowness,
    /// When the endpoint is sent a read although the load balancer passes it over.
    pub(super) read_trials: ReadTrials,
    /// The failure score and the ejections of the endpoint.
    pub(super) failures: FailureScore,
    /// How many attempts of this router the endpoint may work on at the same time.
    pub(super) concurrency: ConcurrencyLimit,
    /// The warm-up of the endpoint after its last start.
    pub(super) warm_up: WarmUp,
}

impl Endpoint {
    /// Creates the state of an endpoint of which nothing is known yet. It counts as removed until its entry
    /// in the endpoint list is applied.
    pub(super) fn new(id: EndpointId, group: GroupId, concurrency: ConcurrencyLimit) -> Self {
        Self {
            id,
            group,
            lifecycle: Lifecycle::Removed,
            is_listed_primary: false,
            health_checked_at: Timestamp::default(),
            freshness: ReplicaFreshness::default(),
            role_evidence: RoleEvidence::default(),
            work: EndpointWork::default(),
            slowness: Slowness::default(),
            read_trials: ReadTrials::default(),
            failures: FailureScore::default(),
            concurrency,
            warm_up: WarmUp::default(),
        }
    }

    pub(super) fn id(&self) -> &EndpointId {
        &self.id
    }

    pub(super) fn group(&self) -> GroupId {
        self.group
    }

    /// The role of the endpoint by the latest evidence.
    pub(super) fn role(&self) -> Role {
        self.role_evidence.role()
    }

    /// Whether the endpoint list marks the endpoint as the primary.
    pub(super) fn is_listed_primary(&self) -> bool {
        self.is_listed_primary
    }

    /// Whether the endpoint list permits new attempts and health checks. With `soft_removal`, it permits them
    /// for a removed endpoint too.
    pub(super) fn accepts_new_work(&self, soft_removal: bool) -> bool {
        match self.lifecycle {
            Lifecycle::Active => true,
            Lifecycle::Draining => false,
            Lifecycle::Removed => soft_removal,
        }
    }

    /// When the last health check was sent to the endpoint.
    pub(super) fn health_checked_at(&self) -> Timestamp {
        self.health_checked_at
    }

    /// Records that a health check is sent to the endpoint.
    pub(super) fn record_health_check(&mut self, now: Timestamp) {
        self.health_checked_at = now;
    }

    /// Records that the endpoint has just started: its warm-up begins with `tokens` slow-start tokens, and
    /// its concurrency limit falls to the minimum.
    pub(super) fn restart(&mut self, now: Timestamp, tokens: f64) {
        self.warm_up.restart(now, now, tokens);
        self.concurrency.reset();
    }

    /// Records the start time in the endpoint list. A later start than the known one resets the concurrency
    /// limit.
    pub(super) fn observe_listed_start(&mut self, now: Timestamp, start: ListedStart, clock: &FleetClock) {
        if self.warm_up.observe_listed_start(now, start, clock) {
            self.concurrency.reset();
        }
    }

    /// Converts the listed start to the router's clock again, after the fleet clock was confirmed or
    /// corrected.
    pub(super) fn recompute_listed_start(&mut self, now: Timestamp, clock: &FleetClock) {
        if self.warm_up.recompute_listed_start(now, clock) {
            self.concurrency.reset();
        }
    }

    /// Updates the endpoint from its entry in the endpoint list, and returns its previous group.
    pub(super) fn update(&mut self, entry: &EndpointEntry) -> GroupId {
        self.is_listed_primary = entry.primary;
        self.set_lifecycle(entry.lifecycle);
        std::mem::replace(&mut self.group, entry.group)
    }

    /// Sets the lifecycle state. A removal does not override a drain: with soft removal, a removed endpoint
    /// may still be sent requests, and a draining one may not.
    pub(super) fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        if self.lifecycle != Lifecycle::Draining || lifecycle == Lifecycle::Active {
            self.lifecycle = lifecycle;
        }
    }

    /// Whether the lifecycle state of the endpoint is active.
    pub(super) fn is_active(&self) -> bool {
        self.lifecycle == Lifecycle::Active
    }

    /// Whether the state of the endpoint can be discarded: it is not active, and no attempt is in flight.
    pub(super) fn is_evictable(&self) -> bool {
        !self.is_active() && self.work.is_idle()
    }

    /// The endpoint as a target of the primary search.
    pub(super) fn search_target(&self) -> SearchTarget<'_> {
        SearchTarget {
            endpoint: &self.id,
            position: self.freshness.position(),
            health_checked_at: self.health_checked_at,
            was_primary: self.role() == Role::Primary,
        }
    }
}
