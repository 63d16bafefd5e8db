//! Updates the state of an endpoint when an attempt or a health check completes: failure score, latency,
//! concurrency limit, warm-up and overload ratio.

use super::Router;
use super::cluster_view::ClusterView;
use super::in_flight::InFlightAttempt;
use super::latency::LatencyEstimate;
use super::outlier_detection::Failure;
use super::overload::OverloadSample;
use crate::time::Microseconds;
use crate::{AttemptOutcome, EndpointId, GroupId, Role, StaleReadPolicy, TimeDelta, Timestamp};

/// A response that takes longer than this fraction of its class's latency objective is a sign of overload.
const TIMELY_FRACTION: f64 = 0.4;

/// An attempt or a health check that completed.
pub(super) struct CompletedAttempt {
    /// The endpoint that the attempt or the health check was sent to.
    pub(super) endpoint: EndpointId,
    /// The outcome, corrected if responses to other attempts show that the endpoint was up.
    pub(super) outcome: AttemptOutcome,
    /// The time since the attempt or the health check was sent.
    pub(super) elapsed: TimeDelta,
    /// The attempt; `None` for a health check, or if the attempt is no longer known.
    pub(super) attempt: Option<InFlightAttempt>,
    /// Whether the attempt was an attempt of a write; `false` for a health check.
    pub(super) is_write: bool,
}

/// The state of the endpoint at the completion, before it is updated.
struct OutcomeContext {
    group: GroupId,
    role: Role,
    /// The number of other attempts that the endpoint works on for this router.
    work: f64,
    slow_start_tokens: f64,
    /// Whether the attempt is long overdue although one that was sent later succeeded. The attempt was lost,
    /// which is no failure of the endpoint.
    was_overtaken: bool,
    /// Whether the endpoint responded to other attempts after this one was sent.
    has_responded_meanwhile: bool,
    /// The usual latency of the attempt's class; `None` without an attempt.
    class_latency: Option<LatencyEstimate>,
    /// Whether the response was a rejection, or took longer than [`TIMELY_FRACTION`] of the class's latency
    /// objective.
    is_late: bool,
}

impl Router {
    /// Handles the completion of a health check. Only a failure to connect counts as an outcome: a success
    /// does not show that attempts are answered, because health checks bypass the queue of an endpoint that
    /// hangs.
    pub(super) fn on_health_check_completed(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        elapsed: TimeDelta,
        load_report: Option<&[f64]>,
    ) {
        if let Some(values) = load_report {
            self.record_load_report(now, &endpoint, values, elapsed);
        }
        if matches!(outcome, AttemptOutcome::ConnectionRefused | AttemptOutcome::ConnectTimeout) {
            let completed = CompletedAttempt { endpoint, outcome, elapsed, attempt: None, is_write: false };
            self.record_outcome(now, &completed);
        }
    }

