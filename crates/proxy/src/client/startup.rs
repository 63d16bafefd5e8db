//! The startup of a client's connection: handles encryption requests, cancel requests and the start of a
//! session.

use crate::client::connection::{ClientConnection, ReadOutcome, SessionPhase};
use crate::client::connection_slots::Admission;
use crate::client::context::ClientContext;
use crate::client::errors::ClientError;
use crate::close_reason::CloseReason;
use crate::protocol::{BackendKeyData, ProtocolError, StartupMessage, parse_startup_message, write};

/// The response to SSLRequest and GSSENCRequest: encryption is not supported.
const ENCRYPTION_NOT_SUPPORTED: &[u8] = b"N";
/// The number of encryption requests that a client may make: an SSLRequest and a GSSENCRequest.
const MAX_ENCRYPTION_REQUESTS: u32 = 2;
/// The capacity of the buffer for the messages that start a session, in bytes.
const SESSION_START_CAPACITY: usize = 256;

/// The outcome of the startup of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartupOutcome {
    /// A session has started.
    SessionStarted,
    /// The connection ends without a session.
    Done(CloseReason),
}

/// Performs the startup of a connection, which ends with a session, a rejection or a cancel request.
pub(super) async fn start_session(
    context: &ClientContext,
    connection: &mut ClientConnection<'_>,
    key: BackendKeyData,
    admission: Admission,
) -> Result<StartupOutcome, ClientError> {
    if let StartupOutcome::Done(reason) = await_session_start(context, connection).await? {
        return Ok(StartupOutcome::Done(reason));
    }
    // A slot may have become free since the client was rejected.
    if admission == Admission::Rejected && connection.try_admit() == Admission::Rejected {
        context.counters.rejected_connections.increment();
        return Err(ClientError::NoSlot);
    }
    connection.enter_phase(SessionPhase::AwaitingFirstRequest);
    let mut out = Vec::with_capacity(SESSION_START_CAPACITY);
    write::session_start(&mut out, key);
    connection.send(&[&out]).await?;
    Ok(StartupOutcome::SessionStarted)
}

/// Reads startup messages until one of them starts a session or the connection ends.
async fn await_session_start(
    context: &ClientContext,
    connection: &mut ClientConnection<'_>,
) -> Result<StartupOutcome, ClientError> {
    let mut encryption_requests = 0;
    loop {
        let Some((message, size)) = parse_startup_message(connection.buffer().data())? else {
            if let ReadOutcome::Closed(reason) = connection.read_more().await? {
                return Ok(StartupOutcome::Done(reason));
            }
            continue;
        };
        connection.buffer().consume(size);
        match message {
            StartupMessage::EncryptionRequest if encryption_requests == MAX_ENCRYPTION_REQUESTS => {
                return Err(ProtocolError::RepeatedEncryptionRequest.into());
            }
            StartupMessage::EncryptionRequest => {
                encryption_requests += 1;
                connection.send(&[ENCRYPTION_NOT_SUPPORTED]).await?;
            }
            StartupMessage::CancelRequest(key) => {
                context.cancellation_keys.cancel(key);
                return Ok(StartupOutcome::Done(CloseReason::Client));
            }
            StartupMessage::SessionStart => return Ok(StartupOutcome::SessionStarted),
        }
    }
}
