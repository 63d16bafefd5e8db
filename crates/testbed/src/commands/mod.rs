//! The commands of the testbed's command line. Each prints its results; those that check rules return whether
//! all checks passed.

pub mod failover;
pub mod model;
pub mod parallel;
pub mod registry_benchmark;
pub mod registry_scenarios;

/// The share rounded to four decimal places.
fn rounded(share: f64) -> f64 {
    (share * 10_000.0).round() / 10_000.0
}
