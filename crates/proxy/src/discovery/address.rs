//! The address of the discovery service, which a configuration reload may change.

use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::net::SocketAddr;

/// The address at which discovery is watched, or `None` if discovery is not watched.
#[derive(Debug)]
pub struct DiscoveryAddress {
    current: Cell<Option<SocketAddr>>,
    changed: Event,
}

impl DiscoveryAddress {
    /// Creates the holder with its first address.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { current: Cell::new(address), changed: Event::new() }
    }

    /// The address that was set last.
    #[must_use]
    pub fn get(&self) -> Option<SocketAddr> {
        self.current.get()
    }

    /// Sets the address. If it differs from the current one, all tasks that wait for a change are woken.
    pub fn set(&self, address: Option<SocketAddr>) {
        if self.current.replace(address) != address {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns a listener that completes at the first change after this call.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }
}
