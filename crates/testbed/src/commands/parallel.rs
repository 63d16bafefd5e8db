//! Runs that are played several at a time.

use pooler_testbed::lock;
use std::sync::Mutex;

/// The results of these runs in their order, so many played at a time.
pub fn run_in_parallel<T: Sync, R: Send>(
    runs: &[T],
    at_a_time: usize,
    play: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let queue = Mutex::new(runs.iter().enumerate());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..at_a_time.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((number, run)) = lock(&queue).next() else { return };
                    let result = play(run);
                    lock(&results).push((number, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, result)| result).collect()
}
