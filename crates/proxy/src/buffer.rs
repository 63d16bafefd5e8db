//! Read buffers that release large allocations while idle, and vectored writes. All I/O of the proxy on
//! connections goes through this module.

use crate::memory_budget::{MAX_UNCOUNTED_SIZE, MemoryUse, Reservation};
use crate::reserved_bytes::{ReservedBytes, out_of_memory};
use async_io::Async;
use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncWriteExt};
use pooler_cooperative_io::CooperativeStream;
use pooler_interrupted_io::RetryInterrupted;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::ops::Range;
use std::pin::Pin;
use std::time::Instant;

/// The initial capacity of a buffer, in bytes.
const INITIAL_CAPACITY: usize = 2 * 1024;
/// The largest capacity that an idle buffer keeps, in bytes.
const MAX_IDLE_CAPACITY: usize = MAX_UNCOUNTED_SIZE;
/// The capacity up to which a buffer doubles. A larger one grows by this, and by at least a quarter.
const MAX_DOUBLED_CAPACITY: usize = 32 * 1024;
/// The number of reads whose arrival times are kept; bytes of later reads get the time of the last of these.
const MAX_ARRIVALS: usize = 256;

/// A TCP connection on which a task that never has to wait yields to the others.
pub type TcpConnection = CooperativeStream<Async<TcpStream>>;

/// The earliest time at which the bytes of the stream up to a position may have arrived.
#[derive(Debug)]
struct Arrival {
    /// The position in the stream after the last byte of the read.
    end: usize,
    time: Instant,
}

/// A buffer of bytes that were read from a stream and not consumed yet, with their arrival times.
#[derive(Debug)]
pub struct ReadBuffer {
    bytes: ReservedBytes,
    /// What the memory for further bytes is used for.
    memory_use: MemoryUse,
    /// The offset of the first unconsumed byte in `bytes`; `end` is the offset after the last one.
    start: usize,
    end: usize,
    /// The position in the stream of the first unconsumed byte.
    consumed: usize,
    /// The arrival times of the unconsumed bytes, in stream order.
    arrivals: VecDeque<Arrival>,
    /// The earliest time at which bytes that have not been read may have arrived: all earlier ones have been
    /// read.
    unread_since: Instant,
}

impl Default for ReadBuffer {
    /// An empty buffer whose memory is not counted.
    fn default() -> Self {
        Self::new(Reservation::default(), MemoryUse::Response)
    }
}

impl ReadBuffer {
    /// An empty buffer whose memory is counted in the budget of `reservation`.
    #[must_use]
    pub fn new(reservation: Reservation, memory_use: MemoryUse) -> Self {
        Self {
            bytes: ReservedBytes::new(reservation),
            memory_use,
            start: 0,
            end: 0,
            consumed: 0,
            arrivals: VecDeque::new(),
            unread_since: Instant::now(),
        }
    }

    /// Sets the earliest time at which bytes that have not been read may have arrived.
    pub fn set_unread_since(&mut self, time: Instant) {
        self.unread_since = time;
    }

    /// The memory that the buffer holds as far as it is counted, in bytes.
    #[must_use]
    pub fn counted_size(&self) -> usize {
        self.bytes.counted_size()
    }

