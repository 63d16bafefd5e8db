//! Bytes whose memory is reserved in the memory budget before they are allocated.

use crate::memory_budget::{MemoryUse, Reservation};
use std::io;
use std::ops::Deref;

/// The error of a read for which there is no memory.
#[must_use]
pub fn out_of_memory() -> io::Error {
    io::ErrorKind::OutOfMemory.into()
}

/// Bytes whose allocation is reserved in a budget.
#[derive(Debug, Default)]
pub struct ReservedBytes {
    // Declared before the reservation, so that the memory is free before it counts as free.
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl ReservedBytes {
    /// No bytes, for which memory will be reserved in the budget of `reservation`.
    #[must_use]
    pub fn new(reservation: Reservation) -> Self {
        Self { bytes: Vec::new(), reservation }
    }

    /// A copy of `bytes`, counted in the same budget even if the budget has no room.
    #[must_use]
    pub fn copy(&self, bytes: &[u8]) -> Self {
        let mut reservation = self.reservation.sibling();
        reservation.record(bytes.len());
        Self { bytes: bytes.to_vec(), reservation }
    }

    /// The number of counted bytes.
    #[must_use]
    pub fn counted_size(&self) -> usize {
        self.reservation.size()
    }

    /// The bytes, which can be written to.
    pub fn as_mut_slice(&mut self) -> &mut [u8] {
        &mut self.bytes
    }

    /// Extends the bytes with zeros to `size` bytes. Returns false if the budget has no room for them.
    pub fn try_extend_to(&mut self, memory_use: MemoryUse, size: usize) -> bool {
        let is_reserved = self.reservation.try_resize(memory_use, size);
        if is_reserved {
            self.extend_exactly_to(size);
        }
        is_reserved
    }

    /// Like [`try_extend_to`](Self::try_extend_to), but waits for memory to be reclaimed from stalled peers.
    pub async fn extend_to(&mut self, memory_use: MemoryUse, size: usize) -> bool {
        let is_reserved = self.reservation.resize(memory_use, size).await;
        if is_reserved {
            self.extend_exactly_to(size);
        }
        is_reserved
    }

    fn extend_exactly_to(&mut self, size: usize) {
        self.bytes.reserve_exact(size.saturating_sub(self.bytes.len()));
        self.bytes.resize(size, 0);
    }

    /// Drops the bytes after the first `size`, and releases their memory.
    pub fn shrink_to(&mut self, size: usize) {
        self.bytes.truncate(size);
        self.bytes.shrink_to_fit();
        self.reservation.record(self.bytes.len());
    }
}

impl Deref for ReservedBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