    /// Updates the state of the endpoint after an attempt, or after a health check that could not connect.
    pub(super) fn record_outcome(&mut self, now: Timestamp, completed: &CompletedAttempt) {
        let Some(context) = self.view(now).outcome_context(completed) else { return };
        self.queue_schedule.schedule_now(context.group);
        // A timeout or a closed connection after a stall of this router itself is no failure of the endpoint.
        let is_lost = matches!(completed.outcome, AttemptOutcome::Timeout | AttemptOutcome::ConnectionReset);
        if self.timers.has_stalled(now) && is_lost {
            return;
        }
        let chance = self.random.unit_interval();
        self.record_work(now, completed, &context);
        match completed.outcome {
            AttemptOutcome::Ok => self.record_success(now, completed, &context),
            AttemptOutcome::Timeout => self.record_timeout(now, completed, &context),
            AttemptOutcome::ConnectionReset | AttemptOutcome::ConnectionLostBeforeSend => {
                self.record_failure(now, completed, Failure::LostResponse);
            }
            AttemptOutcome::ConnectionRefused => self.record_refused(now, completed, &context, chance),
            AttemptOutcome::ConnectTimeout => self.record_unreachable(now, completed),
            AttemptOutcome::Rejected => self.record_rejection(now, completed, &context),
            AttemptOutcome::NotEligible => self.record_not_eligible(now, completed),
            // An error counts as a failure of the endpoint only once another endpoint answers the same
            // request.
            AttemptOutcome::Error | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        self.record_latency(now, completed, &context);
        self.record_trial(completed, &context);
        self.record_overload(now, completed, &context);
    }

    fn record_work(&mut self, now: Timestamp, completed: &CompletedAttempt, context: &OutcomeContext) {
        let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) else { return };
        match completed.outcome {
            AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::NotEligible => {
                endpoint.work.record_response(now);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::Timeout => {
                if let Some(latency) = context.class_latency {
                    let remaining = latency.typical().mul_f64(endpoint.slowness.factor(now));
                    endpoint.work.record_abandoned(now, remaining);
                }
            }
            _ => {}
        }
    }

    fn record_success(&mut self, now: Timestamp, completed: &CompletedAttempt, context: &OutcomeContext) {
        self.throughput.record_success(now);
        let present = self.clock.to_fleet_time(now);
        let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) else { return };
        endpoint.concurrency.record_success(now, completed.elapsed, context.work, context.is_late);
        endpoint.failures.record_success();
        endpoint.work.record_success(now - completed.elapsed);
        let required_position = completed.attempt.and_then(|attempt| attempt.required_position);
        if self.settings.stale_read_policy == StaleReadPolicy::Reject
            && let Some(required_position) = required_position
        {
            endpoint.freshness.raise_position(required_position.min(present));
        }
    }

