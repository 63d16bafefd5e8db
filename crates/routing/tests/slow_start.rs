//! The budget of a member that has just started, against what all routers together send it.

mod common;

use common::*;
use pooler_routing::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const MEMBERS: usize = 4;
/// What a warm member can answer in a second.
const CAPACITY: f64 = 60.0;
const TICK_MS: i64 = 5;

/// What a cold member may get in one window, by what the settings allow it then.
fn budget(allowed: f64) -> f64 {
    if allowed < 30.0 { allowed + 3.0 * allowed.sqrt() + 3.0 } else { allowed + 2.0 * allowed.sqrt() + 2.0 }
}

/// When the second member was sent something after it started, by all of so many routers together that carry this part
/// of what the members can do; and when it started.
fn sends_to_the_started(routers: usize, load: f64, seed: u64) -> (Timestamp, Vec<Timestamp>) {
    let settings = Settings { router_count: routers as u32, ..settings() };
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> =
        (0..routers).map(|at| Host::seeded(seed * 1_000 + at as u64, settings.clone(), MEMBERS)).collect();
    let mut out: Vec<(i64, usize, RequestId, usize)> = Vec::new();
    let chance = load * CAPACITY * MEMBERS as f64 * TICK_MS as f64 / 1_000.0;
    let (mut started, mut sent) = (None, Vec::new());
    for turn in 0..(20_000 / TICK_MS) {
        let now = Timestamp(1_000_000_000) + TimeDelta::from_millis(turn * TICK_MS);
        if turn * TICK_MS == 12_000 {
            started = Some(now);
            for host in &mut hosts {
                host.now = now;
                host.tell(Event::EndpointUpdate(EndpointUpdate::Delta(vec![EndpointEntry {
                    started_at: started,
                    ..entry(2)
                }])));
            }
        }
        let (done, still): (Vec<_>, Vec<_>) = out.into_iter().partition(|(at, ..)| *at <= turn);
        out = still;
        for (_, router, id, at) in done {
            hosts[router].now = now;
            hosts[router].end(id, 0, at, AttemptOutcome::Ok);
        }
        let mut arrivals = chance.floor() as usize;
        arrivals += usize::from(f64::from(dice.next_u32()) / f64::from(u32::MAX) < chance.fract());
        for _ in 0..arrivals {
            let router = dice.next_u32() as usize % routers;
            hosts[router].now = now;
            let (id, actions) = hosts[router].ask_within(ANY, 400);
            for to in sends(&actions) {
                let at = (1..=MEMBERS).find(|at| member(*at) == to).unwrap();
                if started.is_some() && at == 2 {
                    sent.push(now);
                }
                out.push((turn + 4, router, id, at));
            }
        }
        for host in &mut hosts {
            host.now = now;
            host.tell(Event::TimerFired);
        }
    }
    (started.unwrap(), sent)
}

/// The part of its budget that a cold member is sent in its fullest window.
fn fullest_window(routers: usize, load: f64) -> f64 {
    let settings = settings();
    let (started, sent) = sends_to_the_started(routers, load, 7);
    let span = settings.slow_start_window.0 as f64;
    let seconds = settings.overload_window.0 as f64 / 1e6;
    let part = |from: Timestamp| {
        let warmth =
            settings.slow_start_floor + (1.0 - settings.slow_start_floor) * (from - started).0 as f64 / span;
        let count = sent.iter().filter(|at| **at >= from && **at < from + settings.overload_window).count();
        if warmth >= 1.0 {
            0.0
        } else {
            count as f64 / budget(settings.overload_multiple * warmth * CAPACITY * seconds)
        }
    };
    sent.iter().map(|from| part(*from)).fold(0.0, f64::max)
}

#[test]
fn no_fleet_sends_a_cold_member_more_than_its_budget() {
    let mut over = Vec::new();
    for routers in [1, 3, 30, 200] {
        for load in [0.4, 0.67, 0.9, 1.0] {
            let part = fullest_window(routers, load);
            println!("{routers} routers at {load}: {part:.2} of the budget");
            if part > 1.0 {
                over.push((routers, load, part));
            }
        }
    }
    assert!(over.is_empty(), "routers, load, part of the budget: {over:?}");
}

#[test]
fn a_fresh_router_begins_to_serve_from_members_that_have_all_just_started() {
    // Nothing has been served by which to tell what they can; the page's budget allows a few calls all the same.
    for fleet in [1, 3, 30] {
        let settings = Settings { router_count: fleet, ..settings() };
        let mut hosts: Vec<Host> =
            (0..u64::from(fleet)).map(|seed| Host::seeded(seed, settings.clone(), 0)).collect();
        let began = hosts[0].now;
        for host in &mut hosts {
            let started = Some(began);
            let entries = (1..=3).map(|at| EndpointEntry { started_at: started, ..entry(at) }).collect();
            host.tell(Event::EndpointUpdate(EndpointUpdate::Snapshot(entries)));
        }
        let (mut served, mut asked) = (0, 0);
        let mut first_window = [0_usize; 4];
        // Ten requests a second, of the whole fleet.
        for turn in 0..80_i64 {
            let now = began + TimeDelta::from_millis(turn * 100);
            let at = turn as usize % hosts.len();
            let host = &mut hosts[at];
            host.now = now;
            let (id, actions) = host.ask_within(ANY, 400);
            asked += 1;
            if let Some(to) = sends(&actions).first() {
                let at = (1..=3).find(|at| member(*at) == *to).unwrap();
                first_window[at] += usize::from(now < began + settings.overload_window);
                host.now = now + TimeDelta::from_millis(20);
                host.end(id, 0, at, AttemptOutcome::Ok);
                served += 1;
            }
        }
        assert!(first_window.iter().all(|count| *count <= 3), "{fleet}: {first_window:?}");
        assert!(served * 4 >= asked, "{fleet}: {served} of {asked} served in 8 s");
    }
}
