//! The connection of one client: reads, writes and closing, each within a time limit.

use crate::buffer::{ReadBuffer, TcpConnection, write_all};
use crate::client::connection_slots::{Admission, EvictionClass, Slot};
use crate::client::context::ClientContext;
use crate::client::errors::{ClientError, ErrorReply};
use crate::client::read_ahead::{NextSkipped, ReadAhead};
use crate::close_reason::CloseReason;
use crate::memory_budget::{MemoryUse, Reservation, Stall};
use crate::protocol::write::Severity;
use crate::reserved_bytes::ReservedBytes;
use async_io::Timer;
use futures_lite::future::or;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// The time that a client has for its first command, counted from its acceptance, and for the rest of any
/// command that has begun. Connections without a request in flight may be closed after 2 s. A client that
/// sends no complete command must be closed within 3 s of connecting, and it may have spent a part of that
/// time in the accept backlog.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for a client to read a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The time for which the input of a client that received a fatal error is still read: enough for 60 MB.
const LINGER_AFTER_ERROR: Duration = Duration::from_secs(3);
/// The time that a client has to close its side after its connection was closed between two commands.
const LINGER_AFTER_IDLE_CLOSE: Duration = Duration::from_secs(1);

/// The progress of a client's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionPhase {
    /// The startup message is not complete.
    Startup,
    /// The session has started, and the client has made no request yet.
    AwaitingFirstRequest,
    /// The client has made a request.
    Established,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes were read.
    BytesRead,
    /// The connection is to be closed, and nothing more will be read.
    Closed(CloseReason),
}

/// The connection of one client.
pub(super) struct ClientConnection<'a> {
    context: &'a ClientContext,
    // Declared before `slot`, so that the descriptor is closed before the slot counts as free.
    stream: TcpConnection,
    buffer: ReadBuffer,
    slot: Slot,
    phase: SessionPhase,
    /// The start of the current wait: the creation of the session, the client's last response, or the arrival
    /// of the first bytes of a command.
    waiting_since: Instant,
    write_closed: bool,
    read_ahead: ReadAhead,
}

impl<'a> ClientConnection<'a> {
    /// Creates the state of a connection that has just been accepted, on which bytes may have arrived since
    /// `queued_since`.
    pub(super) fn new(
        context: &'a ClientContext,
        stream: TcpConnection,
        slot: Slot,
        queued_since: Instant,
    ) -> Self {
        let mut buffer = ReadBuffer::new(Reservation::new(context.memory.clone()), MemoryUse::Command);
        buffer.set_unread_since(queued_since);
        Self {
            context,
            stream,
            buffer,
            slot,
            phase: SessionPhase::Startup,
            waiting_since: Instant::now(),
            write_closed: false,
            read_ahead: ReadAhead::new(context.discarder.clone()),
        }
    }

    /// The buffer of the bytes that were read from the client and not consumed yet.
    pub(super) fn buffer(&mut self) -> &mut ReadBuffer {
        &mut self.buffer
    }

    /// Admits a client that was to be rejected if a slot has become free.
    pub(super) fn try_admit(&self) -> Admission {
        self.slot.try_admit()
    }

    /// The number of the connection, which is never reused.
    pub(super) fn number(&self) -> u64 {
        self.slot.number()
    }

    /// Enters the next phase of the session.
    pub(super) fn enter_phase(&mut self, phase: SessionPhase) {
        self.phase = phase;
    }

    /// Restarts the idle time of an established client.
    pub(super) fn restart_idle_time(&mut self) {
        if self.phase == SessionPhase::Established {
            self.waiting_since = Instant::now();
        }
    }

    /// Takes the skipped input that follows the commands in the buffer.
    pub(super) fn take_next_skipped(&mut self) -> NextSkipped {
        self.read_ahead.take_next()
    }

    /// Reads ahead what has arrived already.
    pub(super) async fn read_arrived(&mut self) {
        self.read_ahead.read_arrived(&self.stream, &mut self.buffer).await;
    }

    /// Reads ahead until the client closes its connection.
    pub(super) async fn read_until_closed(&mut self) {
        self.read_ahead.read_until_closed(&self.stream, &mut self.buffer).await;
    }

