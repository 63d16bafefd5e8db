//! Fixtures shared by all tests of the router: settings, and a host that reports events to a router at the
//! times of a simulated clock.

pub use pooler_routing::{
    Action, AttemptCompletion, AttemptNumber, AttemptOutcome, ClassId, Consistency, Discovery, EndpointEntry,
    EndpointId, EndpointUpdate, Event, GroupId, Idempotency, Lifecycle, LoadReportField, Operation, Request,
    RequestClass, RequestId, ResponseMetadata, Role, Router, SessionKey, SessionTokenSource, Settings,
    StaleReadPolicy, TimeDelta, Timestamp,
};
use std::sync::Arc;

/// The request classes of [`settings`]: one for each consistency of reads and each idempotency of writes.
pub const BOUNDED_READ: ClassId = ClassId(0);
pub const EVENTUAL_READ: ClassId = ClassId(1);
pub const SESSION_READ: ClassId = ClassId(2);
pub const STRONG_READ: ClassId = ClassId(3);
pub const KEYED_WRITE: ClassId = ClassId(4);
pub const PLAIN_WRITE: ClassId = ClassId(5);

/// The time at which a host's clock starts.
pub const START: Timestamp = Timestamp(1_000_000_000);
/// The interval at which [`TestHost::advance`] fires the router's timer.
const TIMER_STEP_MS: i64 = 5;
/// The time remaining of requests for which a test specifies none.
const DEFAULT_DEADLINE_MS: i64 = 1_000;
/// The elapsed time of attempts for which a test specifies none.
const DEFAULT_ELAPSED_MS: i64 = 5;

fn class(name: &str, operation: Operation, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        idempotency,
        operation,
        latency_objective: TimeDelta::from_millis(400),
        objective_work_multiple: 0.0,
        priority_weight: 1.0,
        late_weight: if operation == Operation::Write { 0.5 } else { 0.0 },
    }
}

/// Settings with the classes above; endpoints reject stale reads, and hedging is off.
pub fn settings() -> Settings {
    let bounded = Consistency::BoundedStaleness(TimeDelta::from_millis(1_000));
    let read = |name, consistency| class(name, Operation::Read(consistency), Idempotency::Idempotent);
    Settings {
        classes: vec![
            read("bounded", bounded),
            read("any", Consistency::Eventual),
            read("own", Consistency::ReadYourWrites),
            read("fresh", Consistency::Strong),
            class("keyed", Operation::Write, Idempotency::Keyed),
            class("unsafe", Operation::Write, Idempotency::NonIdempotent),
        ],
        router_count: 2,
        stale_read_policy: StaleReadPolicy::Reject,
        load_report_fields: vec![LoadReportField::Position, LoadReportField::Primary],
        max_attempts: 8,
        health_checks_allowed: true,
        cancellation_allowed: true,
        retry_after_allowed: true,
        max_retry_after: TimeDelta::from_millis(2_000),
        drain_grace: TimeDelta::from_millis(500),
        slow_start_floor: 0.2,
        slow_start_window: TimeDelta::from_millis(10_000),
        overload_multiple: 3.0,
        overload_window: TimeDelta::from_millis(2_000),
        ..Settings::default()
    }
}

/// The same settings, except that endpoints also serve stale reads, so that the router must select endpoints
/// whose data is current enough.
pub fn settings_serving_stale_reads() -> Settings {
    Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }
}

/// The identifier of the endpoint with this number.
pub fn endpoint_id(number: usize) -> EndpointId {
    EndpointId(Arc::from(format!("10.0.0.{number}:7000")))
}

/// The number of an endpoint, which must be between 1 and `count`.
pub fn endpoint_number(count: usize, id: &EndpointId) -> usize {
    (1..=count).find(|number| endpoint_id(*number) == *id).expect("the endpoint is not in the endpoint list")
}

