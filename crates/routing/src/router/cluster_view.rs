//! A read-only view of the router's components at one moment, for decisions that depend on several of them.

use super::demand::Demand;
use super::endpoint::Endpoint;
use super::endpoints::Endpoints;
use super::fleet_clock::FleetClock;
use super::freshness::required_position;
use super::latency::LatencyEstimates;
use super::overload::{OverloadRatios, SEVERE_OVERLOAD};
use super::requests::PendingRequest;
use super::slow_start::Throughput;
use crate::{GroupId, Operation, RequestClass, Role, Settings, Timestamp};

/// The router's components, read-only, at `now`.
#[derive(Clone, Copy)]
pub(super) struct ClusterView<'a> {
    pub(super) now: Timestamp,
    pub(super) settings: &'a Settings,
    pub(super) clock: &'a FleetClock,
    pub(super) endpoints: &'a Endpoints,
    pub(super) latency: &'a LatencyEstimates,
    pub(super) demand: &'a Demand,
    pub(super) overload: &'a OverloadRatios,
    pub(super) throughput: &'a Throughput,
    /// Whether the router itself stalled until `now`. What became overdue during the stall proves nothing
    /// about endpoints.
    pub(super) has_stalled: bool,
}

impl<'a> ClusterView<'a> {
    /// The settings of a request's class.
    pub(super) fn class_of(&self, request: &PendingRequest) -> &'a RequestClass {
        &self.settings.classes[request.class().0]
    }

    pub(super) fn operation_of(&self, request: &PendingRequest) -> Operation {
        self.class_of(request).operation
    }

    /// The log position that an endpoint must have applied to serve a request; `None` if any will do.
    pub(super) fn required_position(&self, request: &PendingRequest) -> Option<Timestamp> {
        required_position(self.operation_of(request), request, self.now, self.clock)
    }

    /// The overload ratio of a group's endpoints of this role; the fleet's ratio if the group is unknown.
    pub(super) fn overload_ratio(&self, group: GroupId, role: Role) -> f64 {
        let fleet_ratio = self.overload.fleet_ratio(self.now, role);
        match self.endpoints.group(group) {
            Some(group) => group.overload.group_ratio(self.now, role, fleet_ratio),
            None => fleet_ratio,
        }
    }

    /// Whether the endpoint list permits new attempts to an endpoint.
    pub(super) fn accepts_new_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.accepts_new_work(self.settings.soft_removal)
    }

    /// Whether a read that requires this position may be sent to a replica. Where endpoints reject stale
    /// reads, that includes a replica of unknown position.
    pub(super) fn may_serve(&self, endpoint: &Endpoint, required_position: Option<Timestamp>) -> bool {
        endpoint.freshness.may_serve(self.now, required_position, self.settings.stale_read_policy)
    }

    /// The number of this router's attempts that an endpoint works on, including abandoned attempts that may
    /// still run.
    pub(super) fn work_of(&self, endpoint: &Endpoint) -> f64 {
        endpoint.work.outstanding_count(self.now, self.latency)
    }

    /// The number of attempts in flight at an endpoint that are not considered lost.
    fn live_attempts_of(&self, endpoint: &Endpoint) -> f64 {
        endpoint.work.live_count(self.now, self.latency)
    }

    /// The load of an endpoint: its weighted work, multiplied by factors for slowness and failures.
    pub(super) fn load_of(&self, endpoint: &Endpoint) -> f64 {
        let work = endpoint.work.weighted_load(self.now, self.latency);
        work * endpoint.slowness.factor(self.now) * endpoint.failures.load_factor()
    }

    /// Whether an endpoint seems to be down: it is ejected, or it is silent, or it is on probation after an
    /// ejection and an attempt in flight already tests it.
    pub(super) fn is_suspect(&self, endpoint: &Endpoint) -> bool {
        endpoint.failures.is_ejected(self.now)
            || (endpoint.failures.is_on_probation() && self.live_attempts_of(endpoint) > 0.0)
            || (!self.has_stalled && endpoint.work.is_silent(self.now, self.latency))
    }

    /// Whether the concurrency limit of an endpoint and, during warm-up, its slow-start tokens permit one
    /// more attempt.
    pub(super) fn has_room(&self, endpoint: &Endpoint) -> bool {
        let is_warming = endpoint.warm_up.capacity_fraction(self.now, self.settings) < 1.0;
        let lacks_token = is_warming && self.slow_start_tokens(endpoint) < 1.0;
        endpoint.concurrency.has_room(self.now, self.work_of(endpoint)) && !lacks_token
    }

    /// The slow-start tokens that this router has for an endpoint; each permits one attempt during warm-up.
    pub(super) fn slow_start_tokens(&self, endpoint: &Endpoint) -> f64 {
        let is_overloaded = self.overload.fleet_ratio(self.now, Role::Replica) > SEVERE_OVERLOAD;
        let active_count = self.endpoints.active_count();
        let capacity = self.throughput.capacity_per_endpoint(self.now, active_count, is_overloaded);
        endpoint.warm_up.available_tokens(self.now, capacity, self.settings)
    }

    /// The believed primary of a group, if the latest evidence confirms its role, it accepts new work and it
    /// does not seem to be down.
    pub(super) fn confirmed_primary(&self, group: GroupId) -> Option<&'a Endpoint> {
        let endpoint = self.endpoints.believed_primary(group)?;
        let is_confirmed = endpoint.role() == Role::Primary && self.accepts_new_work(endpoint);
        (is_confirmed && !self.is_suspect(endpoint)).then_some(endpoint)
    }

    /// The believed primary of a group, if it may be probed by one strong read at a time even while it is
    /// silent: it is not ejected, and all its attempts in flight are considered lost. If only some of its
    /// connections are silent, nothing else shows that the primary is alive before those connections end.
    pub(super) fn primary_to_probe(&self, group: GroupId) -> Option<&'a Endpoint> {
        let endpoint = self.endpoints.believed_primary(group)?;
        let is_available = !endpoint.failures.is_ejected(self.now) && self.live_attempts_of(endpoint) < 1.0;
        let was_primary = endpoint.role() == Role::Primary && self.accepts_new_work(endpoint);
        (was_primary && is_available).then_some(endpoint)
    }
}
