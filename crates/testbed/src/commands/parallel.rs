//! Runs scenarios and cases in parallel.

use pooler_testbed::lock;
use std::sync::Mutex;

/// Calls `execute` for each run, for at most `max_parallel` runs at a time, and returns the results in the
/// order of `runs`.
pub fn run_in_parallel<T: Sync, R: Send>(
    runs: &[T],
    max_parallel: usize,
    execute: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let queue = Mutex::new(runs.iter().enumerate());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..max_parallel.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((index, run)) = lock(&queue).next() else { return };
                    let result = execute(run);
                    lock(&results).push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
