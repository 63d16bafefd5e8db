//! A soak test. Clients keep sending requests on open connections until the earliest SIGKILL, while servers
//! hang, close connections and drain, and the pooler receives signals in quick succession. On some seeds,
//! many idle clients stay connected, a crowd of bad clients comes again and again, or the pooler is stopped
//! (SIGSTOP) repeatedly. Each run is checked against the rules in [`history`], [`load_client`] and
//! [`bad_client`], and against the memory limit.
//!
//! `SOAK_SEEDS=1-60` runs other seeds, `SOAK_SLACK_MS=40` allows for shorter delays of the machine that runs
//! the test, and `SOAK_QUIET_S=60` has all clients send nothing for 60 s before the configuration is
//! reloaded.

#[path = "../support/mod.rs"]
mod support;

mod bad_client;
mod faulty_server;
mod history;
mod load_client;
mod random;
mod run;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

/// The first and last seed, unless `SOAK_SEEDS` names others.
const DEFAULT_SEEDS: &str = "1-10";
/// The number of runs at the same time.
const PARALLEL_RUNS: usize = 5;
/// Added to the time limits of the rules for delays of the machine that runs the test, unless `SOAK_SLACK_MS`
/// gives another value.
const DEFAULT_SLACK_MS: u64 = 250;

/// Runs all seeds from `first` to `last`, [`PARALLEL_RUNS`] at a time.
fn run_seeds(first: u64, last: u64, slack: Duration) -> Vec<Result<String, String>> {
    let next = Arc::new(AtomicU64::new(first));
    let (done, outcomes) = channel();
    for _ in 0..PARALLEL_RUNS {
        let (next, done) = (next.clone(), done.clone());
        std::thread::spawn(move || {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                let outcome = std::panic::catch_unwind(|| run::run_seed(seed, slack));
                let outcome = outcome.unwrap_or_else(|_| Err(format!("the run of seed {seed} panicked")));
                done.send(outcome).unwrap();
            }
        });
    }
    drop(done);
    outcomes.iter().collect()
}

#[test]
fn no_request_is_lost_and_no_write_runs_twice_until_the_earliest_kill() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS.to_owned());
    let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS must have the form first-last");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let slack = std::env::var("SOAK_SLACK_MS").map_or(DEFAULT_SLACK_MS, |text| text.parse().unwrap());
    let outcomes = run_seeds(first, last, Duration::from_millis(slack));
    outcomes.iter().for_each(|outcome| println!("{outcome:?}"));
    assert_eq!(outcomes.len() as u64, last + 1 - first);
    let failures: Vec<_> = outcomes.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
