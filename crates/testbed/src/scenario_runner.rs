//! Runs a scenario with a fleet, a pooler that discovers the fleet only through the registry, and clients.
//! The history records the traffic.

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
/// Pause of a client between a response and its next request.
const CLIENT_PAUSE: Duration = Duration::from_millis(4);
/// Time at the start of a scenario whose requests are left out of the served share.
const WARM_UP: Duration = Duration::from_millis(300);
/// Time at the end of a scenario in which servers are expected to be idle or busy.
const FINAL_WINDOW: Duration = Duration::from_millis(700);
/// Time limit for the pooler to exit after it is told to terminate, whatever the state of the registry.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3_700);
/// Number of log lines shown if an expectation was missed.
const LOG_LINES_SHOWN: usize = 12;

/// The outcome of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioOutcome {
    /// The report on the rules, computed from the history.
    pub report: RuleReport,
    /// Descriptions of the missed expectations, followed by the end of the pooler's log if there are any.
    pub missed: Vec<String>,
    /// The share of requests that were served, not counting those of the warm-up at the start.
    pub served_share: f64,
}

/// Numbers of statements that the watched servers have received up to a point in time.
struct SendCounts(Vec<usize>);

impl SendCounts {
    fn now(history: &SharedHistory, servers: &[&String]) -> Self {
        Self(servers.iter().map(|id| lock(history).sends(id)).collect())
    }
}

/// Runs a scenario with the pooler executable `program`. `seed` sets the clients' random choices.
///
/// # Errors
///
/// Returns an error if the scenario cannot be run. Missed expectations and violated rules are not errors, but
/// part of the outcome.
pub fn run_scenario(scenario: &Scenario, program: &Path, seed: u64) -> Result<ScenarioOutcome, TestbedError> {
    let mut fleet = Fleet::start(scenario.servers, scenario.peers)?;
    if scenario.operator.contains("lifts: \"override\"") {
        fleet.count_cleared_overrides();
    }
    fleet.peers.iter().for_each(|peer| peer.set_xml(scenario.xml));
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
    sleep_until(end.saturating_sub(FINAL_WINDOW));
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
    vec![format!("served share {served_share:.4} is below {}; outcomes: {outcomes:?}", expect.served)]
}

/// Describes the servers that received statements in the final window though expected to be idle, or none
/// though expected to be busy.
fn missed_sends(
    expect: &Expectation,
    watched: &[&String],
    before: &SendCounts,
    after: &SendCounts,
) -> Vec<String> {
    let mut missed = Vec::new();
    for (index, id) in watched.iter().enumerate() {
        let received = after.0[index] - before.0[index];
        let should_be_idle = index < expect.idle.len();
        if should_be_idle != (received == 0) {
            missed.push(format!("{id} received {received} statements in the final window"));
        }
    }
    missed
}

fn missed_log_lines(expect: &Expectation, pooler: &PoolerProcess) -> Vec<String> {
    let log = pooler.log();
    let is_missing = |text: &&String| !log.iter().any(|line| line.contains(*text));
    expect
        .log
        .iter()
        .filter(is_missing)
        .map(|text| format!("the pooler's log does not contain '{text}'"))
        .collect()
}

/// Terminates the pooler. An unavailable registry must not delay its exit.
fn missed_shutdown(pooler: &mut PoolerProcess) -> Result<Vec<String>, TestbedError> {
    let started = Instant::now();
    pooler.terminate()?;
    let status = pooler.wait()?;
    let elapsed = started.elapsed();
    if status.success() && elapsed <= SHUTDOWN_LIMIT {
        return Ok(Vec::new());
    }
    Ok(vec![format!("the pooler exited with {status} after {elapsed:?}")])
}
