//! Plays scenarios of a registry, and sums them up.

use super::parallel::run_in_parallel;
use super::rounded;
use pooler_testbed::error::TestbedError;
use pooler_testbed::history::RuleReport;
use pooler_testbed::pooler_process::default_program;
use pooler_testbed::scenario::Scenario;
use pooler_testbed::scenario_runner::{ScenarioOutcome, play};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The scenario in which the registry works, and the one in which it is away for [`AWAY_S`] seconds of scenario time.
const REGISTRY_WORKS: &str = "well";
const REGISTRY_AWAY: &str = "away";
const AWAY_S: u32 = 600;

/// Which scenarios to play, and how.
pub struct Options {
    /// A file of scenarios; the built-in ones without it.
    pub file: Option<PathBuf>,
    /// Only scenarios whose names hold this.
    pub only: String,
    /// For the clients' choices.
    pub seed: u64,
    /// Scenarios that are played at the same time.
    pub at_a_time: usize,
}

/// All scenarios together.
#[derive(Default)]
struct Summary {
    scenarios: usize,
    unplayed: usize,
    missed: usize,
    report: RuleReport,
    /// By scenario.
    served_shares: BTreeMap<String, f64>,
}

impl Summary {
    fn add(&mut self, scenario: &Scenario, outcome: Result<ScenarioOutcome, TestbedError>) {
        let name = &scenario.name;
        self.scenarios += 1;
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                self.unplayed += 1;
                println!("{name:<22} could not be played: {error}");
                return;
            }
        };
        print_outcome(name, &outcome);
        self.missed += usize::from(!outcome.missed.is_empty());
        self.served_shares.insert(name.clone(), outcome.served_share);
        self.report.add(&outcome.report);
    }

    fn is_good(&self) -> bool {
        let report = &self.report;
        let violations = report.drain_violations
            + report.stale_reads
            + report.doubled_writes
            + report.sends_outside_networks;
        self.unplayed == 0 && self.missed == 0 && violations == 0
    }

    fn to_json(&self, seed: u64) -> Value {
        let report = &self.report;
        let share = |name: &str| self.served_shares.get(name).map(|share| rounded(*share));
        json!({"scripts": self.scenarios, "missed": self.missed, "seed": seed, "requests": report.requests,
            "answered": report.answered, "drains": report.drains, "drains_broken": report.drain_violations,
            "stale_reads": report.stale_reads, "writes_doubled": report.doubled_writes,
            "served_without_row": report.served_without_row,
            "sends_outside_networks": report.sends_outside_networks,
            "worst_drain_ms": report.worst_drain_ms.round(), "registry_away_s": AWAY_S,
            "served_while_away": share(REGISTRY_AWAY), "served_beside_well_registry": share(REGISTRY_WORKS)})
    }
}

fn print_outcome(name: &str, outcome: &ScenarioOutcome) {
    let ScenarioOutcome { report, missed, served_share } = outcome;
    println!(
        "{name:<22} requests {:>5}  served {served_share:.4}  drains {}  worst {:>6.1} ms  \
         violated drains {}  stale {}  doubled {}  outside {}{}",
        report.requests,
        report.drains,
        report.worst_drain_ms,
        report.drain_violations,
        report.stale_reads,
        report.doubled_writes,
        report.sends_outside_networks,
        if missed.is_empty() { "" } else { "  MISSED" }
    );
    for line in missed {
        println!("    {line}");
    }
}

/// Plays the scenarios, and prints a line for each and a JSON object for all; whether all came out as they should.
pub fn run(options: &Options) -> Result<bool, TestbedError> {
    let mut scenarios = match &options.file {
        Some(path) => Scenario::load(path)?,
        None => Scenario::eureka()?,
    };
    scenarios.retain(|scenario| scenario.name.contains(&options.only));
    let program = default_program();
    let outcomes =
        run_in_parallel(&scenarios, options.at_a_time, |scenario| play(scenario, &program, options.seed));
    let mut summary = Summary::default();
    for (scenario, outcome) in scenarios.iter().zip(outcomes) {
        summary.add(scenario, outcome);
    }
    println!("{}", summary.to_json(options.seed));
    Ok(summary.is_good())
}
