//! Property tests: for arbitrary sequences of events, generated from a fixed seed, the actions of the router
//! must keep a set of invariants.

use crate::support::*;
use proptest::prelude::{Strategy, TestCaseError, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const CASES: u32 = 300;
const RNG_SEED: [u8; 32] = [7; 32];
const ROUTER_SEED: u64 = 11;
const ENDPOINTS: usize = 6;
const MAX_ATTEMPTS: usize = 5;
const START: Timestamp = Timestamp(50_000_000);
/// How long after its deadline a request may get its final response at the latest.
const FINAL_RESPONSE_GRACE: TimeDelta = TimeDelta::from_millis(100);
/// The number of steps at the end of each case in which only time passes. After them, every request must have
/// a final response.
const IDLE_STEPS: usize = 400;

const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::Timeout,
    AttemptOutcome::ConnectionRefused,
    AttemptOutcome::ConnectionReset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::NotEligible,
];
const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Active, Lifecycle::Draining, Lifecycle::Removed];
const ROLES: [Option<Role>; 3] = [None, Some(Role::Primary), Some(Role::Replica)];

/// A generated step. Each `pick` selects an item by its index modulo the number of items that exist at that
/// step.
#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, group: i64, time_left_ms: i64 },
    CompleteAttempt { pick: usize, outcome: usize, role: usize, offset_ms: i64 },
    UpdateEndpoint { endpoint: usize, lifecycle: usize, restarted: bool, primary: bool },
    ReplaceEndpoints { listed_count: usize },
    CompleteHealthCheck { endpoint: usize, position: f64, role: f64 },
    Abandon { pick: usize },
    Advance { ms: i64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..7_usize, 0..3_i64, -5..1_500_i64)
            .prop_map(|(class, group, time_left_ms)| Step::Request { class, group, time_left_ms }),
        6 => (any::<usize>(), 0..9_usize, 0..3_u8, -500..500_i64).prop_map(|(pick, outcome, role, offset_ms)| {
            Step::CompleteAttempt { pick, outcome, role: usize::from(role), offset_ms }
        }),
        1 => (0..ENDPOINTS, 0..3_usize, any::<bool>(), any::<bool>()).prop_map(
            |(endpoint, lifecycle, restarted, primary)| {
                Step::UpdateEndpoint { endpoint, lifecycle, restarted, primary }
            }
        ),
        1 => (0..ENDPOINTS + 1).prop_map(|listed_count| Step::ReplaceEndpoints { listed_count }),
        1 => (0..ENDPOINTS, any::<f64>(), any::<f64>())
            .prop_map(|(endpoint, position, role)| Step::CompleteHealthCheck { endpoint, position, role }),
        1 => any::<usize>().prop_map(|pick| Step::Abandon { pick }),
        4 => (1..80_i64).prop_map(|ms| Step::Advance { ms }),
    ];
    proptest::collection::vec(step, 1..160)
}

/// The group of an endpoint. Endpoints are numbered from 0 here and alternate between two groups.
fn group_of(endpoint: usize) -> GroupId {
    GroupId((endpoint % 2) as i64)
}

fn entry(endpoint: usize) -> EndpointEntry {
    EndpointEntry { group: group_of(endpoint), ..endpoint_entry(endpoint) }
}

/// An attempt that the router sent, and its outcome.
struct Attempt {
    endpoint: EndpointId,
    /// `None` while the attempt is in flight.
    outcome: Option<AttemptOutcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request with all attempts that the router has sent for it.
struct RequestHistory {
    class: usize,
    group: GroupId,
    deadline: Timestamp,
    /// Whether the request has its final response or was abandoned by its client.
    is_done: bool,
    attempts: Vec<Attempt>,
}

/// A router under test and the history of all its requests, against which its actions are checked.
struct InvariantChecker {
    router: Router,
    classes: Vec<RequestClass>,
    hedging_allowed: bool,
    now: Timestamp,
    requests: BTreeMap<RequestId, RequestHistory>,
    /// Whether each endpoint is draining or removed, by its number.
    is_out_of_service: [bool; ENDPOINTS],
    last_request_id: u64,
}

impl InvariantChecker {
    fn new(hedging_allowed: bool, stale_read_policy: StaleReadPolicy) -> Self {
        let settings =
            Settings { hedging_allowed, stale_read_policy, max_attempts: MAX_ATTEMPTS as u32, ..settings() };
        let classes = settings.classes.clone();
        Self {
            router: Router::new(ROUTER_SEED, settings),
            classes,
            hedging_allowed,
            now: START,
            requests: BTreeMap::new(),
            is_out_of_service: [false; ENDPOINTS],
            last_request_id: 0,
        }
    }

