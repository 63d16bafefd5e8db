//! A testbed for the pooler, all of it on loopback: a fake Eureka registry that can be made to lag, err and vanish, fake
//! PostgreSQL servers, clients that check what they are answered, and a model checker for the routing decisions.
//!
//! What a run reports is counted here, from what passed on the sockets, and never by the pooler.

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

/// How long anything may take that is waited for; it only keeps a broken run from hanging.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// How often something that is waited for is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The lock, even after a holder has panicked: what was counted until then still counts.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until something holds.
///
/// # Errors
///
/// When it does not hold in time.
pub fn wait_until(what: &'static str, mut holds: impl FnMut() -> bool) -> Result<(), error::TestbedError> {
    let give_up_at = Instant::now() + PATIENCE;
    while Instant::now() < give_up_at {
        if holds() {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(error::TestbedError::TimedOut(what))
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
}
