//! Watches discovery, and applies each endpoint list as soon as it has been received.

use super::address::DiscoveryAddress;
use super::backoff::{Backoff, WatchEnd};
use super::endpoint_directory::{EndpointUpdates, PLATFORM};
use super::endpoint_list::EndpointList;
use super::http::{self, HttpError};
use super::json_stream::{JsonStream, JsonStreamError};
use crate::buffer::{ReadBuffer, TcpConnection, write_all};
use crate::memory_budget::{MemoryBudget, MemoryUse, Reservation, out_of_memory};
use crate::metrics::Counters;
use crate::resource_exhaustion::is_resource_exhaustion;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The time limit of each connect, write and read. Discovery sends a keep-alive every 2 s, so a watch that
/// misses one is closed and reopened. A change takes effect 6 s after it would have been reported, whether or
/// not it arrived; this limit leaves time for one more call that gets no response.
const IO_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The memory that decoding a list takes, as a multiple of the size of its text.
const DECODED_LIST_FACTOR: usize = 3;

/// The error that ended a watch.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("invalid endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Stream(#[from] JsonStreamError),
}

impl WatchError {
    fn watch_end(&self) -> WatchEnd {
        match self {
            Self::Http(HttpError::Status(_)) => WatchEnd::Rejected,
            Self::Io(error) if is_resource_exhaustion(error) => WatchEnd::NotSent,
            _ => WatchEnd::Lost,
        }
    }

    /// Whether the error is logged: invalid responses and a lack of memory are, lost connections are not.
    fn is_logged(&self) -> bool {
        !matches!(self, Self::Io(error) if error.kind() != io::ErrorKind::OutOfMemory)
    }
}

/// Watches the platform's endpoint list.
pub struct Watcher {
    address: Rc<DiscoveryAddress>,
    updates: EndpointUpdates,
    counters: Rc<Counters>,
    backoff: Backoff,
    /// The generation of the last list that was applied. A new watch requests the changes since this
    /// generation.
    generation: Cell<u64>,
    /// The number of the last message, which is the version of the claims in it.
    last_message_number: Cell<i64>,
    memory: Rc<MemoryBudget>,
}

impl Watcher {
    /// A watcher that has applied no list yet. What it reads is counted in `memory`.
    #[must_use]
    pub fn new(
        address: Rc<DiscoveryAddress>,
        updates: EndpointUpdates,
        counters: Rc<Counters>,
        backoff: Backoff,
        memory: Rc<MemoryBudget>,
    ) -> Self {
        let (generation, last_message_number) = (Cell::new(0), Cell::new(0));
        Self { address, updates, counters, backoff, generation, last_message_number, memory }
    }

    /// Applies an endpoint list to the directory and the router.
    pub fn apply(&self, list: &EndpointList) {
        self.generation.set(list.generation);
        let message_number = self.last_message_number.get() + 1;
        self.last_message_number.set(message_number);
        self.updates.apply(PLATFORM, list.watch_event(message_number));
    }

    /// Watches discovery, starting after the last list that was applied; never returns.
    pub async fn run(mut self) {
        let mut logged = false;
        loop {
            let changed = self.address.changed();
            let Some(address) = self.address.get() else {
                changed.await;
                continue;
            };
            self.counters.watches_opened.increment();
            // A new address ends the watch at once, since the old address may no longer respond.
            let address_changed = async {
                changed.await;
                Ok(())
            };
            let result = or(self.watch(address), address_changed).await;
            let end = match &result {
                Ok(()) => WatchEnd::Lost,
                Err(error) => error.watch_end(),
            };
            if let Err(error) = result
                && error.is_logged()
                && !logged
            {
                tracing::warn!("discovery watch failed: {error}");
                logged = true;
            }
            self.back_off(address, end).await;
        }
    }

    /// Waits for the backoff delay before the next watch. Returns early if the address of discovery is no
    /// longer `address`, or changes during the delay.
    async fn back_off(&mut self, address: SocketAddr, end: WatchEnd) {
        if self.address.get() != Some(address) {
            return;
        }
        let delay = self.backoff.next_delay(end);
        let changed = self.address.changed();
        let expired = async {
            Timer::after(delay).await;
        };
        or(changed, expired).await;
    }

