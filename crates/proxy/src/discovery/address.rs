//! The address of discovery, which may change while the pooler runs.

use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::net::SocketAddr;

/// The address at which discovery is watched; `None` if it is not.
#[derive(Debug)]
pub struct DiscoveryAddress {
    current: Cell<Option<SocketAddr>>,
    changed: Event,
}

impl DiscoveryAddress {
    /// Starts with `address`.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { current: Cell::new(address), changed: Event::new() }
    }

    /// The current address.
    #[must_use]
    pub fn get(&self) -> Option<SocketAddr> {
        self.current.get()
    }

    /// Sets the address. If it differs from the current one, tasks that wait for a change are woken.
    pub fn set(&self, address: Option<SocketAddr>) {
        if self.current.replace(address) != address {
            self.changed.notify(usize::MAX);
        }
    }

    /// Completes at the next change after this call.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }
}