    /// Hands the allocation of an answered command back to the read buffer for reuse.
    pub(super) fn reuse_command_buffer(&mut self, bytes: ReservedBytes) {
        self.buffer.reuse(bytes);
    }

    /// Whether a part of an unanswered command has been read.
    fn has_partial_command(&self) -> bool {
        !self.buffer.data().is_empty() || self.read_ahead.is_skipping()
    }

    /// Reads more bytes, unless the connection has to be closed because it is evicted, a command timed out,
    /// or the pooler is shutting down. Bytes that can be read take precedence over all of these reasons, but not over
    /// a release of the memory that the first part of a command holds.
    pub(super) async fn read_more(&mut self) -> Result<ReadOutcome, ClientError> {
        let is_between_commands = self.phase != SessionPhase::Startup && !self.has_partial_command();
        let stages = &self.context.shutdown_stages;
        // A client that sends its next request immediately after each response would otherwise continue until
        // the process exits during a request.
        if is_between_commands && stages.terminating.is_set() {
            return Ok(ReadOutcome::Closed(CloseReason::Shutdown));
        }
        self.buffer.shrink_if_empty();
        let deadline = self.command_deadline(is_between_commands);
        // Here rather than in the read below, where another reason would take precedence over bytes that can
        // be read. The deadline holds for a client that never stops sending as well.
        let is_flooding = self.stream.yield_if_due().await;
        if is_flooding && deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return Ok(ReadOutcome::Closed(CloseReason::CommandTimeout));
        }
        if !self.read_ahead.is_skipping() && !self.make_room().await {
            self.buffer.clear();
            return Err(ClientError::OutOfMemory);
        }
        let held = self.buffer.counted_size();
        let shutdown_stage = if is_between_commands { &stages.closing_idle } else { &stages.terminating };
        let timeout = async {
            sleep_until(deadline).await;
            Ok(ReadOutcome::Closed(CloseReason::CommandTimeout))
        };
        let shutdown = async {
            shutdown_stage.wait().await;
            Ok(ReadOutcome::Closed(CloseReason::Shutdown))
        };
        let read = read_once(&self.stream, &mut self.buffer, &mut self.read_ahead);
        let (class, since) = eviction_order(self.phase, is_between_commands, self.waiting_since);
        let work = self.slot.while_evictable(class, since, or(read, or(timeout, shutdown)));
        let outcome = self.context.memory.while_reclaimable(Stall::IncompleteCommand, held, work).await;
        if is_between_commands {
            self.restart_idle_time();
        }
        match outcome {
            Some(outcome) => outcome.unwrap_or(Ok(ReadOutcome::Closed(CloseReason::Eviction))),
            None => {
                self.buffer.clear();
                Err(ClientError::OutOfMemory)
            }
        }
    }

    /// Makes room in the buffer for the next read. Returns false if there is no memory for it, or the memory of the
    /// first part of a command is needed for others.
    async fn make_room(&mut self) -> bool {
        let held = self.buffer.counted_size();
        let room = self.buffer.make_room();
        let has_room = self.context.memory.while_reclaimable(Stall::AwaitingMemory, held, room).await;
        matches!(has_room, Some(Ok(())))
    }

    /// The time at which the next command has to be complete; `None` while an established client is between
    /// commands. The arrival of a command's first bytes starts the time limit, and later bytes don't extend
    /// it.
    fn command_deadline(&self, is_between_commands: bool) -> Option<Instant> {
        if self.phase == SessionPhase::Established && is_between_commands {
            return None;
        }
        Some(self.waiting_since + COMMAND_TIMEOUT)
    }

    /// Pauses the session. During the pause the connection can be evicted like that of a client that has made
    /// no request yet. Returns false if the connection was evicted.
    pub(super) async fn pause(&self, pause: Duration) -> bool {
        let timer = async {
            Timer::after(pause).await;
        };
        self.slot
            .while_evictable(EvictionClass::AwaitingFirstRequest, self.waiting_since, timer)
            .await
            .is_some()
    }

    /// Sends all pieces in order, within the time limit for writes. The client is given up if the memory of what it
    /// has sent ahead is needed for others.
    pub(super) async fn send(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        self.send_held(pieces, 0).await
    }

    /// Like [`send`](Self::send), where the pieces hold another `held` bytes of counted memory.
    pub(super) async fn send_held(&self, pieces: &[&[u8]], held: usize) -> Result<(), ClientError> {
        let held = held + self.buffer.counted_size();
        let timeout = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(ClientError::WriteTimedOut)
        };
        let sent = or(async { Ok(write_all(&self.stream, pieces).await?) }, timeout);
        let sent = self.context.memory.while_reclaimable(Stall::UnreadResponse, held, sent);
        sent.await.unwrap_or(Err(ClientError::WriteTimedOut))
    }

    /// Performs what remains to be done at the end of a session before the connection is dropped: a fatal
    /// error for a client with an incomplete command, and a lingering close for an established client.
    pub(super) async fn finish(&mut self, reason: CloseReason) -> Result<(), ClientError> {
        // The rest of an incomplete command may be in transit, and its client must receive an error.
        let has_session = self.phase != SessionPhase::Startup;
        if has_session && reason.is_by_pooler() && self.has_partial_command() {
            self.context.counters.rejected_statements.increment();
            return self.close_with_error(ErrorReply::ConnectionClosing).await;
        }
        // A client that has made no request can't lose a response.
        if self.phase == SessionPhase::Established {
            return self.close(LINGER_AFTER_IDLE_CLOSE).await;
        }
        Ok(())
    }

    /// Sends a fatal error and discards what the client still sends: closing the connection earlier would
    /// reset it, and the error might be lost.
    pub(super) async fn close_with_error(&mut self, error: ErrorReply) -> Result<(), ClientError> {
        let mut out = Vec::new();
        error.write(&mut out, Severity::Fatal);
        self.buffer.clear();
        self.send(&[&out]).await?;
        self.close(LINGER_AFTER_ERROR).await
    }

    /// Closes the sending side, and discards incoming bytes until the client has closed its side or `linger`
    /// has elapsed. Closing a connection with unread bytes would reset it, and the last response might be
    /// lost.
    async fn close(&mut self, linger: Duration) -> Result<(), ClientError> {
        if self.write_closed {
            return Ok(());
        }
        self.write_closed = true;
        self.slot.release();
        self.stream.get_ref().get_ref().shutdown(Shutdown::Write)?;
        self.buffer.clear();
        let closed_by_client = self.context.discarder.read_until_closed(&self.stream);
        let timeout = async {
            Timer::after(linger).await;
        };
        let work = or(closed_by_client, or(timeout, self.context.shutdown_stages.terminated.wait()));
        self.slot.while_evictable(EvictionClass::Unserved, Instant::now(), work).await;
        Ok(())
    }
}

/// When the connection of a client that is about to be read from is evicted: its class, and the time from which its age
/// counts. That of a client in the middle of a command counts from its last byte.
fn eviction_order(
    phase: SessionPhase,
    is_between_commands: bool,
    waiting_since: Instant,
) -> (EvictionClass, Instant) {
    match phase {
        SessionPhase::Startup | SessionPhase::AwaitingFirstRequest => {
            (EvictionClass::AwaitingFirstRequest, waiting_since)
        }
        SessionPhase::Established if is_between_commands => (EvictionClass::Idle, waiting_since),
        SessionPhase::Established => (EvictionClass::Stalled, Instant::now()),
    }
}

async fn read_once(
    stream: &TcpConnection,
    buffer: &mut ReadBuffer,
    read_ahead: &mut ReadAhead,
) -> Result<ReadOutcome, ClientError> {
    let is_open =
        if read_ahead.is_skipping() { read_ahead.skip(stream).await } else { buffer.fill(stream).await? > 0 };
    Ok(if is_open { ReadOutcome::BytesRead } else { ReadOutcome::Closed(CloseReason::Client) })
}

/// Sleeps until the deadline; never completes if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => drop(Timer::at(deadline).await),
        None => std::future::pending().await,
    }
}
