//! A small host for the module's tests: plain settings, and a router with its clock.
#![allow(dead_code)]

use pooler_routing::*;
use std::sync::Arc;

pub const READ: ClassId = ClassId(0);
pub const ANY: ClassId = ClassId(1);
pub const OWN: ClassId = ClassId(2);
pub const FRESH: ClassId = ClassId(3);
pub const KEYED: ClassId = ClassId(4);
pub const UNSAFE: ClassId = ClassId(5);

pub fn class(name: &str, need: Operation, effect: Idempotency) -> RequestClass {
    let late_worth = if need == Operation::Write { 0.5 } else { 0.0 };
    RequestClass {
        name: name.into(),
        idempotency: effect,
        operation: need,
        latency_objective: TimeDelta::from_millis(400),
        objective_stretch: 0.0,
        priority_weight: 1.0,
        late_weight: late_worth,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(
                "bounded",
                Operation::Read(Consistency::BoundedStaleness(TimeDelta::from_millis(1_000))),
                Idempotency::Idempotent,
            ),
            class("any", Operation::Read(Consistency::Eventual), Idempotency::Idempotent),
            class("own", Operation::Read(Consistency::ReadYourWrites), Idempotency::Idempotent),
            class("fresh", Operation::Read(Consistency::Strong), Idempotency::Idempotent),
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

pub fn member(at: usize) -> EndpointId {
    EndpointId(Arc::from(format!("10.0.0.{at}:7000")))
}

pub fn entry(at: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: member(at),
        group: GroupId(0),
        lifecycle: Lifecycle::Active,
        primary: false,
        started_at: None,
        zone: String::new(),
    }
}

pub struct Host {
    pub router: Router,
    pub now: Timestamp,
    next: u64,
}

impl Host {
    /// A router that knows members 1 to `count` of group 0.
    pub fn new(settings: Settings, count: usize) -> Self {
        Self::seeded(1, settings, count)
    }

    pub fn seeded(seed: u64, settings: Settings, count: usize) -> Self {
        let mut host = Self { router: Router::new(seed, settings), now: Timestamp(1_000_000_000), next: 0 };
        host.tell(Event::EndpointUpdate(EndpointUpdate::Snapshot((1..=count).map(entry).collect())));
        host
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass and wakes the router.
    pub fn pass(&mut self, ms: i64) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..ms.div_euclid(5) {
            self.now = self.now + TimeDelta::from_millis(5);
            all.extend(self.tell(Event::TimerFired));
        }
        all
    }

    pub fn ask(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.ask_as(class, None)
    }

    pub fn ask_as(&mut self, class: ClassId, session: Option<u64>) -> (RequestId, Vec<Action>) {
        self.ask_for(class, session, 1_000)
    }

    /// A request of a client that waits so many milliseconds.
    pub fn ask_within(&mut self, class: ClassId, ms: i64) -> (RequestId, Vec<Action>) {
        self.ask_for(class, None, ms)
    }

    fn ask_for(&mut self, class: ClassId, session: Option<u64>, ms: i64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let request = Request {
            id,
            class,
            tenant: None,
            session: session.map(SessionKey),
            time_remaining: TimeDelta::from_millis(ms),
            group: GroupId(0),
            since_last_write: None,
            expected_work: None,
        };
        (id, self.tell(Event::Request(request)))
    }

    pub fn end(&mut self, id: RequestId, attempt: u32, at: usize, verdict: AttemptOutcome) -> Vec<Action> {
        self.end_with(id, attempt, at, verdict, None)
    }

    pub fn end_with(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: usize,
        verdict: AttemptOutcome,
        role: Option<Role>,
    ) -> Vec<Action> {
        self.tell(Event::AttemptCompleted(AttemptCompletion {
            request: id,
            attempt: AttemptNumber(attempt),
            endpoint: member(at),
            outcome: verdict,
            metadata: role.map(|role| ResponseMetadata { role: Some(role), position: None }),
            elapsed: TimeDelta::from_millis(5),
            request_closed: verdict == AttemptOutcome::Ok,
            load_report: None,
        }))
    }

    /// Lets that time pass, then member `at` answers.
    pub fn answer(&mut self, id: RequestId, attempt: u32, at: usize, ms: i64) -> Vec<Action> {
        self.now = self.now + TimeDelta::from_millis(ms);
        self.tell(Event::AttemptCompleted(AttemptCompletion {
            request: id,
            attempt: AttemptNumber(attempt),
            endpoint: member(at),
            outcome: AttemptOutcome::Ok,
            metadata: None,
            elapsed: TimeDelta::from_millis(ms),
            request_closed: true,
            load_report: None,
        }))
    }

    /// A probe's answer: role, and a position that is `behind_ms` old.
    pub fn probed(&mut self, at: usize, primary: bool, behind_ms: i64) -> Vec<Action> {
        let seconds = (self.now - TimeDelta::from_millis(behind_ms)).0 as f64 / 1e6;
        self.tell(Event::HealthCheckCompleted {
            endpoint: member(at),
            outcome: AttemptOutcome::Ok,
            elapsed: TimeDelta::from_millis(1),
            load_report: Some(vec![seconds, f64::from(u8::from(primary))]),
        })
    }
}

/// Where the sends among the actions go.
pub fn sends(actions: &[Action]) -> Vec<EndpointId> {
    let to = |action: &Action| match action {
        Action::Send { endpoint: member, .. } => Some(member.clone()),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

pub fn refused(actions: &[Action], id: RequestId) -> Option<Option<TimeDelta>> {
    actions.iter().find_map(|action| match action {
        Action::Reject { request, retry_after } if *request == id => Some(*retry_after),
        _ => None,
    })
}

pub fn probes(actions: &[Action]) -> Vec<EndpointId> {
    let to = |action: &Action| {
        if let Action::HealthCheck { endpoint: member } = action { Some(member.clone()) } else { None }
    };
    actions.iter().filter_map(to).collect()
}