    /// Applies the complete lists in `stream`.
    async fn apply_lists(&self, stream: &mut JsonStream) -> Result<(), WatchError> {
        let mut decoding = Reservation::new(self.memory.clone());
        while let Some(object) = stream.next_object()? {
            reserve(&mut decoding, object.len() * DECODED_LIST_FACTOR).await?;
            self.apply(&serde_json::from_slice(&object)?);
            // One chunk may hold thousands of lists.
            yield_now().await;
        }
        Ok(())
    }

    /// Runs one watch until its connection is closed, fails or times out.
    async fn watch(&self, address: SocketAddr) -> Result<(), WatchError> {
        let reservation = Reservation::new(self.memory.clone());
        let mut connection = WatchConnection::open(address, self.generation.get(), reservation).await?;
        let Some(head) = connection.read_head().await? else { return Ok(()) };
        let mut stream = JsonStream::default();
        let mut buffered = Reservation::new(self.memory.clone());
        loop {
            match connection.move_body_part(head.chunked, &mut stream)? {
                BodyPart::Appended => {
                    reserve(&mut buffered, stream.buffered()).await?;
                    self.apply_lists(&mut stream).await?;
                    buffered.record(stream.buffered());
                    // The buffer may hold thousands of chunks.
                    yield_now().await;
                }
                BodyPart::Incomplete if connection.fill().await? > 0 => {}
                BodyPart::Incomplete | BodyPart::End => return Ok(()),
            }
        }
    }
}

/// Changes the reservation to the size of an allocation.
async fn reserve(reservation: &mut Reservation, allocation: usize) -> io::Result<()> {
    let is_reserved = reservation.resize(MemoryUse::EndpointList, allocation).await;
    if is_reserved { Ok(()) } else { Err(out_of_memory()) }
}

/// The result of an attempt to read the next part of a response's body.
enum BodyPart {
    /// A part was appended to the stream.
    Appended,
    /// More bytes have to be read first.
    Incomplete,
    /// The body has ended.
    End,
}

/// The HTTP connection of one watch.
struct WatchConnection {
    stream: TcpConnection,
    buffer: ReadBuffer,
}

impl WatchConnection {
    /// Connects to discovery and requests the changes since `generation`.
    async fn open(address: SocketAddr, generation: u64, reservation: Reservation) -> io::Result<Self> {
        let stream = TcpConnection::new(with_io_timeout(Async::<TcpStream>::connect(address)).await?);
        let request = format!(
            "GET /discovery/hosts?follow=1&since={generation} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        with_io_timeout(write_all(&stream, &[request.as_bytes()])).await?;
        Ok(Self { stream, buffer: ReadBuffer::new(reservation, MemoryUse::EndpointList) })
    }

    /// Reads the head of the response. Returns `None` if the connection is closed before the head is
    /// complete.
    async fn read_head(&mut self) -> Result<Option<http::Head>, WatchError> {
        loop {
            if let Some(head) = http::parse_head(self.buffer.data())? {
                self.buffer.consume(head.size);
                return Ok(Some(head));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Moves the next part of the body from the read buffer to `stream`.
    fn move_body_part(&mut self, chunked: bool, stream: &mut JsonStream) -> Result<BodyPart, HttpError> {
        let data = self.buffer.data();
        let (part, size) = match chunked {
            true => match http::parse_chunk(data)? {
                Some(([], _)) => return Ok(BodyPart::End),
                Some(chunk) => chunk,
                None => return Ok(BodyPart::Incomplete),
            },
            false if data.is_empty() => return Ok(BodyPart::Incomplete),
            false => (data, data.len()),
        };
        stream.push(part);
        self.buffer.consume(size);
        Ok(BodyPart::Appended)
    }

    /// Reads once and returns the number of bytes read, which is 0 at the end of the stream.
    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.shrink_if_empty();
        with_io_timeout(self.buffer.fill(&self.stream)).await
    }
}

/// Returns the result of `work`, or an error if it takes longer than the I/O timeout.
async fn with_io_timeout<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let expired = async {
        Timer::after(IO_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(work, expired).await
}
