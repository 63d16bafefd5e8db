//! A state of the model: routers, endpoints, attempts in flight, and writes as their clients see them.

use pooler_routing::{
    Action, AttemptCompletion, AttemptNumber, AttemptOutcome, ClassId, EndpointEntry, EndpointId,
    EndpointUpdate, Event, GroupId, Idempotency, Lifecycle, LoadReportField, Operation, Request,
    RequestClass, RequestId, ResponseMetadata, Role, Router, Settings, StaleReadPolicy, TimeDelta, Timestamp,
};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

pub const ENDPOINTS: usize = 3;
/// Time from the request of a write to its deadline.
pub const DEADLINE_MS: i64 = 500;
/// The model's time at which it stops advancing.
pub const END_MS: i64 = 800;
/// Time advances in steps of this length; each timer within a step fires at its own time.
const STEP_MS: i64 = 200;
/// Maximum number of timers and timeouts that fire in a step. A router sets its next timer at least 10 ms
/// after the last.
const MAX_TIMERS_IN_STEP: usize = 400;
/// Time after the deadline within which a final response is still accepted.
const DEADLINE_TOLERANCE_MS: i64 = 20;
/// The routers' timestamp, in microseconds, at the start of the model's time.
const START_US: i64 = 1_000_000_000;
const MICROSECONDS_PER_MS: i64 = 1_000;
const GROUP: GroupId = GroupId(1);
const HEALTH_CHECK_DURATION: TimeDelta = TimeDelta::from_millis(1);

/// A violated rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request was sent to an endpoint after its drain was reported to the router.
    SentToDraining,
    /// A request was sent after its final response.
    SentAfterFinalResponse,
    /// Two attempts of a write were in flight at once.
    ConcurrentAttempts,
    /// A write had two final responses.
    TwoFinalResponses,
    /// A write was rejected although it ran or still may run.
    RejectedButMayRun,
    /// A write ran twice.
    RanTwice,
    /// A write had no final response by its deadline, including the tolerance.
    NoFinalResponse,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SentToDraining => "a request was sent to an endpoint after its drain was reported",
            Self::SentAfterFinalResponse => "a request was sent after its final response",
            Self::ConcurrentAttempts => "two attempts of a write were in flight at once",
            Self::TwoFinalResponses => "a write had two final responses",
            Self::RejectedButMayRun => "a write was rejected although it ran or still may run",
            Self::RanTwice => "a write ran twice",
            Self::NoFinalResponse => "a write had no final response by its deadline",
        })
    }
}

/// An attempt that is in flight.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub router: usize,
    pub write: usize,
    /// The number of the attempt among those of its write, starting at 0.
    number: u32,
    pub endpoint: usize,
    sent_ms: i64,
    times_out_ms: i64,
    /// Whether the endpoint was the primary when the attempt was sent.
    pub to_primary: bool,
    /// Whether the endpoint was down when the attempt was sent, and refused the connection.
    pub is_refused: bool,
}

/// The final response to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    Served,
    Rejected,
    Failed,
}

/// A write as seen by its client and the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Write {
    requested_ms: Option<i64>,
    /// How often the write ran.
    executions: u8,
    /// How often the write was sent to an endpoint.
    pub sends: u32,
    /// All final responses; more than one is a violation.
    pub outcomes: Vec<WriteOutcome>,
    /// Whether the router crashed before the write had a final response, so that its client gets none.
    pub is_orphaned: bool,
}

/// A state of the model.
#[derive(Clone)]
pub struct SystemState {
    /// The model's time, in ms.
    pub(super) now_ms: i64,
    pub(super) routers: Vec<Router>,
    /// By router, the time at which its timer fires, in ms; `None` if it is not set.
    pub(super) timers: Vec<Option<i64>>,
    /// By router, whether the drain of the primary has been reported to it.
    pub(super) is_drain_reported: Vec<bool>,
    pub(super) attempts: Vec<Attempt>,
    /// Indexed by router, then by write.
    pub(super) writes: Vec<Vec<Write>>,
    pub(super) is_alive: [bool; ENDPOINTS],
    pub(super) primary: Option<usize>,
    pub(super) has_primary_died: bool,
    /// Whether the old primary has returned as a replica.
    pub(super) is_revived: bool,
    /// Number of lost responses of endpoints that were alive.
    pub(super) losses: u8,
    /// Number of router crashes.
    pub(super) crashes: u8,
    pub(super) violation: Option<Violation>,
}

impl fmt::Debug for SystemState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:?} {:?} {:?} {:?} {:?} {:?} {} {} {} {} {:?} {:?}",
            self.now_ms,
            self.timers,
            self.is_drain_reported,
            self.attempts,
            self.writes,
            self.is_alive,
            self.primary,
            self.has_primary_died,
            self.is_revived,
            self.losses,
            self.crashes,
            self.violation,
            self.routers
        )
    }
}