    fn record_timeout(&mut self, now: Timestamp, completed: &CompletedAttempt, context: &OutcomeContext) {
        if context.was_overtaken {
            return;
        }
        // An endpoint that responded to other attempts meanwhile is overloaded, not down. Ejecting endpoints
        // for overload would eject all of them.
        if !context.has_responded_meanwhile {
            self.record_failure(now, completed, Failure::LostResponse);
        } else if let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) {
            endpoint.concurrency.lower(now, completed.elapsed, context.work);
        }
    }

    /// Records a refused connection: the endpoint was down, and is cold when it returns, whatever start the
    /// endpoint list shows.
    fn record_refused(
        &mut self,
        now: Timestamp,
        completed: &CompletedAttempt,
        context: &OutcomeContext,
        chance: f64,
    ) {
        self.record_failure(now, completed, Failure::NoConnection);
        if let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) {
            endpoint.restart(now, context.slow_start_tokens.min(chance));
        }
    }

    /// Records a connect timeout: the endpoint hangs or is partitioned, but has not restarted. Its
    /// concurrency limit starts again from the minimum, since its current capacity is unknown.
    fn record_unreachable(&mut self, now: Timestamp, completed: &CompletedAttempt) {
        self.record_failure(now, completed, Failure::NoConnection);
        if let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) {
            endpoint.concurrency.reset();
        }
    }

    fn record_rejection(&mut self, now: Timestamp, completed: &CompletedAttempt, context: &OutcomeContext) {
        let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) else { return };
        let usual_latency = context.class_latency.map(|latency| latency.typical());
        endpoint.concurrency.lower(now, completed.elapsed, context.work);
        endpoint.concurrency.back_off(now, usual_latency, completed.is_write);
    }

    fn record_not_eligible(&mut self, now: Timestamp, completed: &CompletedAttempt) {
        let present = self.clock.to_fleet_time(now);
        let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) else { return };
        if let Some(required_position) = completed.attempt.and_then(|attempt| attempt.required_position) {
            endpoint.freshness.record_rejected_read(now, required_position);
        }
        if completed.is_write {
            endpoint.role_evidence.observe_replica_response(present);
        }
    }

    fn record_failure(&mut self, now: Timestamp, completed: &CompletedAttempt, failure: Failure) {
        let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) else { return };
        if endpoint.failures.record_failure(now, failure) {
            let until = endpoint.failures.ejected_until();
            let (id, outcome) = (&completed.endpoint.0, completed.outcome);
            self.log.set(format!("{id} ejected until {} us: {outcome:?}", until.0));
        }
    }

    fn record_latency(&mut self, now: Timestamp, completed: &CompletedAttempt, context: &OutcomeContext) {
        let Some((attempt, latency)) = completed.attempt.zip(context.class_latency) else { return };
        let shows_latency = match completed.outcome {
            AttemptOutcome::Ok => true,
            AttemptOutcome::Timeout => {
                !context.was_overtaken && Microseconds::from(completed.elapsed) >= latency.mean()
            }
            _ => false,
        };
        if !shows_latency {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) {
            if endpoint.read_trials.was_passed_over() {
                endpoint.slowness.observe_trial(now, completed.elapsed, &latency);
            } else {
                endpoint.slowness.observe(now, completed.elapsed, &latency);
            }
        }
        self.latency.observe(attempt.class, completed.elapsed);
    }

    /// Records whether the endpoint responded in the usual time, which determines when it is sent its next
    /// trial read.
    fn record_trial(&mut self, completed: &CompletedAttempt, context: &OutcomeContext) {
        let Some(usual) = context.class_latency else { return };
        let Some(endpoint) = self.endpoints.get_mut(&completed.endpoint) else { return };
        match completed.outcome {
            AttemptOutcome::Ok if completed.elapsed <= usual.overdue_after() => {
                endpoint.read_trials.record_timely_response();
            }
            AttemptOutcome::Ok
            | AttemptOutcome::Timeout
            | AttemptOutcome::Rejected
            | AttemptOutcome::ConnectionRefused
            | AttemptOutcome::ConnectTimeout
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::ConnectionLostBeforeSend => endpoint.read_trials.record_failure(),
            AttemptOutcome::Error
            | AttemptOutcome::NotEligible
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => {}
        }
    }

    fn record_overload(&mut self, now: Timestamp, completed: &CompletedAttempt, context: &OutcomeContext) {
        if completed.attempt.is_none() {
            return;
        }
        let sample = match completed.outcome {
            AttemptOutcome::Ok | AttemptOutcome::Rejected => OverloadSample::response(context.is_late),
            AttemptOutcome::Timeout => {
                let ratio = self.view(now).overload_ratio(context.group, context.role);
                OverloadSample::lost_response(ratio)
            }
            _ => return,
        };
        self.overload.add(now, context.role, sample);
        if let Some(group) = self.endpoints.group_mut(context.group) {
            group.overload.add(now, context.role, sample);
        }
    }
}

impl ClusterView<'_> {
    fn outcome_context(&self, completed: &CompletedAttempt) -> Option<OutcomeContext> {
        let endpoint = self.endpoints.get(&completed.endpoint)?;
        let work = &endpoint.work;
        let was_overtaken = |attempt| work.was_overtaken(attempt, self.now, self.latency);
        Some(OutcomeContext {
            group: endpoint.group(),
            role: endpoint.role(),
            work: self.work_of(endpoint),
            slow_start_tokens: self.slow_start_tokens(endpoint),
            was_overtaken: completed.attempt.as_ref().is_some_and(was_overtaken),
            has_responded_meanwhile: work.has_responded_since(self.now - completed.elapsed),
            class_latency: completed.attempt.map(|attempt| *self.latency.of(attempt.class)),
            is_late: self.is_late(completed),
        })
    }

    fn is_late(&self, completed: &CompletedAttempt) -> bool {
        let class = completed.attempt.map(|attempt| &self.settings.classes[attempt.class.0]);
        let objective = class.map_or(TimeDelta::ZERO, |class| class.latency_objective);
        match completed.outcome {
            AttemptOutcome::Rejected => true,
            AttemptOutcome::Ok => completed.elapsed > objective.mul_f64(TIMELY_FRACTION),
            _ => false,
        }
    }
}
