//! Retries of system calls during the start, while they fail for transient reasons.

use crate::resource_exhaustion::is_resource_exhaustion;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a call is retried: the address of a pooler that was killed may be in use a little longer.
const RETRY_WINDOW: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether the call may succeed shortly afterwards.
fn is_transient(error: &io::Error) -> bool {
    match error.kind() {
        io::ErrorKind::AddrInUse | io::ErrorKind::Interrupted => true,
        // A connection may be out of ports; a listening socket has an address that is not this machine's.
        io::ErrorKind::AddrNotAvailable => false,
        _ => is_resource_exhaustion(error),
    }
}

/// Repeats a call until it succeeds, fails for a reason that is not transient, or the retry window is over. Blocks the
/// thread.
///
/// # Errors
///
/// The error of the last call.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_WINDOW => sleep(RETRY_DELAY),
            done => return done,
        }
    }
}
