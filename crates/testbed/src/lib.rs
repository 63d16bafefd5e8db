//! A testbed for the pooler on loopback: a fake Eureka registry that can be made to lag, return errors and
//! become unavailable, fake PostgreSQL servers, clients that check their responses, and a model checker for
//! the routing decisions.
//!
//! The testbed counts the figures that it reports itself, from the traffic on its sockets. It takes none from
//! the pooler.

pub mod clients;
pub mod demo;
pub mod error;
pub mod failover;
pub mod fake_registry;
pub mod fake_server;
pub mod fleet;
pub mod history;
pub mod model;
pub mod operator_config;
pub mod pooler_process;
pub mod registry_benchmark;
pub mod replicated_group;
pub mod scenario;
pub mod scenario_runner;
mod server_messages;
mod statement;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Timeout of waits for conditions and for the pooler process; it only keeps a broken run from hanging.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Locks the mutex, also if it is poisoned: the counts recorded before a thread panicked remain valid.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls a condition until it is met. `condition` describes it in the error.
///
/// # Errors
///
/// Returns [`error::TestbedError::TimedOut`] if the condition is not met within [`WAIT_TIMEOUT`].
pub fn wait_until(
    condition: &'static str,
    mut is_met: impl FnMut() -> bool,
) -> Result<(), error::TestbedError> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if is_met() {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(error::TestbedError::TimedOut(condition))
}

/// The current Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
}
