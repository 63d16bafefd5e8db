//! The connection of one client: reading, writing and closing within time limits.

use crate::buffer::{ReadBuffer, write_all};
use crate::client::connection_slots::{Admission, EvictionClass, Slot};
use crate::client::context::ClientContext;
use crate::client::errors::{ClientError, ErrorReply};
use crate::client::read_ahead::{NextSkipped, ReadAhead};
use crate::protocol::write::Severity;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The time that a client has for its first command, counted from when it was accepted, and for the rest of any command
/// that has begun. Connections without a request in flight may be closed after 2 s, and a client that sends nothing
/// complete is due a close within 3 s of connecting, a part of which it may have waited in the backlog.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that a client has to read a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a client that received a fatal error may go on sending: enough for 60 MB.
const LINGER_AFTER_ERROR: Duration = Duration::from_secs(3);
/// How long a client whose connection was closed between two commands has to close its side.
const LINGER_WHEN_IDLE: Duration = Duration::from_secs(1);

/// How far a client has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionPhase {
    /// Its startup message is not complete.
    Startup,
    /// Its session has begun, and it has made no request yet.
    AwaitingFirstRequest,
    /// It has made a request.
    Established,
}

/// Which side ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClosedBy {
    /// The client, or the connection is of no more use.
    Client,
    /// The pooler: the connection was evicted, a command took too long, or the pooler shuts down.
    Pooler,
}

/// What became of reading more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes were read.
    BytesRead,
    /// No more bytes will be read.
    Closed(ClosedBy),
}

/// The connection of one client.
pub(super) struct ClientConnection<'a> {
    context: &'a ClientContext,
    // Declared before the slot: the descriptor is closed before the slot counts as free.
    stream: Async<TcpStream>,
    buffer: ReadBuffer,
    slot: Slot,
    phase: SessionPhase,
    /// When the client occupied its slot, or last received a response.
    waiting_since: Instant,
    write_closed: bool,
    read_ahead: ReadAhead,
}

impl<'a> ClientConnection<'a> {
    /// A connection that has just been accepted.
    pub(super) fn new(context: &'a ClientContext, stream: Async<TcpStream>, slot: Slot) -> Self {
        Self {
            context,
            stream,
            buffer: ReadBuffer::default(),
            slot,
            phase: SessionPhase::Startup,
            waiting_since: Instant::now(),
            write_closed: false,
            read_ahead: ReadAhead::new(context.read_ahead.clone()),
        }
    }

    /// The bytes that were read from the client and not consumed yet.
    pub(super) fn buffer(&mut self) -> &mut ReadBuffer {
        &mut self.buffer
    }

    /// Admits a client that was to be rejected, if there is room by now.
    pub(super) fn try_admit(&self) -> Admission {
        self.slot.try_admit()
    }

    /// Enters the next phase of the session.
    pub(super) fn enter_phase(&mut self, phase: SessionPhase) {
        self.phase = phase;
    }

    /// Counts the idle time of an established client from now on.
    pub(super) fn restart_idle_time(&mut self) {
        if self.phase == SessionPhase::Established {
            self.waiting_since = Instant::now();
        }
    }

    /// What follows the commands in the buffer.
    pub(super) fn take_next_skipped(&mut self) -> NextSkipped {
        self.read_ahead.take_next()
    }

    /// Reads ahead until the client has closed its connection.
    pub(super) async fn read_until_closed(&mut self) {
        self.read_ahead.read_until_closed(&self.stream, &mut self.buffer).await;
    }

    /// Returns the allocation of a command that has been answered.
    pub(super) fn reuse_command_buffer(&mut self, bytes: Vec<u8>) {
        self.buffer.reuse(bytes);
        self.read_ahead.release_unused_permit(self.buffer.data().len());
    }

    /// Whether a part of a command was read that was not answered.
    fn has_partial_command(&self) -> bool {
        !self.buffer.data().is_empty() || self.read_ahead.is_skipping()
    }

