//! Model checking of the decisions themselves: the same [`Router`] that serves, stepped by
//! stateright through all orders in which a change of primary, responses, losses, a crash of a router and a drain can
//! fall, within stated bounds.

mod system;

use pooler_routing::{AttemptOutcome, EndpointUpdate, Event, Lifecycle, Router};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use system::{DEADLINE_MS, END_MS, ENDPOINTS, WriteOutcome, endpoint_entry, settings};
pub use system::{SystemState, Violation};

const RULES_HOLD: &str = "the rules hold";
const WRITE_SURVIVES: &str = "a write survives the change";
/// A restarted router's seed is this much more than its first.
const RESTARTED_SEED: u64 = 100;
const OLD_PRIMARY: usize = 0;

/// How far the exploration goes, and what is wrong on purpose.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Routers.
    pub routers: usize,
    /// Writes that clients ask of each router.
    pub writes: usize,
    /// Responses that may be lost beside those that a death loses.
    pub losses: u8,
    /// Routers that may crash.
    pub crashes: u8,
    /// Whether a drain of the primary may be reported.
    pub drains: bool,
    /// A host that takes a reset for proof that nothing ran, so that writes are retried after it. The check has to find
    /// this.
    pub wrong_reset: bool,
}

/// What can happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A client asks a router for its next write.
    Request(usize),
    /// Time goes on.
    Tick,
    /// An attempt ends as its endpoint has it.
    CompleteAttempt {
        /// Which of those in flight.
        attempt: usize,
        /// Whether its response gets lost on the way.
        lost: bool,
        /// Whether a lost one ran before that.
        ran: bool,
    },
    /// The primary dies.
    KillPrimary,
    /// An endpoint takes over.
    Promote(usize),
    /// The old primary is back as a replica.
    Revive,
    /// A router crashes and starts from its first endpoint list.
    CrashRouter(usize),
    /// A router is told that the primary drains.
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
            Some(OLD_PRIMARY) if !state.has_changed => transitions.push(Transition::KillPrimary),
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
                state.request(router, write);
            }
            Transition::CompleteAttempt { attempt, lost, ran } => {
                self.complete_attempt(&mut state, attempt, lost, ran);
            }
            Transition::KillPrimary => {
                state.is_alive[OLD_PRIMARY] = false;
                (state.primary, state.has_changed) = (None, true);
            }
            Transition::Promote(endpoint) => state.primary = Some(endpoint),
            Transition::Revive => {
                state.is_alive[OLD_PRIMARY] = true;
                state.is_revived = true;
            }
            Transition::CrashRouter(router) => state.crash_router(router),
            Transition::ReportDrain(router) => {
                state.is_drain_reported[router] = true;
                let drains = vec![endpoint_entry(OLD_PRIMARY, Lifecycle::Draining)];
                state.report(router, Event::EndpointUpdate(EndpointUpdate::Delta(drains)));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(RULES_HOLD, |_, state| state.violation.is_none()),
            // Else the check would show nothing.
            Property::<Self>::sometimes(WRITE_SURVIVES, |_, state| {
                let retried = state.writes.iter().flatten().filter(|write| write.sends > 1);
                let mut served = retried.filter(|write| write.outcomes == [WriteOutcome::Served]);
                state.has_changed && served.next().is_some()
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
        if self.0.drains && !state.is_drain_reported[router] && !state.has_changed {
            transitions.push(Transition::ReportDrain(router));
        }
    }

    fn add_attempt_transitions(
        &self,
        state: &SystemState,
        attempt: usize,
        transitions: &mut Vec<Transition>,
    ) {
        let of = &state.attempts[attempt];
        let is_alive = state.is_alive[of.endpoint];
        if is_alive || of.is_refused {
            transitions.push(Transition::CompleteAttempt { attempt, lost: false, ran: false });
        }
        // What was sent to a primary may get lost beside a death, or with it.
        let is_primary = state.primary == Some(of.endpoint);
        let lost_by_chance = is_alive && state.losses < self.0.losses && is_primary;
        if !of.is_refused && (lost_by_chance || !is_alive) {
            transitions.push(Transition::CompleteAttempt { attempt, lost: true, ran: false });
            if of.to_primary {
                transitions.push(Transition::CompleteAttempt { attempt, lost: true, ran: true });
            }
        }
    }

    fn complete_attempt(&self, state: &mut SystemState, attempt: usize, lost: bool, ran: bool) {
        let of = &state.attempts[attempt];
        let (is_refused, is_primary) = (of.is_refused, state.primary == Some(of.endpoint));
        if lost {
            state.losses += u8::from(state.is_alive[of.endpoint]);
            let outcome = if self.0.wrong_reset {
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

/// What a check found.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Different states.
    pub states: usize,
    /// What went wrong, with the transitions that lead there.
    pub violation: Option<(Violation, Vec<Transition>)>,
    /// Whether some write was served after having been sent more than once.
    pub write_survives: bool,
}

/// Checks all states within these bounds.
#[must_use]
pub fn check(bounds: Bounds, threads: usize) -> CheckResult {
    let checker = FailoverModel(bounds).checker().threads(threads).spawn_bfs().join();
    let discoveries: BTreeMap<_, _> = checker.discoveries().into_iter().collect();
    let violation = discoveries.get(RULES_HOLD).and_then(|path| {
        let violation = path.last_state().violation?;
        Some((violation, path.clone().into_actions()))
    });
    let write_survives = discoveries.contains_key(WRITE_SURVIVES);
    CheckResult { states: checker.unique_state_count(), violation, write_survives }
}

impl SystemState {
    /// A router dies with all that it had in flight, and starts anew.
    fn crash_router(&mut self, router: usize) {
        self.crashes += 1;
        self.attempts.retain(|of| of.router != router);
        for write in self.writes[router].iter_mut().filter(|write| write.outcomes.is_empty()) {
            write.is_orphaned = true;
        }
        self.routers[router] = Router::new(router as u64 + RESTARTED_SEED, settings());
        self.timers[router] = None;
        self.is_drain_reported[router] = false;
        self.report_first_endpoints(router);
    }
}
