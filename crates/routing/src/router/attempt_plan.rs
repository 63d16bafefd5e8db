//! Decides whether a request should still be dispatched and how an attempt is sent. Everything here is
//! read-only.

use super::cluster_view::ClusterView;
use super::endpoint::Endpoint;
use super::overload::{SEVERE_OVERLOAD, SHEDDING_START};
use super::requests::PendingRequest;
use crate::{Idempotency, Operation, Role, TimeDelta, Timestamp};

/// The shortest delay before a hedge or an early retry, as a fraction of the latency objective. Without it,
/// too low a latency estimate would double the work.
const MIN_SECOND_ATTEMPT_DELAY: f64 = 0.3;
/// The time that a read must have left to be dispatched, in mean deviations above the mean latency.
const RESPONSE_TIME_DEVIATIONS: f64 = 3.0;
/// The probability that a new read under severe overload must have that time left, too. If all new reads had
/// to, no response would show that the overload has ended.
const NEW_READ_CHECK_PROBABILITY: f64 = 0.8;

/// The parameters with which an attempt is sent.
pub(super) struct AttemptPlan {
    /// The log position that the endpoint must have applied; `None` if any will do.
    pub(super) required_position: Option<Timestamp>,
    /// The slow-start tokens that this router has for the endpoint before the attempt.
    pub(super) slow_start_tokens: f64,
    /// How long to wait for the response before the attempt times out.
    pub(super) timeout: TimeDelta,
    /// When to check the request next: when its hedge is due, or at its deadline.
    pub(super) check_at: Timestamp,
}

impl ClusterView<'_> {
    /// Whether a request without an attempt in flight should be dispatched, either for the first time or as a
    /// retry.
    pub(super) fn should_dispatch(&self, request: &PendingRequest, chance: f64) -> bool {
        let is_idempotent = self.class_of(request).idempotency == Idempotency::Idempotent;
        request.attempt_count() < self.settings.max_attempts
            && (is_idempotent || !request.may_have_run())
            && request.has_time_to_dispatch(self.now)
            && !self.should_drop_read(request, chance)
    }

    /// Whether a read that was queued, or that arrived under severe overload, has less time left than a
    /// response is likely to take, or was queued too long. Dispatching it would only delay other requests.
    fn should_drop_read(&self, request: &PendingRequest, chance: f64) -> bool {
        let class = self.class_of(request);
        if class.operation == Operation::Write {
            return false;
        }
        let overload = self.overload_ratio(request.group(), Role::Replica);
        let checks_new_reads = overload > SEVERE_OVERLOAD && chance < NEW_READ_CHECK_PROBABILITY;
        if !checks_new_reads && self.now <= request.arrived_at() {
            return false;
        }
        let needed = self.latency.of(request.class()).quantile_bound(RESPONSE_TIME_DEVIATIONS);
        let counts_when_late = class.late_weight > 0.0;
        let latest = if counts_when_late { request.deadline() } else { request.objective_deadline() };
        request.has_queued_too_long(self.now) || self.now + needed >= latest
    }

    /// Plans an attempt. The attempt is hedged, or times out early to be retried, only if the request is
    /// idempotent, a second attempt can still meet the objective, and the group is not overloaded, since
    /// second attempts add to the load.
    pub(super) fn plan_attempt(
        &self,
        request: &PendingRequest,
        endpoint: &Endpoint,
        has_retry_token: bool,
    ) -> AttemptPlan {
        let class = self.class_of(request);
        let latency = self.latency.of(request.class());
        let min_second_attempt_delay = class.latency_objective.mul_f64(MIN_SECOND_ATTEMPT_DELAY);
        let second_attempt_delay = latency.overdue_after().max(min_second_attempt_delay);
        let allows_second_attempt = class.idempotency == Idempotency::Idempotent
            && self.now + second_attempt_delay + latency.typical() < request.objective_deadline()
            && self.overload_ratio(endpoint.group(), endpoint.role()) < SHEDDING_START;
        let hedges = allows_second_attempt && self.settings.hedging_allowed;
        let retries_early = allows_second_attempt && !hedges && has_retry_token;
        // Otherwise the attempt may take until the deadline. A timeout at the objective would not stop the
        // endpoint's work, would cost the connection, and would make the client send the request again.
        let time_left = request.deadline() - self.now;
        AttemptPlan {
            required_position: self.required_position(request),
            slow_start_tokens: self.slow_start_tokens(endpoint),
            timeout: if retries_early { second_attempt_delay.min(time_left) } else { time_left },
            check_at: if hedges { self.now + second_attempt_delay } else { request.deadline() },
        }
    }
}