    /// Converts a step to an event; `None` if there is no item to pick. Records in the history what the event
    /// changes.
    fn event(&mut self, step: &Step) -> Option<Event> {
        match step {
            Step::Request { class, group, time_left_ms } => Some(self.request(*class, *group, *time_left_ms)),
            Step::CompleteAttempt { pick, outcome, role, offset_ms } => {
                self.complete_attempt(*pick, OUTCOMES[*outcome], ROLES[*role], *offset_ms)
            }
            Step::UpdateEndpoint { endpoint, lifecycle, restarted, primary } => {
                let lifecycle = LIFECYCLES[*lifecycle];
                self.is_out_of_service[*endpoint] = lifecycle != Lifecycle::Active;
                let started_at = restarted.then_some(self.now);
                let changed = EndpointEntry { lifecycle, started_at, primary: *primary, ..entry(*endpoint) };
                Some(Event::EndpointUpdate(EndpointUpdate::Delta(vec![changed])))
            }
            Step::ReplaceEndpoints { listed_count } => {
                for (endpoint, is_out_of_service) in self.is_out_of_service.iter_mut().enumerate() {
                    *is_out_of_service = endpoint >= *listed_count;
                }
                Some(Event::EndpointUpdate(EndpointUpdate::Snapshot((0..*listed_count).map(entry).collect())))
            }
            Step::CompleteHealthCheck { endpoint, position, role } => Some(Event::HealthCheckCompleted {
                endpoint: endpoint_id(*endpoint),
                outcome: AttemptOutcome::Ok,
                elapsed: TimeDelta(0),
                load_report: Some(vec![*position, *role]),
            }),
            Step::Abandon { pick } => self.abandon(*pick),
            Step::Advance { ms } => {
                self.now = self.now + TimeDelta::from_millis(*ms);
                Some(Event::TimerFired)
            }
        }
    }

    fn request(&mut self, class: usize, group: i64, time_left_ms: i64) -> Event {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let time_remaining = TimeDelta::from_millis(time_left_ms);
        let group = GroupId(group);
        let deadline = self.now + time_remaining;
        let history = RequestHistory { class, group, deadline, is_done: false, attempts: vec![] };
        self.requests.insert(id, history);
        Event::Request(Request {
            id,
            class: ClassId(class),
            tenant: None,
            session: Some(SessionKey(self.last_request_id % 3)),
            time_remaining,
            group,
            since_last_write: None,
            expected_work: None,
        })
    }

