//! Dispatching requests: a request is sent to an endpoint, queued, or given up.

use super::Router;
use super::cluster_view::ClusterView;
use super::endpoints::Endpoint;
use super::freshness::carried_session_token;
use super::in_flight::{AttemptId, InFlightAttempt, OVERDUE_DEVIATIONS};
use super::load_balancing::ReadRandomness;
use super::overload::{SEVERE_OVERLOAD, SHEDDING_START};
use super::requests::PendingRequest;
use crate::{
    Action, Consistency, EndpointId, GroupId, Idempotency, Operation, Request, RequestId, Role,
    SessionTokenSource, StaleReadPolicy, TimeDelta, Timestamp,
};

/// An attempt is retried or hedged no sooner than after this fraction of the objective: a short guess of the
/// latency would double the work.
const MIN_PATIENCE: f64 = 0.3;
/// Mean deviations above the mean latency that a read must have left to be worth dispatching.
const HOPELESS_DEVIATIONS: f64 = 3.0;
/// The fraction of new requests that this is demanded of under severe overload. If it were all, no response
/// would show that the overload has passed.
const HOPELESS_NEW_FRACTION: f64 = 0.8;
/// The shortest retry-after; an immediate retry would add to an overload.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);

/// How an attempt is sent.
struct AttemptPlan {
    required_position: Option<Timestamp>,
    slow_start_tokens: f64,
    /// How long to wait for the response.
    timeout: TimeDelta,
    /// When to look at the request, to hedge it or to end it.
    check_at: Timestamp,
}

