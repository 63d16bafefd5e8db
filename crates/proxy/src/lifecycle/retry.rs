//! What a start needs from the system, asked for again while it is not to be had for a moment.

use crate::server::pool::shortage;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a start asks again: a pooler that was killed may hold its address a little longer.
const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// Whether a call may succeed a moment later.
fn momentary(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::Interrupted)
        || (shortage(error) && error.kind() != io::ErrorKind::AddrNotAvailable)
}

/// Makes an attempt until it succeeds, fails for good, or has failed for too long.
///
/// # Errors
///
/// The last attempt's.
pub fn retried<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match attempt() {
            Err(error) if momentary(&error) && started.elapsed() < PATIENCE => sleep(PAUSE),
            done => return done,
        }
    }
}
