//! The `eureka-bench` command: measures the pooler with registries of different sizes.

use pooler_testbed::error::TestbedError;
use pooler_testbed::pooler_process::default_program;
use pooler_testbed::registry_benchmark::measure;

/// Measures with each number of instances in `sizes`, and prints one JSON object per line.
pub fn run(sizes: &[usize]) -> Result<(), TestbedError> {
    for instances in sizes {
        println!("{}", measure(&default_program(), *instances)?);
    }
    Ok(())
}
