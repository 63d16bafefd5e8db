//! The commands of the testbed's command line. Each prints its figures and returns whether all came out as it should.

pub mod failover;
pub mod model;
pub mod parallel;
pub mod registry_benchmark;
pub mod registry_scenarios;

/// A share with four digits.
fn rounded(share: f64) -> f64 {
    (share * 10_000.0).round() / 10_000.0
}