    fn complete_attempt(
        &mut self,
        pick: usize,
        outcome: AttemptOutcome,
        role: Option<Role>,
        offset_ms: i64,
    ) -> Option<Event> {
        let in_flight: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, request)| {
                let attempts = request.attempts.iter().enumerate();
                attempts.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(index, _)| (*id, index))
            })
            .collect();
        let (id, index) = *in_flight.get(pick % in_flight.len().max(1))?;
        let request = self.requests.get_mut(&id).unwrap();
        request.attempts[index].outcome = Some(outcome);
        request.is_done |= outcome == AttemptOutcome::Ok;
        let offset = TimeDelta::from_millis(offset_ms);
        Some(Event::AttemptCompleted(AttemptCompletion {
            request: id,
            attempt: AttemptNumber(index as u32),
            endpoint: request.attempts[index].endpoint.clone(),
            outcome,
            metadata: Some(ResponseMetadata { role, position: Some(self.now + offset) }),
            elapsed: offset,
            request_closed: request.is_done,
            load_report: None,
        }))
    }

    fn abandon(&mut self, pick: usize) -> Option<Event> {
        let pending = self.requests.iter().filter(|(_, request)| !request.is_done);
        let pending: Vec<RequestId> = pending.map(|(id, _)| *id).collect();
        let id = *pending.get(pick % pending.len().max(1))?;
        self.requests.get_mut(&id).unwrap().is_done = true;
        Some(Event::RequestAbandoned(id))
    }

    /// Reports an event to the router and checks the resulting actions in their order.
    fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => self.check_send(request, endpoint),
                Action::Reject { request, .. } => {
                    let history = self.pending(request);
                    let may_have_run = history.attempts.iter().any(Attempt::may_have_run);
                    let idempotent = self.is_idempotent(request);
                    assert!(
                        idempotent || !may_have_run,
                        "a request that may have run and is not idempotent was rejected"
                    );
                    self.requests.get_mut(&request).unwrap().is_done = true;
                }
                Action::Fail { request } => {
                    self.pending(request);
                    self.requests.get_mut(&request).unwrap().is_done = true;
                }
                _ => {}
            }
        }
    }

    /// The history of a request that gets its final response now and must not have one yet.
    fn pending(&self, id: RequestId) -> &RequestHistory {
        let history = self.requests.get(&id).expect("a response to an unknown request");
        assert!(!history.is_done, "a second final response to a request");
        history
    }

    /// Whether the class of a request is idempotent; `false` for an unknown class.
    fn is_idempotent(&self, id: RequestId) -> bool {
        let class = self.classes.get(self.requests[&id].class);
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    fn check_send(&mut self, id: RequestId, endpoint: EndpointId) {
        let is_endpoint = |number: &usize| endpoint_id(*number) == endpoint;
        let number = (0..ENDPOINTS).find(is_endpoint).expect("a send to an endpoint that was never listed");
        assert!(!self.is_out_of_service[number], "a send to a draining or removed endpoint");
        let history = self.requests.get(&id).expect("a send of an unknown request");
        assert!(!history.is_done, "a send after the final response");
        assert_eq!(group_of(number), history.group, "a send to an endpoint of another group");
        assert!(history.class < self.classes.len(), "a send of a request of an unknown class");
        let in_flight = history.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        let idempotent = self.is_idempotent(id);
        let may_hedge = in_flight == 1 && self.hedging_allowed && idempotent;
        assert!(in_flight == 0 || may_hedge, "a hedge that is not allowed");
        let may_have_run = history.attempts.iter().any(Attempt::may_have_run);
        assert!(idempotent || !may_have_run, "a retry of a request that may have run and is not idempotent");
        let history = self.requests.get_mut(&id).unwrap();
        history.attempts.push(Attempt { endpoint, outcome: None });
        assert!(history.attempts.len() <= MAX_ATTEMPTS, "more attempts than MAX_ATTEMPTS");
    }

    fn check_deadlines(&self) {
        let is_late = |request: &&RequestHistory| {
            !request.is_done && self.now - request.deadline > FINAL_RESPONSE_GRACE
        };
        let late = self.requests.values().filter(is_late).count();
        assert_eq!(late, 0, "requests without a final response after their deadline");
    }
}

/// Runs the steps, followed by [`IDLE_STEPS`] in which only time passes, and checks the invariants.
fn run_steps(steps: &[Step], hedging_allowed: bool, stale_read_policy: StaleReadPolicy) {
    let mut checker = InvariantChecker::new(hedging_allowed, stale_read_policy);
    let all = (0..ENDPOINTS).map(entry).collect();
    let mut pending = Some(Event::EndpointUpdate(EndpointUpdate::Snapshot(all)));
    let idle = vec![Step::Advance { ms: 5 }; IDLE_STEPS];
    for step in steps.iter().chain(&idle) {
        let event = checker.event(step);
        // The initial endpoint list is reported only after the first step was converted to an event.
        for event in pending.take().into_iter().chain(event) {
            checker.report(event);
        }
        if matches!(step, Step::Advance { .. }) {
            checker.check_deadlines();
        }
    }
    assert!(
        checker.requests.values().all(|request| request.is_done),
        "a request has no final response at the end"
    );
}

fn run_cases(test: impl Fn(Vec<Step>) -> Result<(), TestCaseError>) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &RNG_SEED);
    TestRunner::new_with_rng(config, rng).run(&steps(), test).unwrap();
}

#[test]
fn any_sequence_of_events_keeps_the_invariants_without_hedging() {
    run_cases(|steps| {
        run_steps(&steps, false, StaleReadPolicy::Reject);
        Ok(())
    });
}

#[test]
fn any_sequence_of_events_keeps_the_invariants_with_hedging() {
    run_cases(|steps| {
        run_steps(&steps, true, StaleReadPolicy::Serve);
        Ok(())
    });
}
