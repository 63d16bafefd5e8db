//! Read-ahead: commands that a client sends while its request is in flight.
//!
//! Commands are buffered up to a limit and skipped beyond it, so that a disconnect is detected however much
//! the client has sent ahead. Skipped commands are rejected after all buffered commands have been answered.

use crate::buffer::{ReadBuffer, TcpConnection, discard};
use crate::protocol::{ProtocolError, QuerySkipper, parse_frontend_message};
use futures_lite::future::yield_now;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

/// The limit on the buffered bytes of a client without a large buffer.
const BUFFER_LIMIT: usize = 16 * 1024;
/// The limit on the buffered bytes of a client with a large buffer.
const LARGE_BUFFER_LIMIT: usize = 256 * 1024;
/// The number of clients that may have a large buffer at the same time.
const MAX_LARGE_BUFFERS: usize = 16;
/// The limit on the skipped commands of a client that await an error response each; exceeding the limit is a
/// protocol violation.
const MAX_SKIPPED_COMMANDS: usize = 10_000;

/// The memory budget that all clients share for commands sent ahead.
#[derive(Debug)]
pub(crate) struct ReadAheadBudget {
    large_buffers: Cell<usize>,
    /// The buffer for bytes that are read only to be discarded.
    scratch: RefCell<Vec<u8>>,
}

impl ReadAheadBudget {
    /// Creates a budget with a scratch buffer of this size, in bytes.
    pub(crate) fn new(scratch_size: usize) -> Self {
        Self { large_buffers: Cell::new(0), scratch: RefCell::new(vec![0; scratch_size]) }
    }

    /// Reads once from the stream and discards the bytes. Returns the number of bytes read; 0 at the end of
    /// the stream.
    pub(crate) async fn discard(&self, stream: &TcpConnection) -> io::Result<usize> {
        discard(stream, &self.scratch).await
    }
}

/// A client's permit for a large buffer; dropping it returns the permit to the budget.
struct LargeBufferPermit {
    budget: Rc<ReadAheadBudget>,
}

impl LargeBufferPermit {
    /// Acquires a permit; `None` if all permits are in use.
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

/// The commands of one client that arrived after its buffer was full.
#[derive(Default)]
struct SkippedCommands {
    skipper: QuerySkipper,
    /// The error after which the stream can't be parsed any further.
    error: Option<ProtocolError>,
}

impl SkippedCommands {
    /// Starts skipping: removes the bytes after the last complete command from the buffer and skips them.
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
        if self.skipper.query_count() > MAX_SKIPPED_COMMANDS {
            self.error = Some(ProtocolError::Malformed("stream of commands"));
        }
    }
}

/// The skipped input that follows the commands in the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextSkipped {
    /// There is no skipped input.
    None,
    /// The given number of complete commands, which are to be rejected.
    Commands(usize),
    /// A command that has not been read completely.
    Incomplete,
    /// Terminate: the client ends the session.
    Terminate,
    /// A violation of the protocol.
    Invalid(ProtocolError),
}

/// The read-ahead state of one client, apart from the commands in its buffer.
pub(crate) struct ReadAhead {
    budget: Rc<ReadAheadBudget>,
    large_buffer: Option<LargeBufferPermit>,
    skipped: Option<SkippedCommands>,
}

impl ReadAhead {
    /// Creates the state of a client that has sent nothing ahead.
    pub(crate) fn new(budget: Rc<ReadAheadBudget>) -> Self {
        Self { budget, large_buffer: None, skipped: None }
    }

    /// Whether commands are currently skipped rather than buffered.
    pub(crate) fn is_skipping(&self) -> bool {
        self.skipped.is_some()
    }

    /// Reads until the client closes its connection or reading fails.
    pub(crate) async fn read_until_closed(&mut self, stream: &TcpConnection, buffer: &mut ReadBuffer) {
        while self.skipped.is_none() {
            if self.is_full(buffer) {
                self.skipped = Some(SkippedCommands::begin(buffer));
            } else if !matches!(buffer.fill(stream).await, Ok(1..)) {
                return;
            }
        }
        while self.skip(stream).await {
            // A client that sends at full speed must not delay other clients.
            yield_now().await;
        }
    }

    /// Whether no more bytes may be buffered for the client; acquires a permit for a large buffer when
    /// necessary.
    fn is_full(&mut self, buffer: &ReadBuffer) -> bool {
        let buffered = buffer.data().len();
        if self.large_buffer.is_none() && buffered >= BUFFER_LIMIT {
            self.large_buffer = LargeBufferPermit::try_acquire(&self.budget);
        }
        let limit = if self.large_buffer.is_some() { LARGE_BUFFER_LIMIT } else { BUFFER_LIMIT };
        buffered >= limit
    }

    /// Reads once and skips the bytes; false at the end of the stream or when reading fails.
    pub(crate) async fn skip(&mut self, stream: &TcpConnection) -> bool {
        let Ok(count @ 1..) = self.budget.discard(stream).await else { return false };
        if let Some(skipped) = &mut self.skipped {
            skipped.advance(&self.budget.scratch.borrow()[..count]);
        }
        true
    }

    /// Releases the permit for a large buffer, unless this number of buffered bytes requires it.
    pub(crate) fn release_unused_permit(&mut self, buffered: usize) {
        if buffered < BUFFER_LIMIT {
            self.large_buffer = None;
        }
    }

    /// Takes the next skipped input; to be called once all commands in the buffer have been answered.
    /// Complete skipped commands are reported once.
    pub(crate) fn take_next(&mut self) -> NextSkipped {
        let Some(skipped) = &mut self.skipped else { return NextSkipped::None };
        let queries = skipped.skipper.take_query_count();
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
