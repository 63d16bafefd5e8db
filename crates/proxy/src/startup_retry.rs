//! Retries of the system calls that a start needs, while they fail for reasons that pass.

use crate::resource_exhaustion::is_resource_exhaustion;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a start retries: a pooler that was killed may hold its address a little longer.
const RETRY_WINDOW: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether a call may succeed a moment later.
fn is_transient(error: &io::Error) -> bool {
    match error.kind() {
        io::ErrorKind::AddrInUse | io::ErrorKind::Interrupted => true,
        // Out of ports, for a connection; for a listening socket, an address that this machine does not have.
        io::ErrorKind::AddrNotAvailable => false,
        _ => is_resource_exhaustion(error),
    }
}

/// Makes a call until it succeeds, fails for good, or the retry window is over. It blocks the thread meanwhile.
///
/// # Errors
///
/// The last call's.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_WINDOW => sleep(RETRY_DELAY),
            done => return done,
        }
    }
}
