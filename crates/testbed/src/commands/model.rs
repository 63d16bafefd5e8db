//! Checks the model within bounds from the command line.

use pooler_testbed::model::{Bounds, CheckResult, check};
use serde_json::json;

/// Threads that check.
pub const THREADS: usize = 4;

/// A violation and the transitions that lead there, in words.
pub fn describe_violation(result: &CheckResult) -> Option<String> {
    let (violation, transitions) = result.violation.as_ref()?;
    Some(format!("{violation}: {transitions:?}"))
}

/// Checks, and prints what was found as a JSON object; whether the rules hold.
pub fn run(bounds: Bounds) -> bool {
    let result = check(bounds, THREADS);
    let found = json!({"states_checked": result.states, "outlasted": result.write_survives,
        "wrong": describe_violation(&result)});
    println!("{found}");
    result.violation.is_none()
}
