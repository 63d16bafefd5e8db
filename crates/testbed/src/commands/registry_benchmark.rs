//! Measures registries of different sizes.

use pooler_testbed::error::TestbedError;
use pooler_testbed::pooler_process::default_program;
use pooler_testbed::registry_benchmark::measure;

/// Measures with each number of instances, and prints a JSON object a line.
pub fn run(sizes: &[usize]) -> Result<(), TestbedError> {
    for size in sizes {
        println!("{}", measure(&default_program(), *size)?);
    }
    Ok(())
}
