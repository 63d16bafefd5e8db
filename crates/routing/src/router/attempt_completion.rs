//! Handles completed attempts: retries, closes or gives up their requests.

use super::Router;
use super::endpoint_outcomes::CompletedAttempt;
use super::in_flight::AttemptId;
use super::outlier_detection::Failure;
use crate::{Action, AttemptCompletion, AttemptOutcome, Operation, RequestId, ResponseMetadata, Timestamp};

impl Router {
    /// Records what a completed attempt shows about its endpoint, then closes or continues its request.
    pub(super) fn on_attempt_completed(
        &mut self,
        now: Timestamp,
        completion: &AttemptCompletion,
        actions: &mut Vec<Action>,
    ) {
        let completed = self.complete_attempt(now, completion);
        if let Some(metadata) = completion.metadata {
            self.record_metadata(now, &completed.endpoint, metadata, completed.elapsed, completed.is_write);
        }
        if let Some(values) = &completion.load_report {
            self.record_load_report(now, &completed.endpoint, values, completed.elapsed);
        }
        self.record_outcome(now, &completed);
        self.record_session_commit(now, &completed, completion.metadata);
        if let Some(request) = self.requests.get_mut(completion.request) {
            request.complete_attempt(completion.attempt, completed.outcome);
            self.record_errors_answered_elsewhere(now, completion.request, completed.outcome);
            if completion.request_closed {
                self.close_answered_request(now, completion.request, completed.outcome, actions);
            } else {
                self.continue_request(now, completion.request, &completed, actions);
            }
        }
    }

    fn complete_attempt(&mut self, now: Timestamp, completion: &AttemptCompletion) -> CompletedAttempt {
        let outcome = self.adjusted_outcome(now, completion);
        let id = AttemptId { request: completion.request, number: completion.attempt };
        let endpoint = self.endpoints.get_mut(&completion.endpoint);
        let attempt = endpoint.and_then(|endpoint| endpoint.work.finish(id));
        let operation = attempt.map(|attempt| self.settings.classes[attempt.class.0].operation);
        CompletedAttempt {
            endpoint: completion.endpoint.clone(),
            outcome,
            elapsed: completion.elapsed,
            attempt,
            is_write: operation == Some(Operation::Write),
        }
    }

    /// The outcome of an attempt, where a failure to connect counts as a lost connection if the endpoint
    /// responded to another attempt since this one was sent: such an endpoint is not down.
    fn adjusted_outcome(&self, now: Timestamp, completion: &AttemptCompletion) -> AttemptOutcome {
        let sent_at = now - completion.elapsed;
        let endpoint = self.endpoints.get(&completion.endpoint);
        let is_up = endpoint.is_some_and(|endpoint| endpoint.work.has_responded_since(sent_at));
        match completion.outcome {
            AttemptOutcome::ConnectionRefused | AttemptOutcome::ConnectTimeout if is_up => {
                AttemptOutcome::ConnectionLostBeforeSend
            }
            outcome => outcome,
        }
    }

    /// Advances the session token for a write that may have run, even if its response came after its request
    /// was closed. Unless the write succeeded and its response has a position, the present counts as its
    /// commit.
    fn record_session_commit(
        &mut self,
        now: Timestamp,
        completed: &CompletedAttempt,
        metadata: Option<ResponseMetadata>,
    ) {
        if !completed.is_write || completed.outcome.never_ran() {
            return;
        }
        let Some(session) = completed.attempt.and_then(|attempt| attempt.session) else { return };
        let is_success = completed.outcome == AttemptOutcome::Ok;
        let commit = metadata.filter(|_| is_success).and_then(|metadata| metadata.position);
        let commit = commit.unwrap_or(self.clock.to_fleet_time(now));
        self.session_tokens.record_commit(session, commit);
    }

    /// Records a failure of the first endpoint that returned an error for a request that another endpoint has
    /// now answered, since the error was the endpoint's own.
    fn record_errors_answered_elsewhere(&mut self, now: Timestamp, id: RequestId, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get(id) else { return };
        if outcome != AttemptOutcome::Ok || request.is_at_fault() {
            return;
        }
        let Some(erroring_endpoint) = request.first_erroring_endpoint() else { return };
        if let Some(endpoint) = self.endpoints.get_mut(erroring_endpoint) {
            endpoint.failures.record_failure(now, Failure::ErrorAnsweredElsewhere);
        }
    }

    fn close_answered_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.close_request(id, actions) else { return };
        if outcome == AttemptOutcome::Ok && now <= request.objective_deadline() {
            let weight = self.settings.classes[request.class().0].priority_weight;
            self.demand.record_served(now, &request, weight);
        }
    }

    /// Retries or gives up a request once no attempt is in flight and it has no final response.
    fn continue_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        completed: &CompletedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        if request.is_in_flight() {
            return;
        }
        if request.is_at_fault() {
            self.give_up(now, id, actions);
            return;
        }
        if completed.is_write && completed.outcome.never_ran() {
            self.record_write_not_run(now, id, completed);
        } else if completed.outcome == AttemptOutcome::Timeout {
            self.retry_budget.withdraw();
        }
        self.requests.schedule_check_at_deadline(id);
        self.route(now, id, actions);
    }

    /// Records that a write provably did not run. This shows that its endpoint is not a primary that is up,
    /// except if the attempt was not sent completely or was rejected for lack of capacity.
    fn record_write_not_run(&mut self, now: Timestamp, id: RequestId, completed: &CompletedAttempt) {
        if matches!(
            completed.outcome,
            AttemptOutcome::Rejected | AttemptOutcome::NotSent | AttemptOutcome::ConnectionLostBeforeSend
        ) {
            return;
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        request.record_failed_primary();
        let group_id = request.group();
        let next = self.view(now).next_candidate(group_id, Some(&completed.endpoint));
        let next = next.map(|endpoint| endpoint.id().clone());
        if let Some(group) = self.endpoints.group_mut(group_id) {
            group.primary.disprove(&completed.endpoint, next);
        }
    }
}
