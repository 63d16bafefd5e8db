//! A state of the system: routers, endpoints, attempts in flight, and writes as their clients see them.

use pooler_routing::{
    Action, AttemptCompletion, AttemptNumber, AttemptOutcome, ClassId, EndpointEntry, EndpointId,
    EndpointUpdate, Event, GroupId, Idempotency, Lifecycle, LoadReportField, Operation, Request,
    RequestClass, RequestId, ResponseMetadata, Role, Router, Settings, StaleReadPolicy, TimeDelta, Timestamp,
};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

pub const ENDPOINTS: usize = 3;
/// What clients grant a write.
pub const DEADLINE_MS: i64 = 500;
/// How far time is followed.
pub const END_MS: i64 = 800;
/// Time goes on in steps, with each timer in them at its own moment.
const STEP_MS: i64 = 200;
/// A timer asks for the next one 10 ms later at the soonest; more than these do not fire in a step.
const MAX_TIMERS_IN_STEP: usize = 400;
/// A final answer may come so long after the deadline.
const ANSWER_AFTER_DEADLINE_MS: i64 = 20;
/// When the time of the model begins.
const START_US: i64 = 1_000_000_000;
const MICROSECONDS: i64 = 1_000;
const GROUP: GroupId = GroupId(1);
const HEALTH_CHECK: TimeDelta = TimeDelta::from_millis(1);

/// Something that must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request was sent to an endpoint that the router knew to drain.
    SentToDraining,
    /// A request was sent after its final answer.
    SentAfterAnswer,
    /// Two attempts of a write were in flight at once.
    TwoAttempts,
    /// A write had two final answers.
    TwoAnswers,
    /// A write was rejected that ran or still may.
    RejectedThoughItMayRun,
    /// A write ran twice.
    RanTwice,
    /// A write had no answer by its deadline.
    NoAnswer,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SentToDraining => "sent to an endpoint after its drain was reported",
            Self::SentAfterAnswer => "sent after its final answer",
            Self::TwoAttempts => "two attempts in flight at once",
            Self::TwoAnswers => "two final answers",
            Self::RejectedThoughItMayRun => "rejected, though it ran or still may",
            Self::RanTwice => "a write ran twice",
            Self::NoAnswer => "no answer by the deadline",
        })
    }
}

/// An attempt that is in flight.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub router: usize,
    pub write: usize,
    number: u32,
    pub endpoint: usize,
    sent_ms: i64,
    times_out_ms: i64,
    /// The endpoint was the primary when it was sent.
    pub to_primary: bool,
    /// The endpoint was down when it was sent, and refused it.
    pub is_refused: bool,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    Served,
    Rejected,
    Failed,
}

/// A write, as its client and the endpoints see it.
#[derive(Clone, Debug, Default)]
pub struct Write {
    asked_ms: Option<i64>,
    executions: u8,
    pub sends: u32,
    pub outcomes: Vec<WriteOutcome>,
    /// Its router crashed, so that its client gets no answer.
    pub is_orphaned: bool,
}

