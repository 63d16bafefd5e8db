//! Commands that a client sends while its request is in flight.
//!
//! They are buffered up to a limit, and skipped beyond it: however much a client sends ahead, its disconnect is noticed.
//! Skipped commands are rejected in their turn.

use crate::buffer::{ReadBuffer, discard};
use crate::protocol::{ProtocolError, QuerySkipper, parse_frontend_message};
use async_io::Async;
use futures_lite::future::yield_now;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

/// The bytes that every client may have buffered.
const BUFFER_LIMIT: usize = 16 * 1024;
/// The bytes that a client with a large buffer may have buffered.
const LARGE_BUFFER_LIMIT: usize = 256 * 1024;
/// The number of clients that may have a large buffer at a time.
const MAX_LARGE_BUFFERS: usize = 16;
/// The number of skipped commands that are rejected one by one; a client that sends more violates the protocol.
const MAX_SKIPPED_COMMANDS: usize = 10_000;

/// The memory that all clients share for commands sent ahead.
#[derive(Debug)]
pub(crate) struct ReadAheadBudget {
    large_buffers: Cell<usize>,
    /// Where bytes are read to that are discarded.
    scratch: RefCell<Vec<u8>>,
}

impl ReadAheadBudget {
    /// A budget with a scratch buffer of this size, in bytes.
    pub(crate) fn new(scratch_size: usize) -> Self {
        Self { large_buffers: Cell::new(0), scratch: RefCell::new(vec![0; scratch_size]) }
    }

    /// Reads once from the stream and discards the bytes; gives their number, which is 0 at the end of the stream.
    pub(crate) async fn discard(&self, stream: &Async<TcpStream>) -> io::Result<usize> {
        discard(stream, &self.scratch).await
    }
}

/// The permission of one client to have a large buffer.
struct LargeBufferPermit {
    budget: Rc<ReadAheadBudget>,
}

impl LargeBufferPermit {
    /// Takes a permit if there is one left.
    fn try_acquire(budget: &Rc<ReadAheadBudget>) -> Option<Self> {
        let in_use = budget.large_buffers.get();
        if in_use >= MAX_LARGE_BUFFERS {
            return None;
        }
        budget.large_buffers.set(in_use + 1);
        Some(Self { budget: budget.clone() })
    }
}

impl Drop for LargeBufferPermit {
    fn drop(&mut self) {
        self.budget.large_buffers.set(self.budget.large_buffers.get() - 1);
    }
}

/// The commands of one client that came after its buffer was full.
#[derive(Default)]
struct SkippedCommands {
    skipper: QuerySkipper,
    /// Why the stream can't be followed any further.
    error: Option<ProtocolError>,
}

impl SkippedCommands {
    /// Skips what follows the last complete command in the buffer, and removes it from there.
    fn begin(buffer: &mut ReadBuffer) -> Self {
        let mut skipped = Self::default();
        let mut complete = 0;
        loop {
            match parse_frontend_message(&buffer.data()[complete..]) {
                Ok(Some(message)) => complete += message.size,
                Ok(None) => break,
                Err(error) => {
                    skipped.error = Some(error);
                    break;
                }
            }
        }
        skipped.advance(&buffer.data()[complete..]);
        buffer.truncate(complete);
        skipped
    }

    fn advance(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.error = self.skipper.advance(bytes).err();
        }
        if self.skipper.queries() > MAX_SKIPPED_COMMANDS {
            self.error = Some(ProtocolError::Malformed("stream of commands"));
        }
    }
}

/// What follows the commands in the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextSkipped {
    /// No skipped command.
    None,
    /// So many complete commands, which are to be rejected.
    Commands(usize),
    /// A command of which a part has not been read yet.
    Incomplete,
    /// The end of the session.
    Terminate,
    /// A violation of the protocol.
    Invalid(ProtocolError),
}

/// What one client has sent ahead, beside the commands in its buffer.
pub(crate) struct ReadAhead {
    budget: Rc<ReadAheadBudget>,
    large_buffer: Option<LargeBufferPermit>,
    skipped: Option<SkippedCommands>,
}

impl ReadAhead {
    /// A client that has sent nothing yet.
    pub(crate) fn new(budget: Rc<ReadAheadBudget>) -> Self {
        Self { budget, large_buffer: None, skipped: None }
    }

    /// Whether commands are skipped at the moment.
    pub(crate) fn is_skipping(&self) -> bool {
        self.skipped.is_some()
    }

    /// Reads until the client has closed its connection.
    pub(crate) async fn read_until_closed(&mut self, stream: &Async<TcpStream>, buffer: &mut ReadBuffer) {
        while self.skipped.is_none() {
            if self.is_full(buffer) {
                self.skipped = Some(SkippedCommands::begin(buffer));
            } else if !matches!(buffer.fill(stream).await, Ok(1..)) {
                return;
            }
        }
        while self.skip(stream).await {
            // A client that sends at full speed must not hold up the others.
            yield_now().await;
        }
    }

    /// Whether the client may buffer nothing more; takes a permit for a large buffer if it needs one.
    fn is_full(&mut self, buffer: &ReadBuffer) -> bool {
        let buffered = buffer.data().len();
        if self.large_buffer.is_none() && buffered >= BUFFER_LIMIT {
            self.large_buffer = LargeBufferPermit::try_acquire(&self.budget);
        }
        let limit = if self.large_buffer.is_some() { LARGE_BUFFER_LIMIT } else { BUFFER_LIMIT };
        buffered >= limit
    }

    /// Reads and skips once; false at the end of the stream.
    pub(crate) async fn skip(&mut self, stream: &Async<TcpStream>) -> bool {
        let Ok(count @ 1..) = self.budget.discard(stream).await else { return false };
        if let Some(skipped) = &mut self.skipped {
            skipped.advance(&self.budget.scratch.borrow()[..count]);
        }
        true
    }

    /// Releases the permit for a large buffer, unless so many buffered bytes still need it.
    pub(crate) fn release_unused_permit(&mut self, buffered: usize) {
        if buffered < BUFFER_LIMIT {
            self.large_buffer = None;
        }
    }

    /// What comes next, once all commands in the buffer have been answered. Complete skipped commands are given once.
    pub(crate) fn take_next(&mut self) -> NextSkipped {
        let Some(skipped) = &mut self.skipped else { return NextSkipped::None };
        let queries = skipped.skipper.take_queries();
        if queries > 0 {
            return NextSkipped::Commands(queries);
        }
        if let Some(error) = skipped.error {
            return NextSkipped::Invalid(error);
        }
        if skipped.skipper.is_terminated() {
            return NextSkipped::Terminate;
        }
        if !skipped.skipper.is_between_messages() {
            return NextSkipped::Incomplete;
        }
        self.skipped = None;
        NextSkipped::None
    }
}