    /// The bytes that were read and not consumed yet.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Consumes the first `count` bytes, or all bytes if there are fewer.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len());
        self.start += count;
        self.advance_stream(count);
        self.rewind_if_empty();
    }

    /// Drops all bytes after the first `count`, as if they had never been read.
    pub fn truncate(&mut self, count: usize) {
        self.end = self.end.min(self.start + count);
        let stream_end = self.stream_end();
        while self.arrivals.len() > 1 && self.arrivals[self.arrivals.len() - 2].end >= stream_end {
            self.arrivals.pop_back();
        }
        if let Some(last) = self.arrivals.back_mut() {
            last.end = last.end.min(stream_end);
        }
        self.rewind_if_empty();
    }

    /// The earliest time at which the first `count` bytes may all have arrived; `None` if some of them have not.
    /// It is before the read if the bytes were there already.
    #[must_use]
    pub fn arrival_time(&self, count: usize) -> Option<Instant> {
        let position = self.consumed + count;
        self.arrivals.iter().find(|arrival| arrival.end >= position).map(|arrival| arrival.time)
    }

    /// Reads once and returns the number of bytes read; 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading from the stream fails, or there is no memory for more bytes.
    pub async fn fill(&mut self, stream: &TcpConnection) -> io::Result<usize> {
        self.make_room().await?;
        let mut stream = RetryInterrupted(stream);
        let Self { bytes, end, unread_since, .. } = self;
        let room = &mut bytes.as_mut_slice()[*end..];
        let mut has_waited = false;
        let count = poll_fn(|context| {
            let read = Pin::new(&mut stream).poll_read(context, room);
            if has_waited || read.is_pending() {
                // Nothing was there at the last poll, and the task is woken as soon as something is.
                *unread_since = Instant::now();
            }
            has_waited = read.is_pending();
            read
        })
        .await?;
        if count == 0 {
            return Ok(0);
        }
        let has_read_all = count < room.len();
        self.end += count;
        self.record_arrival();
        if has_read_all {
            self.unread_since = Instant::now();
        }
        Ok(count)
    }

    /// Makes room for the next read, for which memory may be reclaimed from stalled peers.
    ///
    /// # Errors
    ///
    /// When there is no memory for it.
    pub async fn make_room(&mut self) -> io::Result<()> {
        if let Some(capacity) = self.missing_capacity()
            && !self.bytes.extend_to(self.memory_use, capacity).await
        {
            return Err(out_of_memory());
        }
        Ok(())
    }

    /// Extends the buffer to `capacity` bytes, so that fewer reads take more each.
    ///
    /// # Errors
    ///
    /// When there is no memory for it.
    pub async fn extend_to(&mut self, capacity: usize) -> io::Result<()> {
        if self.bytes.len() < capacity && !self.bytes.extend_to(self.memory_use, capacity).await {
            return Err(out_of_memory());
        }
        Ok(())
    }

    /// Makes room for the next read if there is memory for it that this use may take.
    pub fn try_make_room(&mut self, memory_use: MemoryUse) -> bool {
        self.missing_capacity().is_none_or(|capacity| self.bytes.try_extend_to(memory_use, capacity))
    }

    /// Moves the first `count` bytes out, so that they stay valid while the buffer continues to read. Returns
    /// an allocation and the range of the bytes in it. Only the smaller one of the two parts is copied.
    pub fn detach(&mut self, count: usize) -> (ReservedBytes, Range<usize>) {
        let count = count.min(self.len());
        if count < self.len() - count {
            let copy = self.bytes.copy(&self.data()[..count]);
            self.consume(count);
            return (copy, 0..count);
        }
        let detached = self.start..self.start + count;
        let rest = self.bytes.copy(&self.bytes[detached.end..self.end]);
        self.advance_stream(count);
        self.start = 0;
        self.end = rest.len();
        let mut bytes = std::mem::replace(&mut self.bytes, rest);
        // Hundreds of large values may be kept for seconds at a time; an allocation of up to twice the size
        // of each would waste memory.
        if bytes.len() - detached.end > MAX_IDLE_CAPACITY {
            bytes.shrink_to(detached.end);
        }
        (bytes, detached)
    }

    /// Reuses the allocation of detached bytes if it is small and the buffer has none.
    pub fn reuse(&mut self, bytes: ReservedBytes) {
        if self.bytes.is_empty() && bytes.len() <= MAX_IDLE_CAPACITY {
            self.bytes = bytes;
        }
    }

    /// Releases the allocation if it is large and the buffer is empty.
    pub fn shrink_if_empty(&mut self) {
        if self.start == self.end && self.bytes.len() > MAX_IDLE_CAPACITY {
            self.clear();
        }
    }

    /// Drops all bytes, and releases the allocation.
    pub fn clear(&mut self) {
        self.consume(self.len());
        self.bytes.shrink_to(0);
    }

    fn len(&self) -> usize {
        self.end - self.start
    }

    /// The position in the stream after the last byte that was read.
    fn stream_end(&self) -> usize {
        self.consumed + self.len()
    }

    /// The capacity that the buffer needs for the next read; `None` if it has room. Moves the bytes to the
    /// front if that makes room.
    fn missing_capacity(&mut self) -> Option<usize> {
        let capacity = self.bytes.len();
        if self.end < capacity {
            return None;
        }
        if self.start > 0 {
            let unconsumed = self.start..self.end;
            self.bytes.as_mut_slice().copy_within(unconsumed, 0);
            self.end = self.len();
            self.start = 0;
            return None;
        }
        let additional = capacity.clamp(INITIAL_CAPACITY, MAX_DOUBLED_CAPACITY).max(capacity / 4);
        Some(capacity + additional)
    }

    fn rewind_if_empty(&mut self) {
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    fn advance_stream(&mut self, count: usize) {
        self.consumed += count;
        while self.arrivals.front().is_some_and(|arrival| arrival.end <= self.consumed) {
            self.arrivals.pop_front();
        }
    }

    fn record_arrival(&mut self) {
        let end = self.stream_end();
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut().filter(|_| is_full) {
            Some(last) => last.end = end,
            None => self.arrivals.push_back(Arrival { end, time: self.unread_since }),
        }
    }
}

/// Reads once into a scratch buffer that many streams share and discards the bytes. Returns the number of
/// bytes read; 0 at the end of the stream.
///
/// # Errors
///
/// When reading from the stream fails.
pub async fn discard(stream: &TcpConnection, scratch: &RefCell<Vec<u8>>) -> io::Result<usize> {
    let mut stream = RetryInterrupted(stream);
    poll_fn(|context| Pin::new(&mut stream).poll_read(context, &mut scratch.borrow_mut())).await
}

/// Writes all pieces in order, with vectored writes to save system calls.
///
/// # Errors
///
/// When writing to the stream fails, or a write accepts no bytes.
pub async fn write_all(stream: &TcpConnection, pieces: &[&[u8]]) -> io::Result<()> {
    let mut slices: Vec<IoSlice<'_>> = pieces.iter().map(|piece| IoSlice::new(piece)).collect();
    let mut remaining = slices.as_mut_slice();
    let mut stream = RetryInterrupted(stream);
    // Skips empty pieces at the front.
    IoSlice::advance_slices(&mut remaining, 0);
    while !remaining.is_empty() {
        match stream.write_vectored(remaining).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => IoSlice::advance_slices(&mut remaining, count),
        }
    }
    Ok(())
}