/// A state of the system.
#[derive(Clone)]
pub struct SystemState {
    pub(super) now_ms: i64,
    pub(super) routers: Vec<Router>,
    pub(super) timers: Vec<Option<i64>>,
    pub(super) is_drain_reported: Vec<bool>,
    pub(super) attempts: Vec<Attempt>,
    /// By router, then by number.
    pub(super) writes: Vec<Vec<Write>>,
    pub(super) is_alive: [bool; ENDPOINTS],
    pub(super) primary: Option<usize>,
    pub(super) has_changed: bool,
    pub(super) is_revived: bool,
    pub(super) losses: u8,
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
            self.has_changed,
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

/// The number of an endpoint.
fn endpoint_number(id: &EndpointId) -> usize {
    (0..ENDPOINTS).find(|number| endpoint_id(*number) == *id).unwrap_or(0)
}

fn request_id(write: usize) -> RequestId {
    RequestId(write as u64 + 1)
}

/// The number of a write.
fn write_number(id: RequestId) -> usize {
    id.0 as usize - 1
}

/// The entry of an endpoint, of which the first is listed as the primary.
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
            objective_stretch: 0.0,
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
    /// So many routers that know all endpoints, with so many writes to come at each.
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
            has_changed: false,
            is_revived: false,
            losses: 0,
            crashes: 0,
            violation: None,
        };
        for router in 0..routers {
            state.routers.push(Router::new(router as u64, settings()));
            state.report_first_endpoints(router);
        }
        state
    }

    /// Reports the endpoints as they were before all: all active, the first the primary.
    pub(super) fn report_first_endpoints(&mut self, router: usize) {
        let entries = (0..ENDPOINTS).map(|endpoint| endpoint_entry(endpoint, Lifecycle::Active)).collect();
        self.report(router, Event::EndpointUpdate(EndpointUpdate::Snapshot(entries)));
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp(START_US + self.now_ms * MICROSECONDS)
    }

    /// Reports an event to a router, and carries out its actions; a health check is answered at once with what is true.
    pub(super) fn report(&mut self, router: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let (now, mut actions) = (self.timestamp(), Vec::new());
            self.routers[router].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { request, endpoint, timeout } => {
                        self.send(router, request, &endpoint, timeout);
                    }
                    Action::Reject { request, .. } => self.answer(router, request, WriteOutcome::Rejected),
                    Action::Fail { request } => self.answer(router, request, WriteOutcome::Failed),
                    Action::SetTimer { at } => {
                        self.timers[router] = Some((at.0 - START_US).div_euclid(MICROSECONDS) + 1);
                    }
                    Action::HealthCheck { endpoint } => events.push(self.health_check_completed(endpoint)),
                    Action::Cancel { .. } | Action::Subscribe | Action::Log { .. } => {}
                }
            }
        }
    }

    fn health_check_completed(&self, endpoint: EndpointId) -> Event {
        let number = endpoint_number(&endpoint);
        let is_primary = f64::from(u8::from(self.primary == Some(number)));
        let report = vec![self.timestamp().0 as f64 / 1e6, is_primary];
        let (outcome, load_report) = if self.is_alive[number] {
            (AttemptOutcome::Ok, Some(report))
        } else {
            (AttemptOutcome::ConnectionRefused, None)
        };
        Event::HealthCheckCompleted { endpoint, outcome, elapsed: HEALTH_CHECK, load_report }
    }

    /// The next write that a router's clients have not asked for.
    pub(super) fn next_write(&self, router: usize) -> Option<usize> {
        self.writes[router].iter().position(|write| write.asked_ms.is_none() && !write.is_orphaned)
    }

    /// A client asks for a write.
    pub(super) fn request(&mut self, router: usize, write: usize) {
        self.writes[router][write].asked_ms = Some(self.now_ms);
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
        self.report(router, Event::Request(request));
    }

    fn send(&mut self, router: usize, request: RequestId, endpoint: &EndpointId, timeout: TimeDelta) {
        let write = write_number(request);
        let endpoint = endpoint_number(endpoint);
        if self.is_drain_reported[router] && endpoint == 0 {
            self.violation = Some(Violation::SentToDraining);
        }
        if !self.writes[router][write].outcomes.is_empty() {
            self.violation = Some(Violation::SentAfterAnswer);
        }
        if self.is_in_flight(router, write) {
            self.violation = Some(Violation::TwoAttempts);
        }
        let number = self.writes[router][write].sends;
        self.writes[router][write].sends += 1;
        self.attempts.push(Attempt {
            router,
            write,
            number,
            endpoint,
            sent_ms: self.now_ms,
            times_out_ms: self.now_ms + timeout.0.div_euclid(MICROSECONDS),
            to_primary: self.primary == Some(endpoint),
            is_refused: !self.is_alive[endpoint],
        });
    }

    fn is_in_flight(&self, router: usize, write: usize) -> bool {
        self.attempts.iter().any(|of| of.router == router && of.write == write)
    }

    fn answer(&mut self, router: usize, request: RequestId, outcome: WriteOutcome) {
        let number = write_number(request);
        let is_in_flight = self.is_in_flight(router, number);
        let write = &mut self.writes[router][number];
        write.outcomes.push(outcome);
        if write.outcomes.len() > 1 {
            self.violation = Some(Violation::TwoAnswers);
        } else if outcome == WriteOutcome::Rejected && (write.executions > 0 || is_in_flight) {
            self.violation = Some(Violation::RejectedThoughItMayRun);
        }
    }

    /// An attempt ends with this outcome, after having run or not.
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
            self.answer(router, request, WriteOutcome::Served);
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
        self.report(router, Event::AttemptCompleted(completion));
    }

    /// Time goes on by a step, with each timer and each timeout in it at its own moment.
    pub(super) fn tick(&mut self) {
        let target = self.now_ms + STEP_MS;
        for _ in 0..MAX_TIMERS_IN_STEP {
            if !self.fire_next_before(target) {
                break;
            }
        }
        self.now_ms = target;
        let is_overdue = |write: &&Write| {
            let asked = write.asked_ms;
            asked.is_some_and(|asked| target > asked + DEADLINE_MS + ANSWER_AFTER_DEADLINE_MS)
        };
        let mut overdue = self.writes.iter().flatten().filter(is_overdue);
        if overdue.any(|write| write.outcomes.is_empty() && !write.is_orphaned) {
            self.violation = Some(Violation::NoAnswer);
        }
    }

    /// Goes on to the next timer or timeout up to a moment; false if there is none.
    fn fire_next_before(&mut self, target: i64) -> bool {
        let timers = self.timers.iter().enumerate();
        let timer = timers.filter_map(|(router, at)| at.map(|at| (at, router))).min();
        let timeouts = self.attempts.iter().enumerate();
        let timeout = timeouts.map(|(attempt, of)| (of.times_out_ms, attempt)).min();
        let next = timer.into_iter().chain(timeout).map(|(at, _)| at).min();
        let Some(next) = next.filter(|next| *next <= target) else { return false };
        self.now_ms = self.now_ms.max(next);
        if let Some((_, attempt)) = timeout.filter(|(at, _)| *at == next) {
            self.complete_attempt(attempt, AttemptOutcome::Timeout, false);
        } else if let Some((_, router)) = timer {
            self.timers[router] = None;
            self.report(router, Event::TimerFired);
        }
        true
    }
}
