//! Gives up requests with a final response, and removes closed requests.

use super::Router;
use super::requests::PendingRequest;
use crate::{Action, Idempotency, RequestId, TimeDelta, Timestamp};

/// The shortest retry-after. An immediate retry would add to an overload.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);

impl Router {
    /// Gives a request its final response: a rejection if the client may safely retry, otherwise a failure. A
    /// request that is not idempotent is rejected only if it never ran and has time left to be dispatched.
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

    /// The retry-after of a rejection, where the settings allow one: the mean latency of the request's class,
    /// within bounds.
    fn retry_after(&self, request: &PendingRequest) -> Option<TimeDelta> {
        let delay = self.latency.of(request.class()).typical().max(MIN_RETRY_AFTER);
        self.settings.retry_after_allowed.then(|| delay.min(self.settings.max_retry_after))
    }

    /// Removes a request that has a final response, or needs none, and cancels its attempts in flight where
    /// the settings allow cancellation.
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

    /// Removes a request without cancelling its attempts in flight.
    pub(super) fn release_request(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(id)?;
        if let Some(group) = self.endpoints.group_mut(request.group()) {
            group.queue.remove(&request);
        }
        self.endpoints.remove_group_if_unused(request.group());
        Some(request)
    }
}
