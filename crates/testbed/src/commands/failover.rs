//! The `primary` command: runs the changes of primary against a pooler, model-checks them, and prints a
//! summary.

use super::model::{THREADS, describe_violation};
use super::parallel::run_in_parallel;
use super::rounded;
use pooler_testbed::error::TestbedError;
use pooler_testbed::failover::{FailoverCase, FailoverOutcome, WritesWithoutPrimary, quantile, run_case};
use pooler_testbed::model::{Bounds, CheckResult, check};
use pooler_testbed::pooler_process::default_program;
use serde_json::{Value, json};
use std::time::Duration;

/// Bounds of the model check.
const BOUNDS: Bounds =
    Bounds { routers: 2, writes: 1, losses: 1, crashes: 1, drains: true, treats_reset_as_unsent: false };

/// The cases to run, and how to run them.
pub struct Options {
    /// Run only cases whose names contain this text; empty for all.
    pub only: String,
    /// Maximum number of cases that run in parallel.
    pub max_parallel: usize,
    /// Number of runs of each case.
    pub times: usize,
}

/// The check of the model, and of the model with a seeded fault that the check must find.
struct ModelResults {
    checked: CheckResult,
    seeded_fault: CheckResult,
}

impl ModelResults {
    fn check() -> Self {
        let checked = check(BOUNDS, THREADS);
        let seeded_fault = check(Bounds { routers: 1, treats_reset_as_unsent: true, ..BOUNDS }, THREADS);
        Self { checked, seeded_fault }
    }

    fn has_passed(&self) -> bool {
        self.checked.violation.is_none() && self.seeded_fault.violation.is_some()
    }
}

/// The totals over all cases.
#[derive(Default)]
struct Summary {
    cases: usize,
    /// Cases in which the primary did not reach its crash point.
    crash_not_reached: usize,
    writes: usize,
    /// Writes that ran more than once.
    executed_repeatedly: usize,
    served_without_row: usize,
    rejected_with_row: usize,
    unanswered: usize,
    answered_late: usize,
    failed: usize,
    /// Writes requested while there was no primary, in the crash cases.
    without_primary: WritesWithoutPrimary,
    handovers: Vec<Duration>,
    /// Writes in the planned changes that were not served.
    planned_errors: usize,
    /// Latency of writes during the planned changes in excess of the median before the change.
    planned_delays: Vec<Duration>,
}

impl Summary {
    fn add(&mut self, case: FailoverCase, outcome: &FailoverOutcome) {
        self.cases += 1;
        self.crash_not_reached += usize::from(!outcome.change_began);
        self.writes += outcome.writes;
        self.executed_repeatedly += outcome.executed_repeatedly;
        self.served_without_row += outcome.served_without_row;
        self.rejected_with_row += outcome.rejected_with_row;
        self.unanswered += outcome.unanswered;
        self.answered_late += outcome.answered_late;
        self.failed += outcome.failed;
        if case == FailoverCase::Planned {
            self.planned_errors += outcome.writes - outcome.served();
            let median = quantile(&outcome.latencies_before, 0.5);
            let during = outcome.latencies_during.iter();
            self.planned_delays.extend(during.map(|took| took.saturating_sub(median)));
        } else {
            self.without_primary.served += outcome.without_primary.served;
            self.without_primary.sent += outcome.without_primary.sent;
            self.handovers.extend(outcome.handover);
        }
    }

    fn has_passed(&self) -> bool {
        let violations = self.executed_repeatedly
            + self.served_without_row
            + self.rejected_with_row
            + self.unanswered
            + self.answered_late
            + self.crash_not_reached;
        violations == 0
    }

    fn to_json(&self, model: &ModelResults) -> Value {
        let WritesWithoutPrimary { served, sent } = self.without_primary;
        let served_share = served as f64 / f64::max(sent as f64, 1.0);
        json!({"cases": self.cases, "did_not_happen": self.crash_not_reached, "top_ups": self.writes,
            "rows_doubled": self.executed_repeatedly, "rows_lost": self.served_without_row,
            "unanswered": self.unanswered, "answered_late": self.answered_late,
            "served_without_row": self.served_without_row,
            "refused_with_row": self.rejected_with_row, "failed": self.failed,
            "planned_errors": self.planned_errors,
            "planned_added_p99_ms": quantile(&self.planned_delays, 0.99).as_millis() as u64,
            "handover_p99_ms": quantile(&self.handovers, 0.99).as_millis() as u64,
            "unplanned_served_share": rounded(served_share),
            "states_checked": model.checked.states,
            "model_violations": u8::from(model.checked.violation.is_some()),
            "seeded_fault_found": model.seeded_fault.violation.is_some()})
    }
}

fn print_outcome(case: FailoverCase, outcome: &FailoverOutcome, with_log: bool) {
    let outcomes = outcome.outcomes.iter().map(|(outcome, count)| format!("{outcome} {count}"));
    println!(
        "{:<24} writes {:>5}  run twice {}  served without row {}  rejected with row {}  unanswered {}  \
         late {}  without primary {}/{}  handover {:>5} ms  {}{}",
        case.to_string(),
        outcome.writes,
        outcome.executed_repeatedly,
        outcome.served_without_row,
        outcome.rejected_with_row,
        outcome.unanswered,
        outcome.answered_late,
        outcome.without_primary.served,
        outcome.without_primary.sent,
        outcome.handover.unwrap_or_default().as_millis(),
        outcomes.collect::<Vec<_>>().join(", "),
        if outcome.change_began { "" } else { "  CRASH POINT NOT REACHED" }
    );
    if let Some(log) = outcome.log.as_ref().filter(|_| with_log) {
        println!("    log: {}", log.join(" | "));
    }
}

/// Runs the cases, and prints a line for each and a JSON summary. Returns whether all checks passed.
pub fn run(options: &Options) -> Result<bool, TestbedError> {
    let mut cases = FailoverCase::all();
    cases.retain(|case| case.to_string().contains(&options.only));
    let cases = cases.repeat(options.times);
    let program = default_program();
    let outcomes = run_in_parallel(&cases, options.max_parallel, |case| run_case(*case, &program));
    let mut summary = Summary::default();
    for (case, outcome) in cases.iter().zip(outcomes) {
        let outcome = outcome?;
        print_outcome(*case, &outcome, !options.only.is_empty());
        summary.add(*case, &outcome);
    }
    let model = ModelResults::check();
    if let Some(violation) = describe_violation(&model.checked) {
        println!("model: {violation}");
    }
    println!("{}", summary.to_json(&model));
    Ok(model.has_passed() && summary.has_passed())
}