    /// Reads more, unless the connection has to be closed: it is evicted, a command took too long, or the pooler shuts
    /// down. Bytes that can be read take precedence over all of these.
    pub(super) async fn read_more(&mut self) -> Result<ReadOutcome, ClientError> {
        let is_between_commands = self.phase != SessionPhase::Startup && !self.has_partial_command();
        let stages = &self.context.shutdown_stages;
        // A client that makes its next request as soon as it has a response would otherwise go on until the process ends
        // in the middle of one.
        if is_between_commands && stages.terminating.is_set() {
            return Ok(ReadOutcome::Closed(ClosedBy::Pooler));
        }
        self.buffer.shrink_if_empty();
        let deadline = self.command_deadline(is_between_commands);
        let shutdown_stage = if is_between_commands { &stages.closing_idle } else { &stages.terminating };
        let timeout = async {
            sleep_until(deadline).await;
            Ok(ReadOutcome::Closed(ClosedBy::Pooler))
        };
        let shutdown = async {
            shutdown_stage.wait().await;
            Ok(ReadOutcome::Closed(ClosedBy::Pooler))
        };
        let read = read_once(&self.stream, &mut self.buffer, &mut self.read_ahead);
        let class = eviction_class(self.phase);
        let work = or(read, or(timeout, shutdown));
        let outcome = self.slot.while_evictable(class, self.waiting_since, work).await;
        if is_between_commands {
            self.restart_idle_time();
        }
        outcome.unwrap_or(Ok(ReadOutcome::Closed(ClosedBy::Pooler)))
    }

    /// When the next command has to be complete. The first bytes of a command have just arrived when it begins, and
    /// later ones grant no further time.
    fn command_deadline(&self, is_between_commands: bool) -> Option<Instant> {
        if self.phase == SessionPhase::Established && is_between_commands {
            return None;
        }
        Some(self.waiting_since + COMMAND_TIMEOUT)
    }

    /// Pauses, and can be evicted meanwhile as readily as if it had made no request; false if it was.
    pub(super) async fn pause(&self, pause: Duration) -> bool {
        let timer = async {
            Timer::after(pause).await;
        };
        self.slot
            .while_evictable(EvictionClass::AwaitingFirstRequest, self.waiting_since, timer)
            .await
            .is_some()
    }

    /// Sends all pieces, one after another.
    pub(super) async fn send(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        let timeout = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(ClientError::WriteTimedOut)
        };
        or(async { Ok(write_all(&self.stream, pieces).await?) }, timeout).await
    }

    /// Closes a connection that the session is done with, as far as that takes more than dropping it.
    pub(super) async fn finish(&mut self, closed_by: ClosedBy) -> Result<(), ClientError> {
        // The rest of a command that has begun may be on its way, so its client receives an error.
        if closed_by == ClosedBy::Pooler && self.has_partial_command() {
            self.context.counters.rejected_statements.increment();
            return self.close_with_error(ErrorReply::ConnectionEnding).await;
        }
        // A client that has made no request has no response to lose.
        if self.phase == SessionPhase::Established {
            return self.close(LINGER_WHEN_IDLE).await;
        }
        Ok(())
    }

    /// Sends a fatal error, and reads what the client is still sending: closing earlier would reset the connection, and
    /// the error might be lost with it.
    pub(super) async fn close_with_error(&mut self, error: ErrorReply) -> Result<(), ClientError> {
        let mut out = Vec::new();
        error.write(&mut out, Severity::Fatal);
        self.send(&[&out]).await?;
        self.close(LINGER_AFTER_ERROR).await
    }

    /// Closes the sending side, and discards what still arrives until the client has closed its side, or for as long as
    /// `linger`. Closing over unread bytes would reset the connection, and the last response might be lost with it.
    async fn close(&mut self, linger: Duration) -> Result<(), ClientError> {
        if self.write_closed {
            return Ok(());
        }
        self.write_closed = true;
        self.slot.end_service();
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        self.buffer = ReadBuffer::default();
        let closed_by_client = async {
            while matches!(self.context.read_ahead.discard(&self.stream).await, Ok(1..)) {
                // A client that sends at full speed must not hold up the others.
                yield_now().await;
            }
        };
        let timeout = async {
            Timer::after(linger).await;
        };
        let work = or(closed_by_client, or(timeout, self.context.shutdown_stages.terminated.wait()));
        self.slot.while_evictable(EvictionClass::Unserved, Instant::now(), work).await;
        Ok(())
    }
}

fn eviction_class(phase: SessionPhase) -> EvictionClass {
    match phase {
        SessionPhase::Startup | SessionPhase::AwaitingFirstRequest => EvictionClass::AwaitingFirstRequest,
        SessionPhase::Established => EvictionClass::Idle,
    }
}

async fn read_once(
    stream: &Async<TcpStream>,
    buffer: &mut ReadBuffer,
    read_ahead: &mut ReadAhead,
) -> Result<ReadOutcome, ClientError> {
    let has_read =
        if read_ahead.is_skipping() { read_ahead.skip(stream).await } else { buffer.fill(stream).await? > 0 };
    Ok(if has_read { ReadOutcome::BytesRead } else { ReadOutcome::Closed(ClosedBy::Client) })
}

/// Sleeps until the deadline, or for ever without one.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => drop(Timer::at(deadline).await),
        None => std::future::pending().await,
    }
}
