//! What all tests of the router share: plain settings, and a host that reports events to a router on its own clock.

pub use pooler_routing::{
    Action, AttemptCompletion, AttemptNumber, AttemptOutcome, ClassId, Consistency, Discovery, EndpointEntry,
    EndpointId, EndpointUpdate, Event, GroupId, Idempotency, Lifecycle, LoadReportField, Operation, Request,
    RequestClass, RequestId, ResponseMetadata, Role, Router, SessionKey, SessionTokenSource, Settings,
    StaleReadPolicy, TimeDelta, Timestamp,
};
use std::sync::Arc;

/// The classes of [`settings`], by what their requests need.
pub const BOUNDED_READ: ClassId = ClassId(0);
pub const EVENTUAL_READ: ClassId = ClassId(1);
pub const SESSION_READ: ClassId = ClassId(2);
pub const STRONG_READ: ClassId = ClassId(3);
pub const KEYED_WRITE: ClassId = ClassId(4);
pub const PLAIN_WRITE: ClassId = ClassId(5);

/// When a host's clock starts.
pub const START: Timestamp = Timestamp(1_000_000_000);
/// How often a host wakes its router while time passes.
const TIMER_STEP_MS: i64 = 5;
/// The deadline of requests that are granted no other.
const DEADLINE_MS: i64 = 1_000;
/// How long an attempt takes that is not timed.
const ATTEMPT_MS: i64 = 5;

fn class(name: &str, operation: Operation, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        idempotency,
        operation,
        latency_objective: TimeDelta::from_millis(400),
        objective_stretch: 0.0,
        priority_weight: 1.0,
        late_weight: if operation == Operation::Write { 0.5 } else { 0.0 },
    }
}

/// Settings with a class for each consistency and each kind of write.
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

/// The settings with endpoints that serve stale reads too, so that the router has to choose them.
pub fn settings_where_stale_reads_are_served() -> Settings {
    Settings { stale_read_policy: StaleReadPolicy::Serve, ..settings() }
}

/// The id of the endpoint of this number.
pub fn endpoint_id(number: usize) -> EndpointId {
    EndpointId(Arc::from(format!("10.0.0.{number}:7000")))
}

/// The number of an endpoint, of so many.
pub fn endpoint_number(count: usize, id: &EndpointId) -> usize {
    (1..=count).find(|number| endpoint_id(*number) == *id).expect("an endpoint that the router was told of")
}

/// An active replica of group 0.
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

/// The completion of an attempt that says nothing of the server.
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
        elapsed: TimeDelta::from_millis(ATTEMPT_MS),
        request_closed: outcome == AttemptOutcome::Ok,
        load_report: None,
    }
}

/// A router with its clock.
pub struct TestHost {
    pub router: Router,
    pub now: Timestamp,
    last_request: u64,
}

impl TestHost {
    /// A router that knows endpoints 1 to `count` of group 0.
    pub fn new(settings: Settings, count: usize) -> Self {
        Self::with_seed(1, settings, count)
    }

    pub fn with_seed(seed: u64, settings: Settings, count: usize) -> Self {
        let mut host = Self { router: Router::new(seed, settings), now: START, last_request: 0 };
        host.replace_endpoints((1..=count).map(endpoint_entry).collect());
        host
    }

    /// A router that knows three endpoints, the first of them shown as the primary.
    pub fn with_primary(settings: Settings) -> Self {
        let mut host = Self::new(settings, 3);
        host.complete_health_check(1, Role::Primary, 0);
        host
    }

    /// Reports an event; the router's actions.
    pub fn report(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Moves the clock without waking the router.
    pub fn advance_clock(&mut self, ms: i64) {
        self.now = self.now + TimeDelta::from_millis(ms);
    }

    /// Lets time pass and wakes the router in small steps.
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

    /// A new request; its id and the router's actions.
    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_from(class, None, DEADLINE_MS)
    }

    pub fn request_in_session(&mut self, class: ClassId, session: u64) -> (RequestId, Vec<Action>) {
        self.request_from(class, Some(SessionKey(session)), DEADLINE_MS)
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
        self.last_request += 1;
        let id = RequestId(self.last_request);
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

    /// The same, with the role that the endpoint reports.
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

    /// The first attempt succeeds at the primary, which reports its log position.
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

    /// Lets that time pass, then the endpoint answers.
    pub fn respond_after(&mut self, id: RequestId, attempt: u32, endpoint: usize, ms: i64) -> Vec<Action> {
        self.advance_clock(ms);
        self.report(Event::AttemptCompleted(AttemptCompletion {
            elapsed: TimeDelta::from_millis(ms),
            ..completion(id, attempt, endpoint, AttemptOutcome::Ok)
        }))
    }

    /// The response to a health check: a role, and a log position so far behind the host's clock.
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

/// The endpoints that the actions send requests to, in their order.
pub fn sent_to(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint = |action: &Action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

/// The endpoint sent to, of two; the second if none was.
pub fn first_or_second(actions: &[Action]) -> usize {
    if sent_to(actions) == [endpoint_id(1)] { 1 } else { 2 }
}

/// The endpoints that the actions health check, in their order.
pub fn health_checked(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint = |action: &Action| match action {
        Action::HealthCheck { endpoint } => Some(endpoint.clone()),
        _ => None,
    };
    actions.iter().filter_map(endpoint).collect()
}

/// Whether the actions fail the request.
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

/// A request's rejection.
#[derive(Debug, PartialEq, Eq)]
pub struct Rejection {
    pub retry_after: Option<TimeDelta>,
}

/// The rejection of the request among the actions.
pub fn rejection(actions: &[Action], id: RequestId) -> Option<Rejection> {
    actions.iter().find_map(|action| match action {
        Action::Reject { request, retry_after } if *request == id => {
            Some(Rejection { retry_after: *retry_after })
        }
        _ => None,
    })
}