/// The endpoint list's entry for an active replica of group 0.
pub fn endpoint_entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: endpoint_id(number),
        group: GroupId(0),
        lifecycle: Lifecycle::Active,
        primary: false,
        started_at: None,
        zone: String::new(),
    }
}

/// The completion of an attempt without response metadata or a load report.
pub fn completion(
    request: RequestId,
    attempt: u32,
    endpoint: usize,
    outcome: AttemptOutcome,
) -> AttemptCompletion {
    AttemptCompletion {
        request,
        attempt: AttemptNumber(attempt),
        endpoint: endpoint_id(endpoint),
        outcome,
        metadata: None,
        elapsed: TimeDelta::from_millis(DEFAULT_ELAPSED_MS),
        request_closed: outcome == AttemptOutcome::Ok,
        load_report: None,
    }
}

/// A host of one router, with a clock that only the test advances.
pub struct TestHost {
    pub router: Router,
    pub now: Timestamp,
    last_request_id: u64,
}

impl TestHost {
    /// A host whose router's endpoint list has endpoints 1 to `count`, all active replicas of group 0.
    pub fn new(settings: Settings, count: usize) -> Self {
        Self::with_seed(1, settings, count)
    }

    /// The same as [`TestHost::new`], with a seed for the router's random numbers.
    pub fn with_seed(seed: u64, settings: Settings, count: usize) -> Self {
        let mut host = Self { router: Router::new(seed, settings), now: START, last_request_id: 0 };
        host.replace_endpoints((1..=count).map(endpoint_entry).collect());
        host
    }

    /// A host with three endpoints, of which the first was confirmed as the primary by a health check.
    pub fn with_primary(settings: Settings) -> Self {
        let mut host = Self::new(settings, 3);
        host.complete_health_check(1, Role::Primary, 0);
        host
    }

    /// Reports an event and returns the router's actions.
    pub fn report(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock without reporting an event to the router.
    pub fn advance_clock(&mut self, ms: i64) {
        self.now = self.now + TimeDelta::from_millis(ms);
    }

    /// Advances the clock in steps of [`TIMER_STEP_MS`], firing the timer at each one. Returns all actions.
    pub fn advance(&mut self, ms: i64) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..ms.div_euclid(TIMER_STEP_MS) {
            self.advance_clock(TIMER_STEP_MS);
            all.extend(self.report(Event::TimerFired));
        }
        all
    }

    pub fn replace_endpoints(&mut self, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.report(Event::EndpointUpdate(EndpointUpdate::Snapshot(entries)))
    }

    pub fn update_endpoints(&mut self, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.report(Event::EndpointUpdate(EndpointUpdate::Delta(entries)))
    }

    pub fn set_lifecycle(&mut self, endpoint: usize, lifecycle: Lifecycle) -> Vec<Action> {
        self.update_endpoints(vec![EndpointEntry { lifecycle, ..endpoint_entry(endpoint) }])
    }

    pub fn set_started_at(&mut self, endpoint: usize, started_at: Timestamp) -> Vec<Action> {
        let started_at = Some(started_at);
        self.update_endpoints(vec![EndpointEntry { started_at, ..endpoint_entry(endpoint) }])
    }

    pub fn list_as_primary(&mut self, endpoint: usize) -> Vec<Action> {
        self.update_endpoints(vec![EndpointEntry { primary: true, ..endpoint_entry(endpoint) }])
    }

