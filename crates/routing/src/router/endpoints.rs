//! All known endpoints, and the replication groups that they belong to.

use super::concurrency::ConcurrencyLimit;
use super::endpoint::Endpoint;
use super::fleet_clock::FleetClock;
use super::overload::OverloadRatios;
use super::primary::GroupPrimary;
use super::queue::RequestQueue;
use crate::{EndpointEntry, EndpointId, GroupId, Lifecycle, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The state of one replication group.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    endpoints: BTreeSet<EndpointId>,
    /// The believed primary of the group, and the search for it.
    pub(super) primary: GroupPrimary,
    /// The queued requests of the group.
    pub(super) queue: RequestQueue,
    /// The overload ratios of the group's primary and replicas.
    pub(super) overload: OverloadRatios,
}

impl Group {
    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
        self.primary.remove_endpoint(endpoint);
    }

    /// Whether the group has endpoints or queued requests. A group without either is removed, or requests for
    /// unknown groups would accumulate state.
    fn is_in_use(&self) -> bool {
        !self.endpoints.is_empty() || !self.queue.is_empty()
    }
}

/// All endpoints and groups. Each identifier in a group's set of endpoints has an entry in `endpoints`.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    /// Boxed, since half of the slots in the map's nodes may be free.
    endpoints: BTreeMap<EndpointId, Box<Endpoint>>,
    groups: BTreeMap<GroupId, Group>,
    /// The number of endpoints whose lifecycle state is active.
    active_count: usize,
    /// The endpoints whose state is to be discarded once their attempts have ended.
    evicted: BTreeSet<EndpointId>,
}

impl Endpoints {
    pub(super) fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id).map(Box::as_ref)
    }

    pub(super) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id).map(Box::as_mut)
    }

    /// All endpoints, in the order of their identifiers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(Box::as_ref)
    }

    pub(super) fn group(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(&id)
    }

    pub(super) fn group_mut(&mut self, id: GroupId) -> Option<&mut Group> {
        self.groups.get_mut(&id)
    }

    /// Returns a group, and adds it if it is unknown because no endpoint is listed in it.
    pub(super) fn group_or_insert(&mut self, id: GroupId) -> &mut Group {
        self.groups.entry(id).or_default()
    }

    /// The endpoints of a group, in the order of their identifiers.
    pub(super) fn in_group<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a Endpoint> + Clone {
        group.endpoints.iter().map(|id| self.endpoints[id].as_ref())
    }

    /// The believed primary of a group.
    pub(super) fn believed_primary(&self, group: GroupId) -> Option<&Endpoint> {
        self.groups.get(&group)?.primary.believed().map(|id| self.endpoints[id].as_ref())
    }

    /// The number of endpoints whose lifecycle state is active, over all groups.
    pub(super) fn active_count(&self) -> usize {
        self.active_count
    }

    /// Adds or updates the endpoint of an entry in the endpoint list. `initial_limit` is the concurrency
    /// limit of an endpoint that was not known before.
    pub(super) fn upsert(&mut self, entry: &EndpointEntry, initial_limit: ConcurrencyLimit) -> &mut Endpoint {
        self.evicted.remove(&entry.endpoint);
        self.groups.entry(entry.group).or_default().endpoints.insert(entry.endpoint.clone());
        let new = || Box::new(Endpoint::new(entry.endpoint.clone(), entry.group, initial_limit));
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

    /// Marks as removed the endpoints that a snapshot of the endpoint list does not contain.
    pub(super) fn remove_unlisted(&mut self, listed: &BTreeSet<EndpointId>) {
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !listed.contains(endpoint.id())) {
            self.active_count -= usize::from(endpoint.is_active());
            endpoint.set_lifecycle(Lifecycle::Removed);
        }
    }

    /// Discards the state of these endpoints, and of groups that are no longer in use. That of an endpoint
    /// with attempts in flight is discarded by a later call.
    pub(super) fn evict(&mut self, ids: impl IntoIterator<Item = EndpointId>) {
        self.evicted.extend(ids);
        let Self { endpoints, groups, evicted, .. } = self;
        evicted.retain(|id| {
            let Some(endpoint) = endpoints.get(id).filter(|endpoint| !endpoint.is_active()) else {
                return false;
            };
            if !endpoint.is_evictable() {
                return true;
            }
            if let Some(group) = groups.get_mut(&endpoint.group()) {
                group.remove_endpoint(id);
            }
            endpoints.remove(id);
            false
        });
        groups.retain(|_, group| group.is_in_use());
    }

    /// Removes a group that has neither endpoints nor queued requests.
    pub(super) fn remove_group_if_unused(&mut self, id: GroupId) {
        if self.groups.get(&id).is_some_and(|group| !group.is_in_use()) {
            self.groups.remove(&id);
        }
    }

    /// Lowers positions and role evidence that are later than the present, after the fleet clock was set
    /// back: they were dated while it was ahead.
    pub(super) fn cap_times(&mut self, present: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.freshness.cap_position(present);
            endpoint.role_evidence.cap_times(present);
        }
    }

    /// Converts the listed starts to the router's clock again, after the fleet clock was confirmed or
    /// corrected.
    pub(super) fn recompute_listed_starts(&mut self, now: Timestamp, clock: &FleetClock) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.recompute_listed_start(now, clock);
        }
    }

    /// Continues the primary search of a group, and returns the endpoints to health-check now.
    pub(super) fn continue_primary_search(
        &mut self,
        now: Timestamp,
        group: GroupId,
        router_count: u32,
        soft_removal: bool,
    ) -> Vec<EndpointId> {
        let Some(group) = self.groups.get_mut(&group) else { return Vec::new() };
        let endpoints = group.endpoints.iter().map(|id| self.endpoints[id].as_ref());
        let usable = endpoints.filter(|endpoint| endpoint.accepts_new_work(soft_removal));
        let targets: Vec<_> = usable.map(Endpoint::search_target).collect();
        group.primary.continue_search(now, router_count, &targets)
    }
}
