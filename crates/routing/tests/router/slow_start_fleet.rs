//! Slow start: simulated fleets of routers stay within the budget of an endpoint that has restarted.

use crate::support::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const ENDPOINTS: usize = 4;
/// The endpoint that restarts.
const RESTARTED: usize = 2;
/// The capacity of a warm endpoint, in requests per second.
const CAPACITY: f64 = 60.0;
const STEP_MS: i64 = 5;
/// The time that an endpoint takes to answer a request, in simulation steps.
const LATENCY_STEPS: i64 = 4;
const RESTART_AFTER_MS: i64 = 12_000;
const END_AFTER_MS: i64 = 20_000;
const DEADLINE_MS: i64 = 400;
const SEED: u64 = 7;

/// The budget of a cold endpoint in one overload window: the number of requests that the settings allow, and
/// a margin for random variation.
fn budget(allowed: f64) -> f64 {
    if allowed < 30.0 { allowed + 3.0 * allowed.sqrt() + 3.0 } else { allowed + 2.0 * allowed.sqrt() + 2.0 }
}

/// A request that an endpoint is working on.
struct InFlight {
    ends_at_step: i64,
    router: usize,
    request: RequestId,
    endpoint: usize,
}

/// A fleet of routers that share a group of endpoints, one of which restarts.
struct FleetSimulation {
    hosts: Vec<TestHost>,
    random: ChaCha8Rng,
    in_flight: Vec<InFlight>,
    restarted_at: Option<Timestamp>,
    /// When requests were sent to the restarted endpoint, in order.
    sent_to_restarted: Vec<Timestamp>,
}

impl FleetSimulation {
    fn new(routers: usize) -> Self {
        let settings = Settings { router_count: routers as u32, ..settings() };
        let host = |at| TestHost::with_seed(SEED * 1_000 + at as u64, settings.clone(), ENDPOINTS);
        Self {
            hosts: (0..routers).map(host).collect(),
            random: ChaCha8Rng::seed_from_u64(SEED),
            in_flight: Vec::new(),
            restarted_at: None,
            sent_to_restarted: Vec::new(),
        }
    }

    /// Runs the whole simulation. `load` is the arrival rate as a fraction of the group's capacity.
    fn run(&mut self, load: f64) {
        let arrivals_per_step = load * CAPACITY * ENDPOINTS as f64 * STEP_MS as f64 / 1_000.0;
        for step in 0..(END_AFTER_MS / STEP_MS) {
            let now = START + TimeDelta::from_millis(step * STEP_MS);
            if step * STEP_MS == RESTART_AFTER_MS {
                self.restart(now);
            }
            self.complete_requests(step, now);
            for _ in 0..self.arrivals(arrivals_per_step) {
                self.send_request(step, now);
            }
            for host in &mut self.hosts {
                host.now = now;
                host.report(Event::TimerFired);
            }
        }
    }

    fn restart(&mut self, now: Timestamp) {
        self.restarted_at = Some(now);
        for host in &mut self.hosts {
            host.now = now;
            host.set_started_at(RESTARTED, now);
        }
    }

    fn complete_requests(&mut self, step: i64, now: Timestamp) {
        let (done, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|request| request.ends_at_step <= step);
        self.in_flight = remaining;
        for InFlight { router, request, endpoint, .. } in done {
            self.hosts[router].now = now;
            self.hosts[router].complete_attempt(request, 0, endpoint, AttemptOutcome::Ok);
        }
    }

    /// Draws the number of requests that arrive in one step, with the given mean.
    fn arrivals(&mut self, mean: f64) -> usize {
        let one_more = f64::from(self.random.next_u32()) / f64::from(u32::MAX) < mean.fract();
        mean.floor() as usize + usize::from(one_more)
    }

    fn send_request(&mut self, step: i64, now: Timestamp) {
        let router = self.random.next_u32() as usize % self.hosts.len();
        self.hosts[router].now = now;
        let (request, actions) = self.hosts[router].request_with_deadline(EVENTUAL_READ, DEADLINE_MS);
        for to in sent_to(&actions) {
            let endpoint = endpoint_number(ENDPOINTS, &to);
            if self.restarted_at.is_some() && endpoint == RESTARTED {
                self.sent_to_restarted.push(now);
            }
            self.in_flight.push(InFlight { ends_at_step: step + LATENCY_STEPS, router, request, endpoint });
        }
    }
}

/// The largest fraction of its budget that the cold endpoint is sent in any overload window.
fn peak_budget_fraction(routers: usize, load: f64) -> f64 {
    let settings = settings();
    let mut simulation = FleetSimulation::new(routers);
    simulation.run(load);
    let (restarted_at, sent) = (simulation.restarted_at.unwrap(), simulation.sent_to_restarted);
    let window = settings.slow_start_window.0 as f64;
    let seconds = settings.overload_window.0 as f64 / 1e6;
    let floor = settings.slow_start_floor;
    let budget_fraction = |from: Timestamp| {
        let capacity_fraction = floor + (1.0 - floor) * (from - restarted_at).0 as f64 / window;
        let count = sent.iter().filter(|at| **at >= from && **at < from + settings.overload_window).count();
        if capacity_fraction >= 1.0 {
            0.0
        } else {
            count as f64 / budget(settings.overload_multiple * capacity_fraction * CAPACITY * seconds)
        }
    };
    sent.iter().map(|from| budget_fraction(*from)).fold(0.0, f64::max)
}

#[test]
fn no_fleet_sends_a_cold_endpoint_more_than_its_budget() {
    let mut exceeded = Vec::new();
    for routers in [1, 3, 30, 200] {
        for load in [0.4, 0.67, 0.9, 1.0] {
            let budget_fraction = peak_budget_fraction(routers, load);
            println!("{routers} routers at load {load}: {budget_fraction:.2} of the budget");
            if budget_fraction > 1.0 {
                exceeded.push((routers, load, budget_fraction));
            }
        }
    }
    assert!(exceeded.is_empty(), "exceeded budgets (routers, load, fraction of the budget): {exceeded:?}");
}
