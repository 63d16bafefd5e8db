//! Read buffers that release large allocations while idle, and vectored writes. All I/O of the proxy on
//! connections goes through this module.

use async_io::Async;
use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
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
const MAX_IDLE_CAPACITY: usize = 4 * 1024;
/// The number of reads whose arrival times are kept; bytes of later reads get the time of the last of these.
const MAX_ARRIVALS: usize = 256;

/// A TCP connection on which a task that never has to wait yields to the others.
pub type TcpConnection = CooperativeStream<Async<TcpStream>>;

/// The time at which the bytes of the stream up to a position had arrived.
#[derive(Debug)]
struct Arrival {
    /// The position in the stream after the last byte of the read.
    end: usize,
    time: Instant,
}

/// A buffer of bytes that were read from a stream and not consumed yet, with their arrival times.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// The offset of the first unconsumed byte in `bytes`; `end` is the offset after the last one.
    start: usize,
    end: usize,
    /// The position in the stream of the first unconsumed byte.
    consumed: usize,
    /// The arrival times of the unconsumed bytes, in stream order.
    arrivals: VecDeque<Arrival>,
}

impl ReadBuffer {
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

    /// The time at which the first `count` bytes had all arrived; `None` if some of them have not.
    #[must_use]
    pub fn arrival_time(&self, count: usize) -> Option<Instant> {
        let position = self.consumed + count;
        self.arrivals.iter().find(|arrival| arrival.end >= position).map(|arrival| arrival.time)
    }

    /// Reads once and returns the number of bytes read; 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// When reading from the stream fails.
    pub async fn fill(&mut self, stream: &TcpConnection) -> io::Result<usize> {
        if self.end == self.bytes.len() {
            self.make_room();
        }
        let mut stream = RetryInterrupted(stream);
        let count = stream.read(&mut self.bytes[self.end..]).await?;
        if count == 0 {
            return Ok(0);
        }
        self.end += count;
        self.record_arrival();
        Ok(count)
    }

    /// Moves the first `count` bytes out together with their allocation, so that they stay valid without a
    /// copy while the buffer continues to read. Returns the allocation and the range of the bytes in it. Only
    /// the bytes after the range are copied.
    pub fn detach(&mut self, count: usize) -> (Vec<u8>, Range<usize>) {
        let detached = self.start..(self.start + count).min(self.end);
        let rest = self.bytes[detached.end..self.end].to_vec();
        self.advance_stream(detached.len());
        self.start = 0;
        self.end = rest.len();
        let mut bytes = std::mem::replace(&mut self.bytes, rest);
        // Hundreds of large values may be kept for seconds at a time; an allocation of up to twice the size
        // of each would waste memory.
        if bytes.len() - detached.end > MAX_IDLE_CAPACITY {
            bytes.truncate(detached.end);
            bytes.shrink_to_fit();
        }
        (bytes, detached)
    }

    /// Reuses the allocation of detached bytes if it is small and the buffer has none.
    pub fn reuse(&mut self, bytes: Vec<u8>) {
        if self.bytes.is_empty() && bytes.len() <= MAX_IDLE_CAPACITY {
            self.bytes = bytes;
        }
    }

    /// Releases the allocation if it is large and the buffer is empty.
    pub fn shrink_if_empty(&mut self) {
        if self.start == self.end && self.bytes.len() > MAX_IDLE_CAPACITY {
            *self = Self::default();
        }
    }

    fn len(&self) -> usize {
        self.end - self.start
    }

    /// The position in the stream after the last byte that was read.
    fn stream_end(&self) -> usize {
        self.consumed + self.len()
    }

    fn make_room(&mut self) {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end = self.len();
            self.start = 0;
        } else {
            self.bytes.resize((2 * self.bytes.len()).max(INITIAL_CAPACITY), 0);
        }
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
            None => self.arrivals.push_back(Arrival { end, time: Instant::now() }),
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
