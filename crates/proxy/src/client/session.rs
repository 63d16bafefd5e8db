//! The session of one client: performs the startup and executes the client's commands in order, each of which
//! is answered before the next one begins.

use crate::buffer::TcpConnection;
use crate::client::cancellation::CancellableSession;
use crate::client::commands::{Command, take_command};
use crate::client::connection::{ClientConnection, ReadOutcome, SessionPhase};
use crate::client::connection_slots::{Admission, Slot};
use crate::client::context::ClientContext;
use crate::client::errors::{ClientError, ErrorReply};
use crate::client::read_ahead::NextSkipped;
use crate::client::requests::{RoutableRequest, serve_request};
use crate::client::responses::{reject_skipped_commands, send_final_response};
use crate::client::startup::{StartupOutcome, start_session};
use crate::close_reason::CloseReason;
use crate::protocol::write::{self, Severity};
use crate::protocol::{frontend_tag, parse_frontend_message};
use crate::request::FinalResponse;
use futures_lite::future::yield_now;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// The pause after each rejected command: a client that repeats a rejected command as fast as possible would
/// delay other clients.
const REJECTION_PAUSE: Duration = Duration::from_millis(50);
/// The number of rejected commands after which the connection is closed.
const MAX_REJECTED_COMMANDS: u32 = 8;
/// The size from which collected responses are written, in bytes; also the largest capacity that their buffer
/// keeps.
const MAX_COLLECTED_RESPONSES: usize = 4 * 1024;

/// The session of one client.
pub(super) struct ClientSession<'a> {
    context: &'a ClientContext,
    registration: CancellableSession<'a>,
    connection: ClientConnection<'a>,
    rejected_commands: u32,
    /// Whether all messages up to the next Sync are discarded, as after an error in the extended query
    /// protocol.
    skip_until_sync: bool,
    /// Responses that have not been written yet. Those to commands that the pooler answers by itself are
    /// collected while further commands are in the read buffer: a write for each would cost other clients more
    /// than the commands do.
    responses: Vec<u8>,
}

impl<'a> ClientSession<'a> {
    /// Creates the session of a connection that has just been accepted.
    /// `queued_since` is the earliest time at which its client can have sent something.
    pub(super) fn new(
        context: &'a ClientContext,
        stream: TcpConnection,
        slot: Slot,
        queued_since: Instant,
    ) -> Self {
        Self {
            context,
            registration: context.cancellation_keys.register(slot.number()),
            connection: ClientConnection::new(context, stream, slot, queued_since),
            rejected_commands: 0,
            skip_until_sync: false,
            responses: Vec::new(),
        }
    }

    /// Serves the client until its connection is closed.
    pub(super) async fn run(&mut self, admission: Admission) -> Result<(), ClientError> {
        let served = self.serve(admission).await;
        self.record_close(served.as_ref().copied().unwrap_or_else(ClientError::close_reason));
        self.write_responses().await?;
        let error = match served {
            Ok(reason) => return self.connection.finish(reason).await,
            Err(error) => error,
        };
        if matches!(error, ClientError::Protocol(_) | ClientError::OutOfMemory) {
            self.context.counters.rejected_statements.increment();
        }
        match error.reply(self.context.no_slot_retry_after) {
            Some(reply) => self.connection.close_with_error(reply).await,
            None => Err(error),
        }
    }

    fn record_close(&self, reason: CloseReason) {
        self.context.counters.record_close(reason);
        tracing::debug!("client {} closed: {reason:?}", self.connection.number());
    }

    async fn serve(&mut self, admission: Admission) -> Result<CloseReason, ClientError> {
        let key = self.registration.key();
        match start_session(self.context, &mut self.connection, key, admission).await? {
            StartupOutcome::SessionStarted => self.serve_commands().await,
            StartupOutcome::Done(reason) => Ok(reason),
        }
    }

