//! Whether a request is still worth an attempt, and how an attempt is sent. Nothing is changed here.

use super::cluster_view::ClusterView;
use super::endpoints::Endpoint;
use super::in_flight::OVERDUE_DEVIATIONS;
use super::overload::{SEVERE_OVERLOAD, SHEDDING_START};
use super::requests::PendingRequest;
use crate::{Idempotency, Operation, Role, TimeDelta, Timestamp};

/// An attempt is retried or hedged no sooner than after this fraction of the objective: a short guess of the
/// latency would double the work.
const MIN_PATIENCE: f64 = 0.3;
/// Mean deviations above the mean latency that a read must have left to be worth dispatching.
const HOPELESS_DEVIATIONS: f64 = 3.0;
/// The fraction of new requests that this is demanded of under severe overload. If it were all, no response
/// would show that the overload has passed.
const HOPELESS_NEW_FRACTION: f64 = 0.8;

/// How an attempt is sent.
pub(super) struct AttemptPlan {
    /// The log position that the endpoint must have applied.
    pub(super) required_position: Option<Timestamp>,
    /// The slow-start tokens that the endpoint has before the attempt.
    pub(super) slow_start_tokens: f64,
    /// How long to wait for the response.
    pub(super) timeout: TimeDelta,
    /// When to look at the request, to hedge it or to end it.
    pub(super) check_at: Timestamp,
}

impl ClusterView<'_> {
    /// Whether a request that has no attempt in flight should be sent, or sent again.
    pub(super) fn is_worth_dispatching(&self, request: &PendingRequest, chance: f64) -> bool {
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

    /// How to send an attempt. It is hedged, or timed out early and retried, if it may be repeated and a
    /// second attempt can still meet the objective, and only while its group is not overloaded, since second
    /// attempts add to the load.
    pub(super) fn plan_attempt(
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