    /// Sends a new request, and returns its identifier and the router's actions.
    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_from(class, None, DEFAULT_DEADLINE_MS)
    }

    pub fn request_in_session(&mut self, class: ClassId, session: u64) -> (RequestId, Vec<Action>) {
        self.request_from(class, Some(SessionKey(session)), DEFAULT_DEADLINE_MS)
    }

    pub fn request_with_deadline(&mut self, class: ClassId, ms: i64) -> (RequestId, Vec<Action>) {
        self.request_from(class, None, ms)
    }

    fn request_from(
        &mut self,
        class: ClassId,
        session: Option<SessionKey>,
        deadline_ms: i64,
    ) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let request = Request {
            id,
            class,
            tenant: None,
            session,
            time_remaining: TimeDelta::from_millis(deadline_ms),
            group: GroupId(0),
            since_last_write: None,
            expected_work: None,
        };
        (id, self.report(Event::Request(request)))
    }

    pub fn complete_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        endpoint: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.report(Event::AttemptCompleted(completion(id, attempt, endpoint, outcome)))
    }

    /// Completes an attempt, with the role that the endpoint reports in the response metadata.
    pub fn complete_attempt_as(
        &mut self,
        id: RequestId,
        attempt: u32,
        endpoint: usize,
        outcome: AttemptOutcome,
        role: Role,
    ) -> Vec<Action> {
        let metadata = Some(ResponseMetadata { role: Some(role), position: None });
        self.report(Event::AttemptCompleted(AttemptCompletion {
            metadata,
            ..completion(id, attempt, endpoint, outcome)
        }))
    }

    /// Completes the first attempt of a request successfully at an endpoint that reports the primary role and
    /// a log position.
    pub fn complete_at_position(
        &mut self,
        id: RequestId,
        endpoint: usize,
        position: Timestamp,
    ) -> Vec<Action> {
        let metadata = Some(ResponseMetadata { role: Some(Role::Primary), position: Some(position) });
        self.report(Event::AttemptCompleted(AttemptCompletion {
            metadata,
            ..completion(id, 0, endpoint, AttemptOutcome::Ok)
        }))
    }

    /// Advances the clock by `ms`, then completes an attempt successfully with this elapsed time.
    pub fn respond_after(&mut self, id: RequestId, attempt: u32, endpoint: usize, ms: i64) -> Vec<Action> {
        self.advance_clock(ms);
        self.report(Event::AttemptCompleted(AttemptCompletion {
            elapsed: TimeDelta::from_millis(ms),
            ..completion(id, attempt, endpoint, AttemptOutcome::Ok)
        }))
    }

    /// Completes a health check with a role and a log position that is `lag_ms` behind the host's clock.
    pub fn complete_health_check(&mut self, endpoint: usize, role: Role, lag_ms: i64) -> Vec<Action> {
        let seconds = (self.now - TimeDelta::from_millis(lag_ms)).0 as f64 / 1e6;
        let is_primary = f64::from(u8::from(role == Role::Primary));
        self.report(Event::HealthCheckCompleted {
            endpoint: endpoint_id(endpoint),
            outcome: AttemptOutcome::Ok,
            elapsed: TimeDelta::from_millis(1),
            load_report: Some(vec![seconds, is_primary]),
        })
    }
}

/// The endpoints to which the actions send attempts, in the order of the actions.
pub fn sent_to(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint = |action: &Action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

/// The number of the endpoint to which the actions send a single attempt, out of two endpoints; 2 also if
/// nothing is sent.
pub fn sent_to_first_or_second(actions: &[Action]) -> usize {
    if sent_to(actions) == [endpoint_id(1)] { 1 } else { 2 }
}

/// The endpoints that the actions health-check, in the order of the actions.
pub fn health_checked(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint = |action: &Action| match action {
        Action::HealthCheck { endpoint } => Some(endpoint.clone()),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

/// Whether the actions contain a failure of the request.
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

/// The final response of a rejected request.
#[derive(Debug, PartialEq, Eq)]
pub struct Rejection {
    pub retry_after: Option<TimeDelta>,
}

/// The rejection of the request, if the actions contain one.
pub fn rejection(actions: &[Action], id: RequestId) -> Option<Rejection> {
    actions.iter().find_map(|action| match action {
        Action::Reject { request, retry_after } if *request == id => {
            Some(Rejection { retry_after: *retry_after })
        }
        _ => None,
    })
}
