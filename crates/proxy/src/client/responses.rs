//! Sends the final responses to requests, and the error responses to skipped commands.

use crate::client::connection::ClientConnection;
use crate::client::errors::{ClientError, ErrorReply};
use crate::close_reason::CloseReason;
use crate::metrics::Counters;
use crate::protocol::write::{self, Severity};
use crate::request::FinalResponse;
use crate::server::statement::QueryResponse;
use std::ops::ControlFlow;

/// The number of skipped commands whose error responses are sent in one write.
const REJECTIONS_PER_WRITE: usize = 64;

/// Sends the final response to a request; `out` is an empty buffer for the response.
pub(super) async fn send_final_response(
    connection: &ClientConnection<'_>,
    response: FinalResponse<QueryResponse>,
    out: &mut Vec<u8>,
) -> Result<ControlFlow<CloseReason>, ClientError> {
    let is_disconnected = matches!(response, FinalResponse::ClientDisconnected { .. });
    let error = match response {
        FinalResponse::Served(response) => {
            send_reply(connection, &response, out).await?;
            return Ok(ControlFlow::Continue(()));
        }
        FinalResponse::Rejected(retry_after) => ErrorReply::RequestRejected { retry_after },
        FinalResponse::ClientDisconnected { in_doubt_endpoint: None } => {
            ErrorReply::RequestRejected { retry_after: None }
        }
        FinalResponse::Failed { .. } | FinalResponse::ClientDisconnected { .. } => ErrorReply::RequestFailed,
        FinalResponse::Cancelled { .. } => ErrorReply::RequestCancelled,
    };
    // A client that has closed only its sending side may still be reading.
    if is_disconnected {
        error.write(out, Severity::Fatal);
        connection.send(&[out]).await?;
        return Ok(ControlFlow::Break(CloseReason::Client));
    }
    error.write(out, Severity::Error);
    write::ready_for_query(out);
    connection.send(&[out]).await?;
    Ok(ControlFlow::Continue(()))
}

/// Sends a server's response, followed by ReadyForQuery.
async fn send_reply(
    connection: &ClientConnection<'_>,
    response: &QueryResponse,
    out: &mut Vec<u8>,
) -> Result<(), ClientError> {
    write::ready_for_query(out);
    let pieces: Vec<&[u8]> = response.messages().chain([out.as_slice()]).collect();
    connection.send_held(&pieces, response.counted_size()).await
}

/// Sends an error response to each of `count` skipped commands.
pub(super) async fn reject_skipped_commands(
    connection: &ClientConnection<'_>,
    counters: &Counters,
    count: usize,
) -> Result<(), ClientError> {
    let mut remaining = count;
    while remaining > 0 {
        let mut out = Vec::new();
        for _ in 0..remaining.min(REJECTIONS_PER_WRITE) {
            counters.rejected_statements.increment();
            ErrorReply::TooManyCommandsAhead.write(&mut out, Severity::Error);
            write::ready_for_query(&mut out);
        }
        connection.send(&[&out]).await?;
        remaining = remaining.saturating_sub(REJECTIONS_PER_WRITE);
    }
    Ok(())
}
