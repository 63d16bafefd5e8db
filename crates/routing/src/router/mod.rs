//! The router's state machine: it handles one event at a time and emits the actions that follow from it.
//!
//! Its state is split by concern into components, each a type with private fields:
//!
//! - `endpoint`, `endpoints`: the endpoints and groups, the lifecycle of each endpoint, and the components
//!   that are kept per endpoint or per group.
//! - `fleet_clock`, `freshness`, `primary`: the fleet's clock, the freshness of data, and the primary of each
//!   group.
//! - `in_flight`, `latency`, `outlier_detection`, `read_trials`, `concurrency`, `slow_start`: the state of an
//!   endpoint that decides how much it may be sent.
//! - `overload`, `demand`, `retry_budget`: the overload ratios, the demand, and the budgets of retries and
//!   health checks.
//! - `requests`, `queue`, `timers`: the pending and queued requests, and when each request is next checked.
//!
//! `cluster_view`, `load_balancing`, `load_shedding` and `attempt_plan` make decisions that depend on several
//! components, and only read them. Only the modules that implement methods of [`Router`] modify components,
//! through the methods of the components.

mod attempt_completion;
mod attempt_plan;
mod cluster_view;
mod concurrency;
mod deadlines;
mod decaying;
mod demand;
mod dispatch;
mod endpoint;
mod endpoint_outcomes;
mod endpoint_reports;
mod endpoint_selection;
mod endpoint_updates;
mod endpoints;
mod final_response;
mod fleet_clock;
mod freshness;
mod health_checks;
mod in_flight;
mod latency;
mod load_balancing;
mod load_report;
mod load_shedding;
mod operator_log;
mod outlier_detection;
mod overload;
mod primary;
mod queue;
mod random;
mod read_trials;
mod requests;
mod retry_budget;
mod slow_start;
#[cfg(test)]
mod test_support;
mod timers;

use crate::{Action, EndpointId, Event, Operation, RequestId, Role, Settings, Timestamp};
use cluster_view::ClusterView;
use demand::Demand;
use endpoints::Endpoints;
use fleet_clock::FleetClock;
use freshness::SessionTokens;
use latency::LatencyEstimates;
use operator_log::OperatorLog;
use overload::OverloadRatios;
use queue::QueueSchedule;
use random::RandomSource;
use requests::PendingRequests;
use retry_budget::{HealthCheckBudget, RetryBudget};
use slow_start::Throughput;
use timers::Timers;

/// A deterministic state machine that routes requests. It performs no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    random: RandomSource,
    clock: FleetClock,
    endpoints: Endpoints,
    /// Whether the first endpoint list was received. Starts in the first list may be long ago; a new start in
    /// a later update is recent.
    has_endpoint_list: bool,
    requests: PendingRequests,
    queue_schedule: QueueSchedule,
    session_tokens: SessionTokens,
    latency: LatencyEstimates,
    demand: Demand,
    overload: OverloadRatios,
    throughput: Throughput,
    retry_budget: RetryBudget,
    health_check_budget: HealthCheckBudget,
    timers: Timers,
    log: OperatorLog,
}

impl Router {
    /// Creates a router without endpoints. The same `seed`, settings and events give the same actions.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            random: RandomSource::new(seed),
            clock: FleetClock::default(),
            endpoints: Endpoints::default(),
            has_endpoint_list: false,
            requests: PendingRequests::default(),
            queue_schedule: QueueSchedule::default(),
            session_tokens: SessionTokens::default(),
            latency: LatencyEstimates::new(&settings.classes),
            demand: Demand::new(&settings),
            overload: OverloadRatios::default(),
            throughput: Throughput::default(),
            retry_budget: RetryBudget::default(),
            health_check_budget: HealthCheckBudget::default(),
            timers: Timers::new(settings.discovery),
            log: OperatorLog::default(),
            settings,
        }
    }

    /// Handles an event that occurred at `now` and appends the resulting actions, in the order in which the
    /// host carries them out.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.timers.on_event(now);
        self.handle_event(now, event, actions);
        self.process_due_checks(now, actions);
        self.dispatch_queued(now, actions);
        if let Some(line) = self.log.take(now) {
            actions.push(Action::Log { line });
        }
        let next_check_at = self.requests.next_check_at();
        let has_queued_requests = self.queue_schedule.needs_sweep();
        if let Some(at) = self.timers.reschedule(now, next_check_at, has_queued_requests) {
            actions.push(Action::SetTimer { at });
        }
    }

    /// Whether an attempt that waited for a connection may still be sent. During the wait, the data of the
    /// endpoint may have become too old for the request.
    #[must_use]
    pub fn still_eligible(&self, now: Timestamp, id: RequestId, endpoint: &EndpointId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let Some(endpoint) = self.endpoints.get(endpoint) else { return false };
        let view = self.view(now);
        let needs_no_freshness_check =
            view.operation_of(request) == Operation::Write || endpoint.role() == Role::Primary;
        endpoint.group() == request.group()
            && (needs_no_freshness_check || view.may_serve(endpoint, view.required_position(request)))
    }

    /// Whether the current endpoint list permits new attempts to an endpoint; `false` for an unknown one.
    #[must_use]
    pub fn accepts_new_work(&self, endpoint: &EndpointId) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|endpoint| endpoint.accepts_new_work(self.settings.soft_removal))
    }

    fn handle_event(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate(update) => self.on_endpoint_update(now, update),
            Event::Request(request) => self.on_request(now, &request, actions),
            Event::RequestAbandoned(id) => drop(self.close_request(id, actions)),
            Event::ResponseStarted(id) => drop(self.release_request(id)),
            Event::TimerFired => {}
            Event::AttemptCompleted(completion) => self.on_attempt_completed(now, &completion, actions),
            Event::HealthCheckCompleted { endpoint, outcome, elapsed, load_report } => {
                self.on_health_check_completed(now, endpoint, outcome, elapsed, load_report.as_deref());
            }
        }
    }

    /// A read-only view of the components at `now`.
    fn view(&self, now: Timestamp) -> ClusterView<'_> {
        ClusterView {
            now,
            settings: &self.settings,
            clock: &self.clock,
            endpoints: &self.endpoints,
            latency: &self.latency,
            demand: &self.demand,
            overload: &self.overload,
            throughput: &self.throughput,
            has_stalled: self.timers.has_stalled(now),
        }
    }
}
