//! A model checker for the routing decisions. Stateright drives the production [`Router`] through all orders
//! of a change of primary, responses, lost responses, router crashes and drain reports, within given bounds.

mod system;

use pooler_routing::{AttemptOutcome, EndpointUpdate, Event, Lifecycle, Router};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use system::{DEADLINE_MS, END_MS, ENDPOINTS, WriteOutcome, endpoint_entry, settings};
pub use system::{SystemState, Violation};

const RULES_HOLD: &str = "no rule is violated";
const RETRIED_WRITE_SERVED: &str = "the primary died and a retried write was served";
/// Difference between the seeds of a router after and before its restart.
const RESTART_SEED_OFFSET: u64 = 100;
const OLD_PRIMARY: usize = 0;

/// The bounds of the exploration, and a fault to seed.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of routers.
    pub routers: usize,
    /// Number of writes that clients request from each router.
    pub writes: usize,
    /// Maximum number of responses lost in addition to those lost when the primary dies.
    pub losses: u8,
    /// Maximum number of router crashes.
    pub crashes: u8,
    /// Whether a drain of the primary may be reported.
    pub drains: bool,
    /// Whether to seed a fault: the router is told that a reset connection was lost before the request was
    /// sent, and retries writes that may have run. The check must find the fault.
    pub treats_reset_as_unsent: bool,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A client sends its next write to this router.
    Request(usize),
    /// Time advances by one step.
    Tick,
    /// An attempt ends: its endpoint responds or refuses the connection, or the response is lost.
    CompleteAttempt {
        /// The index of the attempt among those in flight.
        attempt: usize,
        /// Whether the response is lost.
        lost: bool,
        /// Whether the write ran before its response was lost.
        ran: bool,
    },
    /// The primary dies.
    KillPrimary,
    /// This endpoint becomes the primary.
    Promote(usize),
    /// The old primary returns as a replica.
    Revive,
    /// This router crashes and restarts with the initial endpoint list.
    CrashRouter(usize),
    /// This router receives an update that reports the primary as draining.
    ReportDrain(usize),
}

/// The model of a change of primary.
#[derive(Clone, Debug)]
pub struct FailoverModel(pub Bounds);

impl Model for FailoverModel {
    type State = SystemState;
    type Action = Transition;

    fn init_states(&self) -> Vec<SystemState> {
        vec![SystemState::new(self.0.routers, self.0.writes)]
    }

    fn actions(&self, state: &SystemState, transitions: &mut Vec<Transition>) {
        if state.violation.is_some() {
            return;
        }
        if state.now_ms < END_MS {
            transitions.push(Transition::Tick);
        }
        for router in 0..self.0.routers {
            self.add_router_transitions(state, router, transitions);
        }
        for attempt in 0..state.attempts.len() {
            self.add_attempt_transitions(state, attempt, transitions);
        }
        match state.primary {
            Some(OLD_PRIMARY) if !state.has_primary_died => transitions.push(Transition::KillPrimary),
            None => transitions.extend((1..ENDPOINTS).map(Transition::Promote)),
            Some(1..) if !state.is_alive[OLD_PRIMARY] && !state.is_revived => {
                transitions.push(Transition::Revive);
            }
            _ => {}
        }
    }

    fn next_state(&self, before: &SystemState, transition: Transition) -> Option<SystemState> {
        let mut state = before.clone();
        match transition {
            Transition::Tick => state.tick(),
            Transition::Request(router) => {
                let write = state.next_write(router)?;
                state.request_write(router, write);
            }
            Transition::CompleteAttempt { attempt, lost, ran } => {
                self.complete_attempt(&mut state, attempt, lost, ran);
            }
            Transition::KillPrimary => {
                state.is_alive[OLD_PRIMARY] = false;
                (state.primary, state.has_primary_died) = (None, true);
            }
            Transition::Promote(endpoint) => state.primary = Some(endpoint),
            Transition::Revive => {
                state.is_alive[OLD_PRIMARY] = true;
                state.is_revived = true;
            }
            Transition::CrashRouter(router) => state.crash_router(router),
            Transition::ReportDrain(router) => {
                state.is_drain_reported[router] = true;
                let entries = vec![endpoint_entry(OLD_PRIMARY, Lifecycle::Draining)];
                state.handle_event(router, Event::EndpointUpdate(EndpointUpdate::Delta(entries)));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(RULES_HOLD, |_, state| state.violation.is_none()),
            // Without a retried write that is served, the absence of violations would prove nothing.
            Property::<Self>::sometimes(RETRIED_WRITE_SERVED, |_, state| {
                let retried = state.writes.iter().flatten().filter(|write| write.sends > 1);
                let mut served = retried.filter(|write| write.outcomes == [WriteOutcome::Served]);
                state.has_primary_died && served.next().is_some()
            }),
        ]
    }
}

impl FailoverModel {
    fn add_router_transitions(&self, state: &SystemState, router: usize, transitions: &mut Vec<Transition>) {
        if state.next_write(router).is_some() && state.now_ms + DEADLINE_MS <= END_MS {
            transitions.push(Transition::Request(router));
        }
        if state.crashes < self.0.crashes {
            transitions.push(Transition::CrashRouter(router));
        }
        if self.0.drains && !state.is_drain_reported[router] && !state.has_primary_died {
            transitions.push(Transition::ReportDrain(router));
        }
    }

