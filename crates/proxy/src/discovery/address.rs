//! The address of discovery, which may change while the pooler runs.

use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::net::SocketAddr;

/// Where discovery is watched; `None` for nowhere.
#[derive(Debug)]
pub struct DiscoveryAddress {
    current: Cell<Option<SocketAddr>>,
    changed: Event,
}

impl DiscoveryAddress {
    /// One that is `address` until it is set anew.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { current: Cell::new(address), changed: Event::new() }
    }

    /// The current address.
    #[must_use]
    pub fn get(&self) -> Option<SocketAddr> {
        self.current.get()
    }

    /// Sets the address, and wakes the tasks that wait for a change if it differs.
    pub fn set(&self, address: Option<SocketAddr>) {
        if self.current.replace(address) != address {
            self.changed.notify(usize::MAX);
        }
    }

    /// Listens for the next change from now on.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }
}
