//! The router: it receives an event, asks its parts, and emits actions.
//!
//! Each part keeps one concern, in a type with private fields:
//!
//! - `endpoint`, `endpoints`: the endpoints, their lifecycle and groups, which hold the parts that are kept
//!   by endpoint and by group.
//! - `fleet_clock`, `freshness`, `primary`: the fleet's time, how current data is, and which endpoint is
//!   the primary.
//! - `in_flight`, `latency`, `outlier_detection`, `read_trials`, `concurrency`, `slow_start`: the state of an
//!   endpoint, and what it may be sent.
//! - `overload`, `demand`, `retry_budget`: the fleet's capacity and the demand for it.
//! - `requests`, `queue`, `timers`: the requests, and when each must be looked at.
//!
//! `cluster_view`, `load_balancing`, `load_shedding` and `attempt_plan` combine parts to answer questions,
//! and change nothing. The modules that implement methods of [`Router`] handle events: only they change
//! parts, by the parts' methods.

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

/// The decisions of one router.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    random: RandomSource,
    clock: FleetClock,
    endpoints: Endpoints,
    /// A first endpoint list was received; later updates are changes of it.
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
    /// A router that knows nothing but its settings.
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

    /// Handles an event that happened at `now`, and appends the actions that follow from it.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.timers.on_event(now);
        self.handle_event(now, event, actions);
        self.process_due(now, actions);
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

    /// Whether an attempt that waited for its connection may still be sent: data grows old meanwhile.
    #[must_use]
    pub fn still_eligible(&self, now: Timestamp, id: RequestId, endpoint: &EndpointId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let Some(endpoint) = self.endpoints.get(endpoint) else { return false };
        let view = self.view(now);
        let needs_no_check =
            view.operation_of(request) == Operation::Write || endpoint.role() == Role::Primary;
        endpoint.group() == request.group()
            && (needs_no_check || view.may_serve(endpoint, view.required_position(request)))
    }

    /// Whether an endpoint may be sent anything new, as the endpoint list has it by now.
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

    /// The parts, to read, as of `now`.
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
