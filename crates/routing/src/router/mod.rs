//! Every decision of the pooler. The types, events and actions stand in `interface.rs`, the plain state in
//! `state.rs`.
//!
//! Wu and Kemme's mechanism: a read goes to a random member fresh enough; if that is over the threshold, to
//! the first under it of the next `FORWARD`. A write goes to the mark, walks on proof, and is then held.

mod evidence;
mod fleet_clock;
mod health;
mod list;
mod outcomes;
mod placement;
mod requests;
mod shedding;
mod slow_start;
mod tuning;

use crate::state::*;
use crate::*;
use fleet_clock::FleetClock;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tuning::*;

/// The decisions of one router.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    rng: ChaCha8Rng,
    clock: FleetClock,
    /// When the first read waited for a primary to tell the present.
    primary_awaited: Option<Timestamp>,
    /// The list has been told once: what comes after it are changes.
    has_list: bool,
    members: BTreeMap<EndpointId, Member>,
    groups: BTreeMap<GroupId, Group>,
    open: BTreeMap<RequestId, Open>,
    due: BTreeSet<(Timestamp, RequestId)>,
    /// Groups that hold requests, and those of which something new is known.
    waiting: BTreeSet<GroupId>,
    stirred: BTreeSet<GroupId>,
    pace: Vec<Pace>,
    /// Worth served and asked for.
    classes: Vec<Counts>,
    tenants: Vec<Counts>,
    tokens: HashMap<SessionKey, Timestamp>,
    crowd: [Counts; 2],
    /// Answers, of all members in service, and when the first came.
    served: Counts,
    began: Timestamp,
    in_service: f64,
    /// Questions for positions that may be asked.
    asks: f64,
    retries: f64,
    wake: Option<Timestamp>,
    swept: Timestamp,
    stalled: Timestamp,
    ask_at: Option<Timestamp>,
    log: Option<String>,
    logged: Timestamp,
}

impl Router {
    /// A router that knows nothing but its settings.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        let pace = |class: &RequestClass| {
            let aim = class.latency_objective.0 as f64;
            Pace { mean: aim * PACE_MEAN, dev: aim * PACE_DEV, seen: PACE_PRIOR }
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            clock: FleetClock::default(),
            primary_awaited: None,
            has_list: false,
            pace: settings.classes.iter().map(pace).collect(),
            classes: vec![Counts::default(); settings.classes.len()],
            tenants: vec![Counts::default(); settings.tenants.len()],
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            waiting: BTreeSet::new(),
            stirred: BTreeSet::new(),
            tokens: HashMap::new(),
            crowd: [Counts::default(); 2],
            served: Counts::default(),
            began: Timestamp(i64::MAX),
            in_service: 0.0,
            asks: ASKS_MOST,
            retries: 1.0,
            wake: None,
            swept: NEVER,
            stalled: NEVER,
            ask_at: (settings.discovery == Discovery::Poll).then_some(NEVER),
            log: None,
            logged: NEVER,
            settings,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.stalled = if self.wake.is_some_and(|at| now - at > STALL) { now } else { self.stalled };
        self.wake = self.wake.filter(|at| now < *at);
        match event {
            Event::EndpointUpdate(listing) => self.list(now, listing),
            Event::Request(request) => self.request(now, &request, actions),
            Event::RequestAbandoned(id) => drop(self.drop_open(id, actions)),
            Event::ResponseStarted(id) => drop(self.drop_open(id, &mut Vec::new())),
            Event::TimerFired => {}
            Event::AttemptCompleted(outcome) => self.outcome(now, outcome, actions),
            Event::HealthCheckCompleted {
                endpoint: member,
                outcome: verdict,
                elapsed: took,
                load_report: report,
            } => {
                // An answered probe is no sign of life: it passes beside the queue of a member that hangs.
                self.report(now, &member, report.as_deref(), took);
                if matches!(verdict, AttemptOutcome::ConnectionRefused | AttemptOutcome::ConnectTimeout) {
                    self.judge(now, &member, verdict, took, None);
                }
            }
        }
        self.sweep(now, actions);
        self.release(now, actions);
        if let Some(line) = self.log.take().filter(|_| now - self.logged >= LOG_EVERY) {
            self.logged = now;
            actions.push(Action::Log { line });
        }
        let soon = (!self.waiting.is_empty()).then_some(now + SWEEP);
        let next = self.due.first().map(|due| due.0.max(now + TimeDelta(1)));
        let next = next.into_iter().chain(soon).chain(self.ask_at).min();
        if let Some(at) = next.filter(|next| self.wake.is_none_or(|at| *next < at)) {
            self.wake = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }

    pub(super) fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}
