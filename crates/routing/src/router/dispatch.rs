//! Dispatches requests: each is sent to an endpoint, queued, or given up.

use super::Router;
use super::freshness::carried_session_token;
use super::in_flight::{AttemptId, InFlightAttempt};
use super::requests::PendingRequest;
use crate::{
    Action, EndpointId, GroupId, Operation, Request, RequestId, SessionKey, SessionTokenSource,
    StaleReadPolicy, Timestamp,
};

impl Router {
    /// Accepts a new request and routes it. A request of an unknown class fails at once.
    pub(super) fn on_request(&mut self, now: Timestamp, request: &Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class.0) else {
            actions.push(Action::Fail { request: request.id });
            return;
        };
        let session_token = match self.settings.session_token_source {
            SessionTokenSource::Request => {
                request.since_last_write.map(|elapsed| carried_session_token(now, elapsed))
            }
            SessionTokenSource::Router => request.session.and_then(|session| self.session_token(session)),
        };
        let pending = PendingRequest::new(now, request, class, session_token);
        self.demand.record_arrival(now, &pending, class.priority_weight);
        self.retry_budget.deposit();
        self.health_check_budget.deposit(self.settings.health_check_cost);
        self.requests.insert(pending);
        self.route(now, request.id, actions);
    }

    /// The position that the reads of a session must include. A session without a token may have written
    /// before its token was removed, so its reads must include the low watermark. Endpoints that reject stale
    /// reads check that by themselves.
    fn session_token(&self, session: SessionKey) -> Option<Timestamp> {
        let token = self.session_tokens.get(session);
        match self.settings.stale_read_policy {
            StaleReadPolicy::Serve => token.or(self.session_tokens.low_watermark()),
            StaleReadPolicy::Reject => token,
        }
    }

    /// Sends a request to an endpoint, queues it if no endpoint can take it, or gives it up. Load shedding
    /// applies only to new requests.
    pub(super) fn route(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let chance = self.random.unit_interval();
        let Some(request) = self.requests.get(id) else { return };
        let view = self.view(now);
        if !view.should_dispatch(request, chance) {
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
        self.queue_schedule.schedule_at_sweep(request.group());
    }

    fn dispatch(&mut self, now: Timestamp, id: RequestId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        self.endpoints.group_or_insert(request.group()).queue.remove(request);
        self.send_attempt(now, id, endpoint, actions);
    }

    /// Starts an attempt at an endpoint and schedules the next check of the request.
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

    /// Routes the queued requests of the groups whose queues are due, highest priority density first within a
    /// group.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for group in self.queue_schedule.take_due_groups() {
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
        // The bit patterns of non-negative floats order like their values.
        queued.sort_by_cached_key(|id| std::cmp::Reverse(density(*id).to_bits()));
        queued
    }
}