    fn add_attempt_transitions(
        &self,
        state: &SystemState,
        attempt: usize,
        transitions: &mut Vec<Transition>,
    ) {
        let in_flight = &state.attempts[attempt];
        let is_alive = state.is_alive[in_flight.endpoint];
        if is_alive || in_flight.is_refused {
            transitions.push(Transition::CompleteAttempt { attempt, lost: false, ran: false });
        }
        // Responses of an endpoint that died after the dispatch are lost; those of a live primary may be lost
        // within the bound.
        let is_primary = state.primary == Some(in_flight.endpoint);
        let may_lose_response = is_alive && state.losses < self.0.losses && is_primary;
        if !in_flight.is_refused && (may_lose_response || !is_alive) {
            transitions.push(Transition::CompleteAttempt { attempt, lost: true, ran: false });
            if in_flight.to_primary {
                transitions.push(Transition::CompleteAttempt { attempt, lost: true, ran: true });
            }
        }
    }

    fn complete_attempt(&self, state: &mut SystemState, attempt: usize, lost: bool, ran: bool) {
        let in_flight = &state.attempts[attempt];
        let (is_refused, is_primary) = (in_flight.is_refused, state.primary == Some(in_flight.endpoint));
        if lost {
            state.losses += u8::from(state.is_alive[in_flight.endpoint]);
            let outcome = if self.0.treats_reset_as_unsent {
                AttemptOutcome::ConnectionLostBeforeSend
            } else {
                AttemptOutcome::ConnectionReset
            };
            state.complete_attempt(attempt, outcome, ran);
        } else if is_refused {
            state.complete_attempt(attempt, AttemptOutcome::ConnectionRefused, false);
        } else {
            state.attempts[attempt].to_primary = is_primary;
            let outcome = if is_primary { AttemptOutcome::Ok } else { AttemptOutcome::NotEligible };
            state.complete_attempt(attempt, outcome, is_primary);
        }
    }
}

/// The result of a check.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Number of distinct states explored.
    pub states: usize,
    /// A violated rule and the transitions that lead to the violation, if any was found.
    pub violation: Option<(Violation, Vec<Transition>)>,
    /// Whether a state was found in which the primary had died and a write sent more than once was served.
    pub retried_write_served: bool,
}

/// Explores all states within the bounds, breadth first, on this number of threads.
#[must_use]
pub fn check(bounds: Bounds, threads: usize) -> CheckResult {
    let checker = FailoverModel(bounds).checker().threads(threads).spawn_bfs().join();
    let discoveries: BTreeMap<_, _> = checker.discoveries().into_iter().collect();
    let violation = discoveries.get(RULES_HOLD).and_then(|path| {
        let violation = path.last_state().violation?;
        Some((violation, path.clone().into_actions()))
    });
    let retried_write_served = discoveries.contains_key(RETRIED_WRITE_SERVED);
    CheckResult { states: checker.unique_state_count(), violation, retried_write_served }
}

impl SystemState {
    /// Crashes and restarts a router. Its attempts in flight are lost, and its writes without a final
    /// response get none.
    fn crash_router(&mut self, router: usize) {
        self.crashes += 1;
        self.attempts.retain(|in_flight| in_flight.router != router);
        for write in self.writes[router].iter_mut().filter(|write| write.outcomes.is_empty()) {
            write.is_orphaned = true;
        }
        self.routers[router] = Router::new(router as u64 + RESTART_SEED_OFFSET, settings());
        self.timers[router] = None;
        self.is_drain_reported[router] = false;
        self.report_initial_endpoints(router);
    }
}
