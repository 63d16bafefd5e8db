//! Clients that go on asking on open connections until the earliest SIGKILL, while servers hang, break off and drain,
//! signals come in series and, on some seeds, many idle clients stay connected or the pooler is stopped again and
//! again. Each run is checked against the rules of operation.
//!
//! `SOAK_SEEDS=1-60` plays other seeds, `SOAK_SLACK_MS=40` grants the machine that runs it less time, and
//! `SOAK_QUIET_S=60` has all clients rest for so long before the trouble begins.

#[path = "../support/mod.rs"]
mod support;

mod faulty_server;
mod history;
mod load_client;
mod random;
mod run;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

const SEEDS: &str = "1-10";
/// Runs at the same time.
const PARALLEL_RUNS: usize = 5;
/// How much later than the rules say something may happen, for the machine that runs it.
const SLACK_MS: u64 = 250;

/// Plays all seeds from `first` to `last`, several at the same time.
fn play_all(first: u64, last: u64, slack: Duration) -> Vec<Result<String, String>> {
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
                let outcome = std::panic::catch_unwind(|| run::play(seed, slack));
                let outcome = outcome.unwrap_or_else(|_| Err(format!("seed {seed} could not be played")));
                done.send(outcome).unwrap();
            }
        });
    }
    drop(done);
    outcomes.iter().collect()
}

#[test]
fn clients_that_ask_until_the_kill_lose_no_request() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or(SEEDS.to_owned());
    let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS=first-last");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let slack = std::env::var("SOAK_SLACK_MS").map_or(SLACK_MS, |text| text.parse().unwrap());
    let outcomes = play_all(first, last, Duration::from_millis(slack));
    outcomes.iter().for_each(|outcome| println!("{outcome:?}"));
    assert_eq!(outcomes.len() as u64, last + 1 - first);
    let failures: Vec<_> = outcomes.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
