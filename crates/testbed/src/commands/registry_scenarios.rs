//! The `eureka` command: runs the registry scenarios, and prints a summary.

use super::parallel::run_in_parallel;
use super::rounded;
use pooler_testbed::error::TestbedError;
use pooler_testbed::history::RuleReport;
use pooler_testbed::pooler_process::default_program;
use pooler_testbed::scenario::Scenario;
use pooler_testbed::scenario_runner::{ScenarioOutcome, run_scenario};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The scenario in which the registry is available throughout.
const BASELINE_SCENARIO: &str = "well";
/// The scenario in which the registry is unavailable for [`OUTAGE_S`] seconds of scenario time.
const OUTAGE_SCENARIO: &str = "away";
const OUTAGE_S: u32 = 600;

/// The scenarios to run, and how to run them.
pub struct Options {
    /// The scenario file; `None` for the built-in scenarios.
    pub file: Option<PathBuf>,
    /// Run only scenarios whose names contain this text; empty for all.
    pub only: String,
    /// Seed of the clients' random choices.
    pub seed: u64,
    /// Maximum number of scenarios that run in parallel.
    pub max_parallel: usize,
}

/// The totals over all scenarios.
#[derive(Default)]
struct Summary {
    scenarios: usize,
    not_run: usize,
    /// Scenarios with missed expectations.
    missed: usize,
    report: RuleReport,
    /// The share of requests served, by name of the scenario.
    served_shares: BTreeMap<String, f64>,
}

impl Summary {
    fn add(&mut self, scenario: &Scenario, outcome: Result<ScenarioOutcome, TestbedError>) {
        let name = &scenario.name;
        self.scenarios += 1;
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                self.not_run += 1;
                println!("{name:<22} could not be run: {error}");
                return;
            }
        };
        print_outcome(name, &outcome);
        self.missed += usize::from(!outcome.missed.is_empty());
        self.served_shares.insert(name.clone(), outcome.served_share);
        self.report.add(&outcome.report);
    }

    fn has_passed(&self) -> bool {
        let report = &self.report;
        let violations = report.drain_violations
            + report.stale_reads
            + report.duplicate_writes
            + report.sends_outside_networks;
        self.not_run == 0 && self.missed == 0 && violations == 0
    }

    fn to_json(&self, seed: u64) -> Value {
        let report = &self.report;
        let share = |name: &str| self.served_shares.get(name).map(|share| rounded(*share));
        json!({"scripts": self.scenarios, "missed": self.missed, "seed": seed, "requests": report.requests,
            "answered": report.answered, "drains": report.drains, "drains_broken": report.drain_violations,
            "stale_reads": report.stale_reads, "writes_doubled": report.duplicate_writes,
            "served_without_row": report.served_without_row,
            "sends_outside_networks": report.sends_outside_networks,
            "worst_drain_ms": report.max_send_after_drain_ms.round(), "registry_away_s": OUTAGE_S,
            "served_while_away": share(OUTAGE_SCENARIO),
            "served_beside_well_registry": share(BASELINE_SCENARIO)})
    }
}

fn print_outcome(name: &str, outcome: &ScenarioOutcome) {
    let ScenarioOutcome { report, missed, served_share } = outcome;
    println!(
        "{name:<22} requests {:>5}  served {served_share:.4}  drains {}  worst drain {:>6.1} ms  \
         violated drains {}  stale reads {}  writes run twice {}  sends outside networks {}{}",
        report.requests,
        report.drains,
        report.max_send_after_drain_ms,
        report.drain_violations,
        report.stale_reads,
        report.duplicate_writes,
        report.sends_outside_networks,
        if missed.is_empty() { "" } else { "  EXPECTATIONS MISSED" }
    );
    for line in missed {
        println!("    {line}");
    }
}

/// Runs the scenarios, and prints a line for each and a JSON summary. Returns whether all checks passed.
pub fn run(options: &Options) -> Result<bool, TestbedError> {
    let mut scenarios = match &options.file {
        Some(path) => Scenario::load(path)?,
        None => Scenario::eureka()?,
    };
    scenarios.retain(|scenario| scenario.name.contains(&options.only));
    let program = default_program();
    let outcomes = run_in_parallel(&scenarios, options.max_parallel, |scenario| {
        run_scenario(scenario, &program, options.seed)
    });
    let mut summary = Summary::default();
    for (scenario, outcome) in scenarios.iter().zip(outcomes) {
        summary.add(scenario, outcome);
    }
    println!("{}", summary.to_json(options.seed));
    Ok(summary.has_passed())
}
