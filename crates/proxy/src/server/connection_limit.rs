//! The limit on the number of connections to servers.

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Counts the open connections, and notifies tasks that wait for one to be closed.
#[derive(Debug)]
pub(super) struct ConnectionLimit {
    open: Cell<usize>,
    max: usize,
    released: Event,
}

impl ConnectionLimit {
    /// A limit of `max` connections, none of which is open yet.
    pub(super) fn new(max: usize) -> Self {
        Self { open: Cell::new(0), max, released: Event::new() }
    }

    /// The number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether the number of open connections has reached the limit.
    pub(super) fn is_reached(&self) -> bool {
        self.open.get() >= self.max
    }

    /// Counts one more open connection until the returned permit is dropped. Does not check the limit.
    pub(super) fn acquire(self: &Rc<Self>) -> ConnectionPermit {
        self.open.set(self.open.get() + 1);
        ConnectionPermit(self.clone())
    }

    /// Waits until a connection is closed, at most for `timeout`.
    pub(super) async fn wait_for_release(&self, timeout: Duration) {
        let released = self.released.listen();
        let expired = async {
            Timer::after(timeout).await;
        };
        or(released, expired).await;
    }
}

/// The permit to have one connection open. Dropping it wakes one task that waits for a release.
#[derive(Debug)]
pub(super) struct ConnectionPermit(Rc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.released.notify(1);
    }
}