    async fn serve_commands(&mut self) -> Result<CloseReason, ClientError> {
        loop {
            let Some(message) = parse_frontend_message(self.connection.buffer().data())? else {
                self.write_responses().await?;
                match self.read_next_command().await? {
                    ControlFlow::Continue(()) => continue,
                    ControlFlow::Break(reason) => return Ok(reason),
                }
            };
            let (tag, size) = (message.tag, message.size);
            if self.skip_until_sync && !matches!(tag, frontend_tag::SYNC | frontend_tag::TERMINATE) {
                self.connection.buffer().consume(size);
                continue;
            }
            let command = take_command(self.context, self.connection.buffer(), tag, size)?;
            if let ControlFlow::Break(reason) = self.execute(command).await? {
                return Ok(reason);
            }
            self.connection.restart_idle_time();
            // A client that sends many commands at once must not delay other clients.
            yield_now().await;
        }
    }

    /// Writes the responses that have been collected.
    async fn write_responses(&mut self) -> Result<(), ClientError> {
        if self.responses.is_empty() {
            return Ok(());
        }
        let result = self.connection.send(&[&self.responses]).await;
        self.responses.clear();
        if self.responses.capacity() > MAX_COLLECTED_RESPONSES {
            self.responses = Vec::new();
        }
        result
    }

    /// Continues after all commands in the buffer have been answered: rejects skipped commands if there are
    /// any, and reads more bytes otherwise.
    async fn read_next_command(&mut self) -> Result<ControlFlow<CloseReason>, ClientError> {
        match self.connection.take_next_skipped() {
            NextSkipped::None | NextSkipped::Incomplete => {
                if let ReadOutcome::Closed(reason) = self.connection.read_more().await? {
                    return Ok(ControlFlow::Break(reason));
                }
            }
            NextSkipped::Commands(count) => {
                reject_skipped_commands(&self.connection, &self.context.counters, count).await?;
            }
            NextSkipped::Terminate => return Ok(ControlFlow::Break(CloseReason::Client)),
            NextSkipped::Invalid(error) => return Err(error.into()),
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Executes a command; its response is sent or collected.
    async fn execute(&mut self, command: Command<'_>) -> Result<ControlFlow<CloseReason>, ClientError> {
        match command {
            Command::Request(request) => return self.execute_request(request).await,
            Command::Rejected(error) => return self.reject(error).await,
            Command::Terminate => return Ok(ControlFlow::Break(CloseReason::Client)),
            Command::Ignored => return Ok(ControlFlow::Continue(())),
            Command::EmptyQuery => write::empty_query_response(&mut self.responses),
            Command::SessionSetting(command_tag) => {
                write::command_complete(&mut self.responses, command_tag);
            }
            Command::Sync => self.skip_until_sync = false,
        }
        write::ready_for_query(&mut self.responses);
        if self.responses.len() >= MAX_COLLECTED_RESPONSES {
            self.write_responses().await?;
        }
        Ok(ControlFlow::Continue(()))
    }

    async fn execute_request(
        &mut self,
        request: RoutableRequest<'_>,
    ) -> Result<ControlFlow<CloseReason>, ClientError> {
        self.write_responses().await?;
        let RoutableRequest { request, id } = request;
        self.connection.enter_phase(SessionPhase::Established);
        let response = if self.context.shutdown_stages.terminating.is_set() {
            // The shutdown leaves no time for requests that have waited behind others until now.
            self.context.counters.requests.increment();
            self.context.counters.rejected.increment();
            FinalResponse::Rejected(None)
        } else {
            serve_request(self.context, &mut self.connection, &self.registration, request, &id).await
        };
        let flow = send_final_response(&self.connection, response, &mut self.responses).await;
        self.responses.clear();
        // No other request may use the id before the client has received the final response.
        drop(id);
        flow
    }

    /// Rejects a command that is not served; closes the connection after too many rejected commands.
    async fn reject(&mut self, error: ErrorReply) -> Result<ControlFlow<CloseReason>, ClientError> {
        self.context.counters.rejected_statements.increment();
        self.rejected_commands += 1;
        if self.rejected_commands >= MAX_REJECTED_COMMANDS {
            return Err(ClientError::TooManyRejections(error));
        }
        error.write(&mut self.responses, Severity::Error);
        self.skip_until_sync = matches!(error, ErrorReply::OnlySimpleQueries);
        if !self.skip_until_sync {
            write::ready_for_query(&mut self.responses);
        }
        self.write_responses().await?;
        if !self.connection.pause(REJECTION_PAUSE).await {
            return Ok(ControlFlow::Break(CloseReason::Eviction));
        }
        Ok(ControlFlow::Continue(()))
    }
}
