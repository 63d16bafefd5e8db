//! A latch that is set once and can be awaited by any number of tasks.

use event_listener::Event;
use std::cell::Cell;

/// A flag that is initially unset and, once set, stays set.
#[derive(Debug, Default)]
pub struct Latch {
    set: Cell<bool>,
    changed: Event,
}

impl Latch {
    /// Whether the latch has been set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.set.get()
    }

    /// Sets the latch and wakes all tasks that wait for it.
    pub fn set(&self) {
        self.set.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the latch is set; returns immediately if it already is.
    pub async fn wait(&self) {
        while !self.is_set() {
            let listener = self.changed.listen();
            // The latch may have been set before the listener was registered.
            if !self.is_set() {
                listener.await;
            }
        }
    }
}
