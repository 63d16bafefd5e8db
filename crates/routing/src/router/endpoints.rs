//! The endpoints and their groups. Each endpoint holds what the other parts keep for it.

use super::concurrency::ConcurrencyLimit;
use super::fleet_clock::FleetClock;
use super::freshness::ReplicaFreshness;
use super::in_flight::EndpointWork;
use super::latency::Slowness;
use super::outlier_detection::FailureScore;
use super::overload::OverloadRatios;
use super::primary::{GroupPrimary, RoleEvidence};
use super::queue::RequestQueue;
use super::slow_start::{ListedStart, WarmUp};
use crate::primary_search::SearchTarget;
use crate::{EndpointEntry, EndpointId, GroupId, Lifecycle, Role, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    id: EndpointId,
    group: GroupId,
    lifecycle: Lifecycle,
    is_listed_primary: bool,
    /// When its last health check was sent.
    health_checked_at: Timestamp,
    pub(super) freshness: ReplicaFreshness,
    pub(super) role_evidence: RoleEvidence,
    pub(super) work: EndpointWork,
    pub(super) slowness: Slowness,
    pub(super) failures: FailureScore,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) warm_up: WarmUp,
}

impl Endpoint {
    /// An endpoint of which nothing is known yet.
    fn new(id: EndpointId, group: GroupId, concurrency: ConcurrencyLimit) -> Self {
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

    /// The role that it was last shown to have.
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

    fn redate_listed_start(&mut self, now: Timestamp, clock: &FleetClock) {
        if self.warm_up.redate_listed_start(now, clock) {
            self.concurrency.reset();
        }
    }

    fn is_active(&self) -> bool {
        self.lifecycle == Lifecycle::Active
    }

    /// A removal does not override a drain, which remains binding.
    fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        if self.lifecycle != Lifecycle::Draining || lifecycle == Lifecycle::Active {
            self.lifecycle = lifecycle;
        }
    }

    fn is_evictable(&self) -> bool {
        !self.is_active() && self.work.is_idle()
    }
}

/// A replication group.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    endpoints: BTreeSet<EndpointId>,
    pub(super) primary: GroupPrimary,
    pub(super) queue: RequestQueue,
    pub(super) overload: OverloadRatios,
}

impl Group {
    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
        self.primary.remove_endpoint(endpoint);
    }

    /// A group without endpoints lasts no longer than its requests.
    fn is_in_use(&self) -> bool {
        !self.endpoints.is_empty() || !self.queue.is_empty()
    }
}

/// All endpoints and groups.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    groups: BTreeMap<GroupId, Group>,
    active_count: usize,
}

impl Endpoints {
    /// An endpoint.
    pub(super) fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// An endpoint, to record what was learned of it.
    pub(super) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// All endpoints, in the order of their identifiers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// A group.
    pub(super) fn group(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(&id)
    }

    /// A group, to record what was learned of it.
    pub(super) fn group_mut(&mut self, id: GroupId) -> Option<&mut Group> {
        self.groups.get_mut(&id)
    }

    /// A group, which is added if no endpoint is listed in it.
    pub(super) fn group_or_insert(&mut self, id: GroupId) -> &mut Group {
        self.groups.entry(id).or_default()
    }

    /// The endpoints of a group, in the order of their identifiers.
    pub(super) fn in_group<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a Endpoint> + Clone {
        group.endpoints.iter().map(|id| &self.endpoints[id])
    }

    /// The endpoint that is believed to be a group's primary.
    pub(super) fn believed_primary(&self, group: GroupId) -> Option<&Endpoint> {
        self.groups.get(&group)?.primary.believed().map(|id| &self.endpoints[id])
    }

    /// The number of endpoints in service.
    pub(super) fn active_count(&self) -> usize {
        self.active_count
    }

    /// Adds or updates the endpoint of an entry of the endpoint list; `initial_limit` is that of an endpoint
    /// not known before.
    pub(super) fn upsert(&mut self, entry: &EndpointEntry, initial_limit: ConcurrencyLimit) -> &mut Endpoint {
        self.groups.entry(entry.group).or_default().endpoints.insert(entry.endpoint.clone());
        let new = || Endpoint::new(entry.endpoint.clone(), entry.group, initial_limit);
        let endpoint = self.endpoints.entry(entry.endpoint.clone()).or_insert_with(new);
        let previous_group = std::mem::replace(&mut endpoint.group, entry.group);
        if previous_group != entry.group
            && let Some(group) = self.groups.get_mut(&previous_group)
        {
            group.remove_endpoint(&entry.endpoint);
        }
        endpoint.is_listed_primary = entry.primary;
        update_lifecycle(endpoint, entry.lifecycle, &mut self.active_count);
        endpoint
    }

    /// Removes from service the endpoints that a snapshot of the endpoint list does not contain.
    pub(super) fn remove_unlisted(&mut self, listed: &BTreeSet<EndpointId>) {
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !listed.contains(&endpoint.id)) {
            update_lifecycle(endpoint, Lifecycle::Removed, &mut self.active_count);
        }
    }

    /// Forgets endpoints that are out of service and have no attempt in flight.
    pub(super) fn evict(&mut self, ids: &[EndpointId]) {
        for id in ids {
            let Some(endpoint) = self.endpoints.get(id).filter(|endpoint| endpoint.is_evictable()) else {
                continue;
            };
            if let Some(group) = self.groups.get_mut(&endpoint.group) {
                group.remove_endpoint(id);
            }
            self.endpoints.remove(id);
        }
        self.groups.retain(|_, group| group.is_in_use());
    }

    /// Removes a group that has neither endpoints nor queued requests.
    pub(super) fn remove_group_if_unused(&mut self, id: GroupId) {
        if self.groups.get(&id).is_some_and(|group| !group.is_in_use()) {
            self.groups.remove(&id);
        }
    }

    /// The fleet's clock was ahead: nothing that was dated by it is later than the present.
    pub(super) fn limit_times(&mut self, present: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.freshness.limit_position(present);
            endpoint.role_evidence.limit_to(present);
        }
    }

    /// Dates listed starts anew, after the clock was confirmed or corrected.
    pub(super) fn redate_listed_starts(&mut self, now: Timestamp, clock: &FleetClock) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.redate_listed_start(now, clock);
        }
    }

    /// Continues the search for a group's primary, and returns the endpoints to health-check.
    pub(super) fn continue_primary_search(
        &mut self,
        now: Timestamp,
        group: GroupId,
        router_count: u32,
        soft_removal: bool,
    ) -> Vec<EndpointId> {
        let Some(group) = self.groups.get_mut(&group) else { return Vec::new() };
        let endpoints = group.endpoints.iter().map(|id| &self.endpoints[id]);
        let targets: Vec<_> = endpoints
            .filter(|endpoint| endpoint.accepts_new_work(soft_removal))
            .map(|endpoint| SearchTarget {
                endpoint: &endpoint.id,
                position: endpoint.freshness.position(),
                health_checked_at: endpoint.health_checked_at,
                was_primary: endpoint.role() == Role::Primary,
            })
            .collect();
        group.primary.continue_search(now, router_count, &targets)
    }
}

fn update_lifecycle(endpoint: &mut Endpoint, lifecycle: Lifecycle, active_count: &mut usize) {
    *active_count -= usize::from(endpoint.is_active());
    endpoint.set_lifecycle(lifecycle);
    *active_count += usize::from(endpoint.is_active());
}