impl Router {
    /// A request arrived.
    pub(super) fn on_request(&mut self, now: Timestamp, request: &Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class.0) else {
            actions.push(Action::Fail { request: request.id });
            return;
        };
        let session_token = match self.settings.session_token_source {
            SessionTokenSource::Request => {
                request.since_last_write.map(|elapsed| carried_session_token(now, elapsed))
            }
            SessionTokenSource::Router => {
                request.session.and_then(|session| self.session_tokens.get(session))
            }
        };
        let pending = PendingRequest::new(now, request, class, session_token);
        self.demand.record_arrival(now, &pending, class.priority_weight);
        self.retry_budget.deposit();
        self.health_check_budget.deposit(self.settings.health_check_cost);
        self.requests.insert(pending);
        self.route(now, request.id, actions);
    }

    /// Sends a request to an endpoint, queues it, or gives it up.
    pub(super) fn route(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let chance = self.random.unit_interval();
        let Some(request) = self.requests.get(id) else { return };
        let view = self.view(now);
        if !view.is_worth_dispatching(request, chance) {
            self.give_up(now, id, actions);
            return;
        }
        let is_new = request.is_new(now);
        let endpoint = match view.operation_of(request) {
            Operation::Write => self.select_for_write(now, id, actions),
            Operation::Read(_) => self.select_for_read(now, id, actions),
        };
        if let Some(endpoint) = endpoint.as_ref().filter(|_| is_new)
            && self.should_shed(now, id, endpoint)
        {
            self.give_up(now, id, actions);
            return;
        }
        match endpoint {
            Some(endpoint) => self.dispatch(now, id, endpoint, actions),
            None => self.enqueue(id),
        }
    }

    fn should_shed(&mut self, now: Timestamp, id: RequestId, endpoint: &EndpointId) -> bool {
        let chance = self.random.unit_interval();
        let Some(request) = self.requests.get(id) else { return false };
        let Some(endpoint) = self.endpoints.get(endpoint) else { return false };
        self.view(now).should_shed(request, endpoint.role(), chance)
    }

    fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        self.endpoints.group_or_insert(request.group()).queue.insert(request);
        self.queue_schedule.retry_at_sweep(request.group());
    }

    fn dispatch(&mut self, now: Timestamp, id: RequestId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        self.endpoints.group_or_insert(request.group()).queue.remove(request);
        self.send_attempt(now, id, endpoint, actions);
    }

    /// Sends an attempt to an endpoint.
    pub(super) fn send_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint_id: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(endpoint) = self.endpoints.get(&endpoint_id) else { return };
        let plan = self.view(now).plan_attempt(request, endpoint, self.retry_budget.has_token());
        self.requests.schedule_check(id, plan.check_at);
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else { return };
        let number = request.start_attempt(endpoint_id.clone());
        let attempt = InFlightAttempt {
            sent_at: now,
            class: request.class(),
            session: request.session(),
            required_position: plan.required_position,
        };
        endpoint.work.start(AttemptId { request: id, number }, attempt);
        endpoint.warm_up.spend_token(now, plan.slow_start_tokens);
        actions.push(Action::Send { request: id, endpoint: endpoint_id, timeout: plan.timeout });
    }

    /// Selects the endpoint for a read, and sends the health checks that it calls for.
    pub(super) fn select_for_read(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let index_seed = self.random.index_seed();
        let randomness = ReadRandomness { index_seed, chance: self.random.unit_interval() };
        let trusts_clock = self.trusts_clock(now, id);
        let request = self.requests.get(id)?;
        let group = request.group();
        let budget = &self.health_check_budget;
        let selection = self.view(now).select_for_read(request, randomness, trusts_clock, budget)?;
        self.health_check_budget.withdraw(selection.health_checks.len());
        self.send_health_checks(now, &selection.health_checks, TimeDelta::ZERO, actions);
        if selection.endpoint.is_none() && self.view(now).shown_primary(group).is_none() {
            self.search_primary(now, group, actions);
        }
        selection.endpoint
    }

    /// Whether the age of data can be told for this request. A router that has just started knows the present
    /// by its own clock alone; it gives a listed primary, which it health-checks anyway, a moment to confirm
    /// it.
    fn trusts_clock(&mut self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return true };
        let view = self.view(now);
        let is_bounded =
            matches!(view.operation_of(request), Operation::Read(Consistency::BoundedStaleness(_)));
        let sends_health_checks =
            self.settings.health_checks_allowed && self.settings.stale_read_policy == StaleReadPolicy::Serve;
        if !is_bounded || !sends_health_checks || self.clock.is_confirmed() {
            return true;
        }
        !view.has_listed_primary(request.group()) || self.clock.has_awaited_confirmation(now)
    }

    /// Selects the believed primary, while nothing speaks against it. Otherwise the write waits for one to be
    /// shown.
    fn select_for_write(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let request = self.requests.get(id)?;
        let group_id = request.group();
        let selection = self.view(now).select_for_write(request)?;
        let believed = &mut self.endpoints.group_mut(group_id)?.primary;
        believed.believe(selection.primary.clone());
        if selection.has_exhausted_candidates {
            believed.mark_unknown();
        }
        let is_unknown = believed.is_unknown();
        let view = self.view(now);
        let primary = self.endpoints.get(&selection.primary)?;
        if !selection.is_shown && (is_unknown || view.is_suspect(primary)) {
            self.search_primary(now, group_id, actions);
            return None;
        }
        view.has_room(primary).then_some(selection.primary)
    }

    /// Tries the queued requests of all groups of which something new is known, highest priority density
    /// first.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for group in self.queue_schedule.take_groups_to_retry() {
            for id in self.queued_by_priority(now, group) {
                self.route(now, id, actions);
            }
        }
    }

    fn queued_by_priority(&self, now: Timestamp, group: GroupId) -> Vec<RequestId> {
        let Some(group) = self.endpoints.group(group) else { return Vec::new() };
        let view = self.view(now);
        let density = |id| self.requests.get(id).map_or(0.0, |request| view.priority_density(request));
        let mut queued: Vec<RequestId> = group.queue.requests().collect();
        // Densities are not negative, so that their bits are in the order of their values.
        queued.sort_by_cached_key(|id| std::cmp::Reverse(density(*id).to_bits()));
        queued
    }

    /// Gives a request its final response at once: a rejection where a retry does no harm.
    pub(super) fn give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let is_idempotent = self.view(now).class_of(request).idempotency == Idempotency::Idempotent;
        if is_idempotent || (!request.may_have_run() && request.has_time_to_dispatch(now)) {
            let retry_after = self.retry_after(request);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close_request(id, actions);
    }

    fn retry_after(&self, request: &PendingRequest) -> Option<TimeDelta> {
        let delay = self.latency.of(request.class()).typical().max(MIN_RETRY_AFTER);
        self.settings.retry_after_allowed.then(|| delay.min(self.settings.max_retry_after))
    }

    /// Removes a request that has its final response, or needs none, and cancels its attempts in flight.
    pub(super) fn close_request(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<PendingRequest> {
        let request = self.release_request(id)?;
        if self.settings.cancellation_allowed {
            actions
                .extend(request.in_flight_attempts().map(|attempt| Action::Cancel { request: id, attempt }));
        }
        Some(request)
    }

    /// Removes a request, and leaves its attempts in flight.
    pub(super) fn release_request(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(id)?;
        if let Some(group) = self.endpoints.group_mut(request.group()) {
            group.queue.remove(&request);
        }
        self.endpoints.remove_group_if_unused(request.group());
        Some(request)
    }
}

