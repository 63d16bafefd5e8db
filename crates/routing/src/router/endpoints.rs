//! The endpoints and their groups.

use super::concurrency::ConcurrencyLimit;
use super::endpoint::Endpoint;
use super::fleet_clock::FleetClock;
use super::overload::OverloadRatios;
use super::primary::GroupPrimary;
use super::queue::RequestQueue;
use crate::{EndpointEntry, EndpointId, GroupId, Lifecycle, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A replication group.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    endpoints: BTreeSet<EndpointId>,
    /// What the router believes of its primary.
    pub(super) primary: GroupPrimary,
    /// Its queued requests.
    pub(super) queue: RequestQueue,
    /// How overloaded its endpoints are.
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
        let was_active = endpoint.is_active();
        let previous_group = endpoint.update(entry);
        if previous_group != entry.group
            && let Some(group) = self.groups.get_mut(&previous_group)
        {
            group.remove_endpoint(&entry.endpoint);
        }
        self.active_count -= usize::from(was_active);
        self.active_count += usize::from(endpoint.is_active());
        endpoint
    }

    /// Removes from service the endpoints that a snapshot of the endpoint list does not contain.
    pub(super) fn remove_unlisted(&mut self, listed: &BTreeSet<EndpointId>) {
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !listed.contains(endpoint.id())) {
            self.active_count -= usize::from(endpoint.is_active());
            endpoint.set_lifecycle(Lifecycle::Removed);
        }
    }

    /// Forgets endpoints that are out of service and have no attempt in flight.
    pub(super) fn evict(&mut self, ids: &[EndpointId]) {
        for id in ids {
            let Some(endpoint) = self.endpoints.get(id).filter(|endpoint| endpoint.is_evictable()) else {
                continue;
            };
            if let Some(group) = self.groups.get_mut(&endpoint.group()) {
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
        let usable = endpoints.filter(|endpoint| endpoint.accepts_new_work(soft_removal));
        let targets: Vec<_> = usable.map(Endpoint::search_target).collect();
        group.primary.continue_search(now, router_count, &targets)
    }
}
