//! Plays a scenario: a fleet, a pooler that knows it from the registry alone, and clients. What comes out is in the
//! history.

use crate::clients::ClientLoad;
use crate::error::TestbedError;
use crate::fleet::Fleet;
use crate::history::{RuleReport, SharedHistory};
use crate::lock;
use crate::pooler_process::PoolerProcess;
use crate::scenario::{Expectation, Scenario};
use std::path::Path;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
/// A client's pause between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(4);
/// The first moments of a scenario, which do not count.
const WARM_UP: Duration = Duration::from_millis(300);
/// The part at a scenario's end in which servers are to be idle or busy.
const LAST_PART: Duration = Duration::from_millis(700);
/// A pooler that is told to end must have ended by then, whatever the registry does.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3_700);
/// How much of the log is shown where an expectation was missed.
const LOG_LINES_SHOWN: usize = 12;

/// What came out of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioOutcome {
    /// The rules, by the history.
    pub report: RuleReport,
    /// What was expected and did not come, in words, and the end of the log if there is any.
    pub missed: Vec<String>,
    /// The share of requests that were served, without the first moments.
    pub served_share: f64,
}

/// How many statements some servers had received at some moment.
struct SendCounts(Vec<usize>);

impl SendCounts {
    fn now(history: &SharedHistory, servers: &[&String]) -> Self {
        Self(servers.iter().map(|id| lock(history).sends(id)).collect())
    }
}

/// Plays a scenario with the pooler at `program`.
///
/// # Errors
///
/// When it can't be played; what comes out wrong is no error.
pub fn play(scenario: &Scenario, program: &Path, seed: u64) -> Result<ScenarioOutcome, TestbedError> {
    let mut fleet = Fleet::start(scenario.servers, scenario.peers)?;
    if scenario.operator.contains("lifts: \"override\"") {
        fleet.count_cleared_overrides();
    }
    fleet.peers.iter().for_each(|peer| peer.write_xml(scenario.xml));
    let operator = fleet.operator_config(&scenario.operator);
    let mut pooler = PoolerProcess::start_with_registry(program, &operator)?;
    let history = fleet.history.clone();
    let load = ClientLoad::start(pooler.address, CLIENTS, CLIENT_PAUSE, seed, &history);
    let started = Instant::now();
    let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));

    sleep_until(WARM_UP);
    lock(&history).begin_phase();
    for step in &scenario.steps {
        sleep_until(Duration::from_millis(step.at_ms));
        fleet.perform(&step.action, &pooler)?;
    }
    let end = Duration::from_millis(scenario.duration_ms);
    sleep_until(end.saturating_sub(LAST_PART));
    let Expectation { idle, busy, .. } = &scenario.expect;
    let watched: Vec<&String> = idle.iter().chain(busy).collect();
    let before = SendCounts::now(&history, &watched);
    sleep_until(end);
    let after = SendCounts::now(&history, &watched);
    load.stop();

    let counts = lock(&history).phase_counts();
    let served_share = counts.served as f64 / counts.requests.max(1) as f64;
    let mut missed = missed_share(&scenario.expect, served_share, &history);
    missed.extend(missed_sends(&scenario.expect, &watched, &before, &after));
    missed.extend(missed_log_lines(&scenario.expect, &pooler));
    missed.extend(missed_shutdown(&mut pooler)?);
    let report = lock(&history).report();
    if !missed.is_empty() {
        missed.extend(pooler.log().into_iter().rev().take(LOG_LINES_SHOWN).rev());
    }
    Ok(ScenarioOutcome { report, missed, served_share })
}

fn missed_share(expect: &Expectation, served_share: f64, history: &SharedHistory) -> Vec<String> {
    if served_share >= expect.served {
        return Vec::new();
    }
    let outcomes = lock(history).outcomes().clone();
    vec![format!("served {served_share:.4} and not {}: {outcomes:?}", expect.served)]
}

/// Servers that received something at the end and should not have, or the other way round.
fn missed_sends(
    expect: &Expectation,
    watched: &[&String],
    before: &SendCounts,
    after: &SendCounts,
) -> Vec<String> {
    let mut missed = Vec::new();
    for (at, id) in watched.iter().enumerate() {
        let received = after.0[at] - before.0[at];
        let should_be_idle = at < expect.idle.len();
        if should_be_idle != (received == 0) {
            missed.push(format!("{id} received {received} at the end"));
        }
    }
    missed
}

fn missed_log_lines(expect: &Expectation, pooler: &PoolerProcess) -> Vec<String> {
    let log = pooler.log();
    let is_missing = |text: &&String| !log.iter().any(|line| line.contains(*text));
    expect.log.iter().filter(is_missing).map(|text| format!("no '{text}' in the log")).collect()
}

/// Ends the pooler, which a registry that is away must not delay.
fn missed_shutdown(pooler: &mut PoolerProcess) -> Result<Vec<String>, TestbedError> {
    let began = Instant::now();
    pooler.terminate()?;
    let status = pooler.wait()?;
    let took = began.elapsed();
    if status.success() && took <= SHUTDOWN_LIMIT {
        return Ok(Vec::new());
    }
    Ok(vec![format!("it ended with {status} after {took:?}")])
}
