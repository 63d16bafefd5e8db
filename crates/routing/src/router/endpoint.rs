//! An endpoint, with what the other parts keep for it.

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

/// An endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    id: EndpointId,
    group: GroupId,
    lifecycle: Lifecycle,
    is_listed_primary: bool,
    /// When its last health check was sent.
    health_checked_at: Timestamp,
    /// How current its data is.
    pub(super) freshness: ReplicaFreshness,
    /// Whether it is the primary.
    pub(super) role_evidence: RoleEvidence,
    /// Its work for this router.
    pub(super) work: EndpointWork,
    /// How much slower than usual it responds.
    pub(super) slowness: Slowness,
    /// When it takes a read although it is passed over.
    pub(super) read_trials: ReadTrials,
    /// Its failures and ejections.
    pub(super) failures: FailureScore,
    /// How much work it may have.
    pub(super) concurrency: ConcurrencyLimit,
    /// Its warm-up after a start.
    pub(super) warm_up: WarmUp,
}

impl Endpoint {
    /// An endpoint of which nothing is known yet.
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

    /// Its identifier.
    pub(super) fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Its group.
    pub(super) fn group(&self) -> GroupId {
        self.group
    }

    /// The role that the latest evidence shows.
    pub(super) fn role(&self) -> Role {
        self.role_evidence.role()
    }

    /// Whether the endpoint list shows it as the primary.
    pub(super) fn is_listed_primary(&self) -> bool {
        self.is_listed_primary
    }

    /// Whether the endpoint list permits to send it anything new; with `soft_removal`, a removed one is
    /// permitted.
    pub(super) fn accepts_new_work(&self, soft_removal: bool) -> bool {
        match self.lifecycle {
            Lifecycle::Active => true,
            Lifecycle::Draining => false,
            Lifecycle::Removed => soft_removal,
        }
    }

    /// When its last health check was sent.
    pub(super) fn health_checked_at(&self) -> Timestamp {
        self.health_checked_at
    }

    /// A health check is sent.
    pub(super) fn record_health_check(&mut self, now: Timestamp) {
        self.health_checked_at = now;
    }

    /// It has just started: it is cold, and has the lowest concurrency limit.
    pub(super) fn restart(&mut self, now: Timestamp, tokens: f64) {
        self.warm_up.restart(now, now, tokens);
        self.concurrency.reset();
    }

    /// Records the start that the endpoint list shows.
    pub(super) fn observe_listed_start(&mut self, now: Timestamp, start: ListedStart, clock: &FleetClock) {
        if self.warm_up.observe_listed_start(now, start, clock) {
            self.concurrency.reset();
        }
    }

    /// Dates the listed start anew, after the fleet's clock was confirmed or corrected.
    pub(super) fn redate_listed_start(&mut self, now: Timestamp, clock: &FleetClock) {
        if self.warm_up.redate_listed_start(now, clock) {
            self.concurrency.reset();
        }
    }

    /// Updates it from its entry in the endpoint list, and returns the group that it was in.
    pub(super) fn update(&mut self, entry: &EndpointEntry) -> GroupId {
        self.is_listed_primary = entry.primary;
        self.set_lifecycle(entry.lifecycle);
        std::mem::replace(&mut self.group, entry.group)
    }

    /// Sets its lifecycle state. A removal does not override a drain, which remains binding.
    pub(super) fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        if self.lifecycle != Lifecycle::Draining || lifecycle == Lifecycle::Active {
            self.lifecycle = lifecycle;
        }
    }

    /// Whether it is in service.
    pub(super) fn is_active(&self) -> bool {
        self.lifecycle == Lifecycle::Active
    }

    /// Whether it can be forgotten: it is out of service, and has no attempt in flight.
    pub(super) fn is_evictable(&self) -> bool {
        !self.is_active() && self.work.is_idle()
    }

    /// What the search for a primary needs to know of it.
    pub(super) fn search_target(&self) -> SearchTarget<'_> {
        SearchTarget {
            endpoint: &self.id,
            position: self.freshness.position(),
            health_checked_at: self.health_checked_at,
            was_primary: self.role() == Role::Primary,
        }
    }
}
