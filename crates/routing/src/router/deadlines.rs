//! Time-driven work: hedges of overdue attempts, deadlines, sweeps of the queues and polls of the endpoint
//! list.

use super::Router;
use crate::{Action, RequestId, Timestamp};

impl Router {
    /// Processes the scheduled checks that are due, and sweeps if the sweep interval has passed.
    pub(super) fn process_due_checks(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(id) = self.requests.first_due(now) {
            self.on_check_due(now, id, actions);
        }
        if self.timers.start_sweep(now) {
            self.sweep(now, actions);
        }
    }

    /// Polls the endpoint list if that is due, makes queued requests due for dispatch, and removes session
    /// tokens that all endpoints accepting new work have applied.
    fn sweep(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.timers.start_poll(now) {
            actions.push(Action::Subscribe);
        }
        self.queue_schedule.start_sweep();
        if self.session_tokens.should_remove_applied() {
            let view = self.view(now);
            let usable = self.endpoints.iter().filter(|endpoint| view.accepts_new_work(endpoint));
            let lowest_position = usable.map(|endpoint| endpoint.freshness.position()).min();
            self.session_tokens.remove_applied(lowest_position);
        }
    }

    /// Gives up a request past its deadline, or hedges a request whose attempt is overdue if a hedge is
    /// permitted.
    fn on_check_due(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| now < request.deadline()) else {
            self.give_up(now, id, actions);
            return;
        };
        let may_hedge = request.attempt_count() < self.settings.max_attempts
            && request.in_flight_count() <= 1
            && self.retry_budget.has_token()
            && now < request.objective_deadline()
            && !self.timers.has_stalled(now);
        self.requests.schedule_check_at_deadline(id);
        if may_hedge {
            self.hedge(now, id, actions);
        }
    }

    /// Sends a second attempt to an endpoint that the request has not tried, if one can take it.
    fn hedge(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.select_for_read(now, id, actions) else { return };
        let is_untried = self.requests.get(id).is_some_and(|request| !request.has_tried(&endpoint));
        if is_untried {
            self.retry_budget.withdraw();
            self.send_attempt(now, id, endpoint, actions);
        }
    }
}