impl Hash for SystemState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for SystemState {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

fn endpoint_id(endpoint: usize) -> EndpointId {
    EndpointId(Arc::from(format!("s-{endpoint}")))
}

/// The index of the endpoint with this id.
fn endpoint_index(id: &EndpointId) -> usize {
    (0..ENDPOINTS).find(|index| endpoint_id(*index) == *id).unwrap_or(0)
}

fn request_id(write: usize) -> RequestId {
    RequestId(write as u64 + 1)
}

/// The index of the write with this request id.
fn write_index(id: RequestId) -> usize {
    id.0 as usize - 1
}

/// The endpoint list entry of an endpoint. Endpoint 0 is listed as the primary.
pub fn endpoint_entry(endpoint: usize, lifecycle: Lifecycle) -> EndpointEntry {
    EndpointEntry {
        endpoint: endpoint_id(endpoint),
        group: GROUP,
        lifecycle,
        primary: endpoint == 0,
        started_at: None,
        zone: String::new(),
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![RequestClass {
            name: "top-up".into(),
            idempotency: Idempotency::NonIdempotent,
            operation: Operation::Write,
            latency_objective: TimeDelta::from_millis(300),
            objective_work_multiple: 0.0,
            priority_weight: 1.0,
            late_weight: 0.5,
        }],
        router_count: 2,
        stale_read_policy: StaleReadPolicy::Reject,
        load_report_fields: vec![LoadReportField::Position, LoadReportField::Primary],
        max_attempts: 6,
        health_checks_allowed: true,
        retry_after_allowed: true,
        max_retry_after: TimeDelta::from_millis(2_000),
        drain_grace: TimeDelta::from_millis(250),
        slow_start_floor: 0.2,
        slow_start_window: TimeDelta::from_millis(10_000),
        overload_multiple: 2.5,
        overload_window: TimeDelta::from_millis(3_000),
        ..Settings::default()
    }
}

impl SystemState {
    /// The initial state: all routers know all endpoints, and no write has been requested. `writes` is the
    /// number of writes per router.
    pub(super) fn new(routers: usize, writes: usize) -> Self {
        let mut state = Self {
            now_ms: 0,
            routers: Vec::new(),
            timers: vec![None; routers],
            is_drain_reported: vec![false; routers],
            attempts: Vec::new(),
            writes: vec![vec![Write::default(); writes]; routers],
            is_alive: [true; ENDPOINTS],
            primary: Some(0),
            has_primary_died: false,
            is_revived: false,
            losses: 0,
            crashes: 0,
            violation: None,
        };
        for router in 0..routers {
            state.routers.push(Router::new(router as u64, settings()));
            state.report_initial_endpoints(router);
        }
        state
    }

    /// Sends the initial endpoint list to a router: all endpoints are active, and endpoint 0 is the primary.
    pub(super) fn report_initial_endpoints(&mut self, router: usize) {
        let entries = (0..ENDPOINTS).map(|endpoint| endpoint_entry(endpoint, Lifecycle::Active)).collect();
        self.handle_event(router, Event::EndpointUpdate(EndpointUpdate::Snapshot(entries)));
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp(START_US + self.now_ms * MICROSECONDS_PER_MS)
    }

