//! Tests of the pooler as a process beside hundreds of peers that overload it. They need most of the machine's
//! time, so that they run apart from the other tests, one after another.

#[path = "../support/mod.rs"]
mod support;

mod endpoint_lists;
mod established_clients;
mod everything_at_once;
mod memory;
mod memory_monitor;
mod new_connections;
mod one_client;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Waits until no other test of this program runs, and keeps the others waiting until the guard is dropped.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends the other clients of a test when it is dropped, also by a failed assertion.
struct EndOnDrop<'a>(&'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
