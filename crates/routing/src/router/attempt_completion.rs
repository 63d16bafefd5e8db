//! What the end of an attempt means for its request.

use super::Router;
use super::endpoint_outcomes::CompletedAttempt;
use super::in_flight::AttemptId;
use super::outlier_detection::Failure;
use crate::{Action, AttemptCompletion, AttemptOutcome, Operation, RequestId, ResponseMetadata, Timestamp};

impl Router {
    /// An attempt completed.
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

    /// An endpoint that responded to another attempt meanwhile is not down: this connection was lost.
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

    /// A write that may have run is one of its session's: its response may have come when it was no longer
    /// waited for.
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

    /// An endpoint that returns an error for what another one answers is at fault itself.
    fn record_errors_answered_elsewhere(&mut self, now: Timestamp, id: RequestId, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get(id) else { return };
        if outcome != AttemptOutcome::Ok || request.is_at_fault() {
            return;
        }
        let Some(erroring) = request.first_erroring_endpoint() else { return };
        if let Some(endpoint) = self.endpoints.get_mut(erroring) {
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
        if outcome == AttemptOutcome::Ok && now <= request.objective_at() {
            let weight = self.settings.classes[request.class().0].priority_weight;
            self.demand.record_served(now, &request, weight);
        }
    }

    /// Retries a request whose last attempt in flight has ended without a final response, or gives it up.
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

    /// A write provably did not run. Unless it was not sent, or rejected for lack of capacity, that shows
    /// that its endpoint is not a primary that is up.
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
