//! A one-way latch: set once, and awaited by any number of tasks.

use event_listener::Event;
use std::cell::Cell;

/// A condition that starts out unset, and stays set once it was set.
#[derive(Debug, Default)]
pub struct Latch {
    set: Cell<bool>,
    changed: Event,
}

impl Latch {
    /// Whether it was set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.set.get()
    }

    /// Sets it and wakes all tasks that wait for it.
    pub fn set(&self) {
        self.set.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits until it is set; returns at once if it was.
    pub async fn wait(&self) {
        while !self.is_set() {
            let listener = self.changed.listen();
            // It may have been set before the listener was registered.
            if !self.is_set() {
                listener.await;
            }
        }
    }
}
