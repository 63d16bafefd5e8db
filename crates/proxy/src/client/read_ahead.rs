//! Read-ahead: commands that a client sends while its request is in flight.
//!
//! Commands are buffered up to a limit, and as far as the memory budget allows, and skipped beyond it, so that a disconnect is detected however much
//! the client has sent ahead. Skipped commands are rejected after all buffered commands have been answered.

use crate::buffer::{ReadBuffer, TcpConnection};
use crate::client::discarding::Discarder;
use crate::memory_budget::MemoryUse;
use crate::protocol::{ProtocolError, QuerySkipper, parse_frontend_message};
use async_io::Timer;
use futures_lite::future::{or, poll_once, yield_now};
use std::rc::Rc;
use std::time::Duration;

/// The longest time for which the bytes that have arrived are read before a request is routed. An attempt must
/// not begin longer than this after its client has left.
const MAX_READ_TIME: Duration = Duration::from_millis(100);
/// The limit on the buffered bytes of a client.
const BUFFER_LIMIT: usize = 256 * 1024;
/// The limit on the skipped commands of a client that await an error response each; exceeding the limit is a
/// protocol violation.
const MAX_SKIPPED_COMMANDS: usize = 10_000;

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

/// Skips these bytes if commands are being skipped.
fn advance_skipped(skipped: &mut Option<SkippedCommands>, bytes: &[u8]) {
    if let Some(skipped) = skipped {
        skipped.advance(bytes);
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
    discarder: Rc<Discarder>,
    skipped: Option<SkippedCommands>,
}

impl ReadAhead {
    /// Creates the state of a client that has sent nothing ahead.
    pub(crate) fn new(discarder: Rc<Discarder>) -> Self {
        Self { discarder, skipped: None }
    }

    /// Whether commands are currently skipped rather than buffered.
    pub(crate) fn is_skipping(&self) -> bool {
        self.skipped.is_some()
    }

    /// Reads until the client closes its connection or reading fails.
    pub(crate) async fn read_until_closed(&mut self, stream: &TcpConnection, buffer: &mut ReadBuffer) {
        while self.read_once(stream, buffer).await {
            if self.is_skipping() {
                // A client that sends at full speed must not delay other clients.
                yield_now().await;
            }
        }
    }

    /// Reads what has arrived, up to the client's close of its connection, which may be behind everything else
    /// that the client has sent. Gives up a client that does not stop sending.
    pub(crate) async fn read_arrived(&mut self, stream: &TcpConnection, buffer: &mut ReadBuffer) {
        let arrived = async {
            loop {
                // Here rather than in the read, which is only polled once.
                stream.yield_if_due().await;
                if poll_once(self.read_once(stream, buffer)).await != Some(true) {
                    return;
                }
            }
        };
        let expired = async {
            Timer::after(MAX_READ_TIME).await;
        };
        or(arrived, expired).await;
    }

    /// Reads once; false at the end of the stream or when reading fails.
    async fn read_once(&mut self, stream: &TcpConnection, buffer: &mut ReadBuffer) -> bool {
        if self.skipped.is_none() {
            let is_full = buffer.data().len() >= BUFFER_LIMIT;
            if !is_full && buffer.try_make_room(MemoryUse::CommandAhead) {
                return matches!(buffer.fill(stream).await, Ok(1..));
            }
            self.skipped = Some(SkippedCommands::begin(buffer));
        }
        self.skip(stream).await
    }

    /// Reads once and skips the bytes; false at the end of the stream or when reading fails.
    pub(crate) async fn skip(&mut self, stream: &TcpConnection) -> bool {
        let Self { discarder, skipped } = self;
        discarder.read(stream, |bytes| advance_skipped(skipped, bytes)).await
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