    /// Passes an event to a router and performs the router's actions. A health check completes immediately
    /// and reports the actual state of the endpoint.
    pub(super) fn handle_event(&mut self, router: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let (now, mut actions) = (self.timestamp(), Vec::new());
            self.routers[router].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { request, endpoint, timeout } => {
                        self.send(router, request, &endpoint, timeout);
                    }
                    Action::Reject { request, .. } => self.respond(router, request, WriteOutcome::Rejected),
                    Action::Fail { request } => self.respond(router, request, WriteOutcome::Failed),
                    Action::SetTimer { at } => {
                        self.timers[router] = Some((at.0 - START_US).div_euclid(MICROSECONDS_PER_MS) + 1);
                    }
                    Action::HealthCheck { endpoint } => events.push(self.health_check_completed(endpoint)),
                    Action::Cancel { .. } | Action::Subscribe | Action::Log { .. } => {}
                }
            }
        }
    }

    fn health_check_completed(&self, endpoint: EndpointId) -> Event {
        let index = endpoint_index(&endpoint);
        let primary_flag = f64::from(u8::from(self.primary == Some(index)));
        let report = vec![self.timestamp().0 as f64 / 1e6, primary_flag];
        let (outcome, load_report) = if self.is_alive[index] {
            (AttemptOutcome::Ok, Some(report))
        } else {
            (AttemptOutcome::ConnectionRefused, None)
        };
        Event::HealthCheckCompleted { endpoint, outcome, elapsed: HEALTH_CHECK_DURATION, load_report }
    }

    /// The next write of a router that its clients have not requested yet.
    pub(super) fn next_write(&self, router: usize) -> Option<usize> {
        self.writes[router].iter().position(|write| write.requested_ms.is_none() && !write.is_orphaned)
    }

    /// Requests a write from a router.
    pub(super) fn request_write(&mut self, router: usize, write: usize) {
        self.writes[router][write].requested_ms = Some(self.now_ms);
        let request = Request {
            id: request_id(write),
            class: ClassId(0),
            tenant: None,
            session: None,
            time_remaining: TimeDelta::from_millis(DEADLINE_MS),
            group: GROUP,
            since_last_write: None,
            expected_work: None,
        };
        self.handle_event(router, Event::Request(request));
    }

    fn send(&mut self, router: usize, request: RequestId, endpoint: &EndpointId, timeout: TimeDelta) {
        let write = write_index(request);
        let endpoint = endpoint_index(endpoint);
        if self.is_drain_reported[router] && endpoint == 0 {
            self.violation = Some(Violation::SentToDraining);
        }
        if !self.writes[router][write].outcomes.is_empty() {
            self.violation = Some(Violation::SentAfterFinalResponse);
        }
        if self.is_in_flight(router, write) {
            self.violation = Some(Violation::ConcurrentAttempts);
        }
        let number = self.writes[router][write].sends;
        self.writes[router][write].sends += 1;
        self.attempts.push(Attempt {
            router,
            write,
            number,
            endpoint,
            sent_ms: self.now_ms,
            times_out_ms: self.now_ms + timeout.0.div_euclid(MICROSECONDS_PER_MS),
            to_primary: self.primary == Some(endpoint),
            is_refused: !self.is_alive[endpoint],
        });
    }

    fn is_in_flight(&self, router: usize, write: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.router == router && attempt.write == write)
    }

    fn respond(&mut self, router: usize, request: RequestId, outcome: WriteOutcome) {
        let index = write_index(request);
        let is_in_flight = self.is_in_flight(router, index);
        let write = &mut self.writes[router][index];
        write.outcomes.push(outcome);
        if write.outcomes.len() > 1 {
            self.violation = Some(Violation::TwoFinalResponses);
        } else if outcome == WriteOutcome::Rejected && (write.executions > 0 || is_in_flight) {
            self.violation = Some(Violation::RejectedButMayRun);
        }
    }

    /// Completes an attempt with an outcome; `ran` tells whether the write ran at the endpoint.
    pub(super) fn complete_attempt(&mut self, attempt: usize, outcome: AttemptOutcome, ran: bool) {
        let Attempt { router, write, number, endpoint, sent_ms, to_primary, .. } =
            self.attempts.remove(attempt);
        let executions = &mut self.writes[router][write].executions;
        *executions += u8::from(ran);
        if *executions > 1 {
            self.violation = Some(Violation::RanTwice);
        }
        let request = request_id(write);
        let is_served = outcome == AttemptOutcome::Ok;
        if is_served {
            self.respond(router, request, WriteOutcome::Served);
        }
        let role = if to_primary { Role::Primary } else { Role::Replica };
        let reports_role = matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::NotEligible);
        let metadata = reports_role.then_some(ResponseMetadata { role: Some(role), position: None });
        let completion = AttemptCompletion {
            request,
            attempt: AttemptNumber(number),
            endpoint: endpoint_id(endpoint),
            outcome,
            metadata,
            elapsed: TimeDelta::from_millis(self.now_ms - sent_ms),
            request_closed: is_served,
            load_report: None,
        };
        self.handle_event(router, Event::AttemptCompleted(completion));
    }

    /// Advances the time by one step; each timer and timeout within the step fires at its own time.
    pub(super) fn tick(&mut self) {
        let target = self.now_ms + STEP_MS;
        for _ in 0..MAX_TIMERS_IN_STEP {
            if !self.fire_next_until(target) {
                break;
            }
        }
        self.now_ms = target;
        let is_overdue = |write: &&Write| {
            let requested = write.requested_ms;
            requested.is_some_and(|requested| target > requested + DEADLINE_MS + DEADLINE_TOLERANCE_MS)
        };
        let mut overdue = self.writes.iter().flatten().filter(is_overdue);
        if overdue.any(|write| write.outcomes.is_empty() && !write.is_orphaned) {
            self.violation = Some(Violation::NoFinalResponse);
        }
    }

    /// Advances the time to the next timer or timeout no later than `target` and fires it. Returns false if
    /// there is none.
    fn fire_next_until(&mut self, target: i64) -> bool {
        let timers = self.timers.iter().enumerate();
        let timer = timers.filter_map(|(router, at)| at.map(|at| (at, router))).min();
        let timeouts = self.attempts.iter().enumerate();
        let timeout = timeouts.map(|(index, attempt)| (attempt.times_out_ms, index)).min();
        let next = timer.into_iter().chain(timeout).map(|(at, _)| at).min();
        let Some(next) = next.filter(|next| *next <= target) else { return false };
        self.now_ms = self.now_ms.max(next);
        if let Some((_, attempt)) = timeout.filter(|(at, _)| *at == next) {
            self.complete_attempt(attempt, AttemptOutcome::Timeout, false);
        } else if let Some((_, router)) = timer {
            self.timers[router] = None;
            self.handle_event(router, Event::TimerFired);
        }
        true
    }
}
