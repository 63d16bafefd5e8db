//! Reads bytes that are not kept: what a client sends after its session is over, or beyond the commands that are
//! buffered for it.
//!
//! All clients whose session is over share the rate of these reads, however many they are and however fast they
//! send, so that they take little of the time of the clients that are served. A client that sends faster is
//! slowed down by TCP's flow control.

use crate::buffer::{TcpConnection, discard};
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The size of the buffer for bytes that are discarded, in bytes.
const BUFFER_SIZE: usize = 64 * 1024;
/// The interval between two reads from clients whose session is over.
const READ_INTERVAL: Duration = Duration::from_millis(1);

/// Reads for all clients whose bytes are discarded.
#[derive(Debug)]
pub(crate) struct Discarder {
    buffer: RefCell<Vec<u8>>,
    /// The number of clients whose session is over.
    clients: Cell<u32>,
}

impl Discarder {
    /// Creates a discarder without clients.
    pub(crate) fn new() -> Self {
        Self { buffer: RefCell::new(vec![0; BUFFER_SIZE]), clients: Cell::new(0) }
    }

    /// Reads once and passes the bytes to `inspect`; false at the end of the stream or when reading fails.
    pub(crate) async fn read(&self, stream: &TcpConnection, inspect: impl FnOnce(&[u8])) -> bool {
        let Ok(count @ 1..) = discard(stream, &self.buffer).await else { return false };
        inspect(&self.buffer.borrow()[..count]);
        true
    }

    /// Discards what a client sends after its session, until it closes its side of the connection or reading
    /// fails.
    pub(crate) async fn read_until_closed(&self, stream: &TcpConnection) {
        let _client = ClientCount::new(&self.clients);
        while self.read(stream, |_| {}).await {
            Timer::after(READ_INTERVAL * self.clients.get()).await;
        }
    }
}

/// Counts a client until it is dropped.
struct ClientCount<'a>(&'a Cell<u32>);

impl<'a> ClientCount<'a> {
    fn new(clients: &'a Cell<u32>) -> Self {
        clients.set(clients.get() + 1);
        Self(clients)
    }
}

impl Drop for ClientCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
