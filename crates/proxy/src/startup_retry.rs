//! Retries system calls that fail for transient reasons while the pooler starts.

use crate::resource_exhaustion::is_resource_exhaustion;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a call is retried. The address of a pooler that was killed may remain in use for a short time.
const RETRY_WINDOW: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether a call that failed with this error may succeed if it is repeated shortly afterwards.
fn is_transient(error: &io::Error) -> bool {
    match error.kind() {
        io::ErrorKind::AddrInUse | io::ErrorKind::Interrupted => true,
        // On connect, this error may mean that ports have run out; on bind, that the address belongs to
        // another machine.
        io::ErrorKind::AddrNotAvailable => false,
        _ => is_resource_exhaustion(error),
    }
}

/// Repeats a call until it succeeds, fails for a reason that is not transient, or the retry window ends.
/// Blocks the calling thread.
///
/// # Errors
///
/// Returns the error of the last call.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_WINDOW => sleep(RETRY_DELAY),
            result => return result,
        }
    }
}
