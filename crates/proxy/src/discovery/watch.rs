//! Watches discovery, and applies each endpoint list as soon as it has been received.

use super::address::DiscoveryAddress;
use super::backoff::{Backoff, WatchEnd};
use super::endpoint_directory::{EndpointUpdates, PLATFORM};
use super::endpoint_list::{EndpointList, decoding_size};
use super::http::ChunkedPart;
use super::json_stream::JsonStream;
use super::repeated_call::first_success;
use super::watch_connection::{IO_TIMEOUT, WatchConnection, WatchError};
use crate::memory_budget::{MemoryBudget, MemoryUse, Reservation};
use crate::metrics::Counters;
use crate::reserved_bytes::out_of_memory;
use async_io::Timer;
use futures_lite::future::{or, yield_now};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Watches the platform's endpoint list.
pub struct Watcher {
    address: Rc<DiscoveryAddress>,
    updates: EndpointUpdates,
    counters: Rc<Counters>,
    backoff: RefCell<Backoff>,
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
        let backoff = RefCell::new(backoff);
        Self { address, updates, counters, backoff, generation, last_message_number, memory }
    }

    /// Applies an endpoint list to the directory and the router.
    pub fn apply(&self, list: EndpointList) {
        self.generation.set(list.generation);
        let message_number = self.last_message_number.get() + 1;
        self.last_message_number.set(message_number);
        self.updates.apply(PLATFORM, list.watch_event(message_number));
    }

    /// Watches discovery, starting after the last list that was applied; never returns.
    pub async fn run(self) {
        let mut logged = false;
        loop {
            let changed = self.address.changed();
            let Some(address) = self.address.get() else {
                changed.await;
                continue;
            };
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
    async fn back_off(&self, address: SocketAddr, end: WatchEnd) {
        if self.address.get() != Some(address) {
            return;
        }
        let delay = self.backoff.borrow_mut().next_delay(end);
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
            reserve(&mut decoding, decoding_size(object)).await?;
            self.apply(serde_json::from_slice(object)?);
            decoding.record(0);
            // One chunk may hold thousands of lists.
            yield_now().await;
        }
        Ok(())
    }

    /// Opens a watch. Discovery may be slow to answer, or may not answer a call at all, so that the call is
    /// repeated at the times at which it would be if it had been given up.
    async fn open(&self, address: SocketAddr) -> Result<WatchConnection, WatchError> {
        let call = || {
            self.counters.watches_opened.increment();
            let reservation = Reservation::new(self.memory.clone());
            WatchConnection::open(address, self.generation.get(), reservation)
        };
        let next_delay = || IO_TIMEOUT + self.backoff.borrow_mut().next_delay(WatchEnd::Lost);
        first_success(call, next_delay).await
    }

    /// Runs one watch until its connection is closed, fails or times out.
    async fn watch(&self, address: SocketAddr) -> Result<(), WatchError> {
        let mut connection = self.open(address).await?;
        let mut stream = JsonStream::default();
        let mut buffered = Reservation::new(self.memory.clone());
        loop {
            match connection.next_body_part()? {
                ChunkedPart::Content(content) => {
                    reserve(&mut buffered, stream.allocation_for(content.len())).await?;
                    stream.push(&connection.data()[content.clone()]);
                    connection.consume(content.end);
                    self.apply_lists(&mut stream).await?;
                    buffered.record(stream.allocated());
                    // The buffer may hold thousands of chunks.
                    yield_now().await;
                    continue;
                }
                ChunkedPart::Incomplete => {}
                ChunkedPart::End => return Ok(()),
            }
            if connection.fill(stream.allocated() > 0).await? == 0 {
                return Ok(());
            }
        }
    }
}

/// Changes the reservation to the size of an allocation.
async fn reserve(reservation: &mut Reservation, allocation: usize) -> io::Result<()> {
    let is_reserved = reservation.resize(MemoryUse::EndpointList, allocation).await;
    if is_reserved { Ok(()) } else { Err(out_of_memory()) }
}
