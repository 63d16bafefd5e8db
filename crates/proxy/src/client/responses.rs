//! The final responses to requests, and the responses to commands that were skipped.

use crate::client::connection::{ClientConnection, ClosedBy};
use crate::client::errors::{ClientError, ErrorReply};
use crate::metrics::Counters;
use crate::protocol::write::{self, Severity};
use crate::request::Final;
use crate::server::pool::Reply;
use std::ops::ControlFlow;

/// The number of rejected commands whose responses are sent together.
const REJECTIONS_PER_WRITE: usize = 64;

/// Sends the final response to a request; `out` is an empty buffer for it.
pub(super) async fn send_final_response(
    connection: &ClientConnection<'_>,
    response: Final<Reply>,
    out: &mut Vec<u8>,
) -> Result<ControlFlow<ClosedBy>, ClientError> {
    let is_disconnected = matches!(response, Final::Gone { .. });
    let error = match response {
        Final::Served(reply) => {
            send_reply(connection, &reply, out).await?;
            return Ok(ControlFlow::Continue(()));
        }
        Final::Refused(retry_after) => ErrorReply::RequestRejected { retry_after },
        Final::Gone { at: None } => ErrorReply::RequestRejected { retry_after: None },
        Final::Failed { .. } | Final::Gone { .. } => ErrorReply::RequestFailed,
        Final::Cancelled { .. } => ErrorReply::RequestCancelled,
    };
    // A client that has closed its sending side may still be reading.
    if is_disconnected {
        error.write(out, Severity::Fatal);
        connection.send(&[out]).await?;
        return Ok(ControlFlow::Break(ClosedBy::Client));
    }
    error.write(out, Severity::Error);
    write::ready_for_query(out);
    connection.send(&[out]).await?;
    Ok(ControlFlow::Continue(()))
}

/// Sends a server's reply, followed by ReadyForQuery.
async fn send_reply(
    connection: &ClientConnection<'_>,
    reply: &Reply,
    out: &mut Vec<u8>,
) -> Result<(), ClientError> {
    write::ready_for_query(out);
    let pieces: Vec<&[u8]> = reply.pieces().chain([out.as_slice()]).collect();
    connection.send(&pieces).await
}

/// Rejects so many commands that were skipped.
pub(super) async fn reject_skipped_commands(
    connection: &ClientConnection<'_>,
    counters: &Counters,
    count: usize,
) -> Result<(), ClientError> {
    let mut remaining = count;
    while remaining > 0 {
        let mut out = Vec::new();
        for _ in 0..remaining.min(REJECTIONS_PER_WRITE) {
            counters.rejected.add();
            ErrorReply::TooManyCommandsAhead.write(&mut out, Severity::Error);
            write::ready_for_query(&mut out);
        }
        connection.send(&[&out]).await?;
        remaining = remaining.saturating_sub(REJECTIONS_PER_WRITE);
    }
    Ok(())
}
