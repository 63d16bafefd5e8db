//! The `model` command: model-checks changes of primary within the bounds given on the command line.

use pooler_testbed::model::{Bounds, CheckResult, check};
use serde_json::json;

/// Number of threads of the model checker.
pub const THREADS: usize = 4;

/// Describes the violation that was found, if any, and the transitions that lead to it.
pub fn describe_violation(result: &CheckResult) -> Option<String> {
    let (violation, transitions) = result.violation.as_ref()?;
    Some(format!("{violation}: {transitions:?}"))
}

/// Checks the model and prints the result as a JSON object. Returns whether the rules hold in all states.
pub fn run(bounds: Bounds) -> bool {
    let result = check(bounds, THREADS);
    let summary = json!({"states_checked": result.states, "outlasted": result.retried_write_served,
        "wrong": describe_violation(&result)});
    println!("{summary}");
    result.violation.is_none()
}