impl ClusterView<'_> {
    /// Whether a request that has no attempt in flight should be sent, or sent again.
    fn is_worth_dispatching(&self, request: &PendingRequest, chance: f64) -> bool {
        let is_idempotent = self.class_of(request).idempotency == Idempotency::Idempotent;
        request.attempt_count() < self.settings.max_attempts
            && (is_idempotent || !request.may_have_run())
            && request.has_time_to_dispatch(self.now)
            && !self.is_hopeless(request, chance)
    }

    /// Whether a read that waited, or that arrived under severe overload, has less time left than a response
    /// takes. It would only keep others waiting.
    fn is_hopeless(&self, request: &PendingRequest, chance: f64) -> bool {
        let class = self.class_of(request);
        if class.operation == Operation::Write {
            return false;
        }
        let overload = self.overload_ratio(request.group(), Role::Replica);
        let is_demanded_of_new = overload > SEVERE_OVERLOAD && chance < HOPELESS_NEW_FRACTION;
        if !is_demanded_of_new && self.now <= request.arrived_at() {
            return false;
        }
        let needed = self.latency.of(request.class()).quantile_bound(HOPELESS_DEVIATIONS);
        let is_worth_late = class.late_weight > 0.0;
        let latest = if is_worth_late { request.deadline() } else { request.objective_at() };
        request.has_queued_too_long(self.now) || self.now + needed >= latest
    }

    /// Whether a group has a listed primary that may be sent anything.
    fn has_listed_primary(&self, group: GroupId) -> bool {
        let Some(group) = self.endpoints.group(group) else { return false };
        let mut endpoints = self.endpoints.in_group(group);
        endpoints.any(|endpoint| endpoint.is_listed_primary() && self.accepts_new_work(endpoint))
    }

    /// How to send an attempt. It is hedged, or timed out early and retried, if it may be repeated and a
    /// second attempt can still meet the objective, and only while its group is not overloaded, since second
    /// attempts add to the load.
    fn plan_attempt(
        &self,
        request: &PendingRequest,
        endpoint: &Endpoint,
        has_retry_token: bool,
    ) -> AttemptPlan {
        let class = self.class_of(request);
        let latency = self.latency.of(request.class());
        let min_patience = class.latency_objective.mul_f64(MIN_PATIENCE);
        let patience = latency.quantile_bound(OVERDUE_DEVIATIONS).max(min_patience);
        let is_repeatable = class.idempotency == Idempotency::Idempotent
            && self.now + patience + latency.typical() < request.objective_at()
            && self.overload_ratio(endpoint.group(), endpoint.role()) < SHEDDING_START;
        let is_hedged = is_repeatable && self.settings.hedging_allowed;
        let is_retried = is_repeatable && !is_hedged && has_retry_token;
        // Otherwise it is not timed out at the objective: its work would go on, its connection would be lost,
        // and its client would ask once more.
        let time_left = request.deadline() - self.now;
        AttemptPlan {
            required_position: self.required_position(request),
            slow_start_tokens: self.slow_start_tokens(endpoint),
            timeout: if is_retried { patience.min(time_left) } else { time_left },
            check_at: if is_hedged { self.now + patience } else { request.deadline() },
        }
    }
}
