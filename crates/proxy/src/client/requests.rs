//! Creates a request from a statement and serves the request until it has its final response.

use crate::buffer::ReadBuffer;
use crate::client::cancellation::CancellableSession;
use crate::client::connection::ClientConnection;
use crate::client::context::{ClientContext, RequestClass};
use crate::client::errors::ErrorReply;
use crate::client::open_request_ids::{OpenRequestId, ReservationError};
use crate::protocol::{HEADER_SIZE, RequestComment, first_quoted_literal};
use crate::request::{AbortReason, ClientRequest, FinalResponse, serve};
use crate::server::statement::{ClientStatement, QueryResponse};
use futures_lite::future::or;
use pooler_routing::{ClassId, Consistency, EndpointId, Operation, SessionKey, TimeDelta, Timestamp};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::{Duration, Instant};

/// A request that owns its statement and is ready to be routed.
pub(super) struct RoutableRequest<'a> {
    /// The request with its statement.
    pub(super) request: ClientRequest<ClientStatement>,
    /// The reservation of the request's id, held until the client has received the final response.
    pub(super) id: OpenRequestId<'a>,
}

/// A request whose statement is still in the read buffer.
pub(super) struct BufferedRequest<'a> {
    request: ClientRequest<()>,
    id: OpenRequestId<'a>,
    /// The byte range of the timeout's digits in the statement.
    timeout_digits: Range<usize>,
}

impl<'a> BufferedRequest<'a> {
    /// Creates the request that a statement describes.
    ///
    /// # Errors
    ///
    /// When its class is unknown, or its id can't be reserved.
    pub(super) fn new(
        context: &'a ClientContext,
        statement: &str,
        comment: &RequestComment<'_>,
        arrival_time: Option<Instant>,
    ) -> Result<Self, ErrorReply> {
        let class = context.class_id(comment.class).ok_or(ErrorReply::UnknownClassOrIdInUse)?;
        let RequestClass { operation, .. } = *context.class(class);
        let (now, retains_ids) = (context.router.now(), context.class(class).retains_ids());
        let id = context.open_request_ids.reserve(comment.request_id, now, retains_ids);
        let id = id.map_err(|error| match error {
            ReservationError::InUse => ErrorReply::UnknownClassOrIdInUse,
            ReservationError::TooManyRetained => {
                ErrorReply::RequestRejected { retry_after: context.no_slot_retry_after }
            }
        })?;
        let request = ClientRequest {
            class,
            session: session_key(operation, statement),
            group: comment.group,
            deadline: deadline(context, comment.timeout, arrival_time),
            last_write: comment.last_write,
            query: (),
        };
        Ok(Self { request, id, timeout_digits: comment.timeout_digits.clone() })
    }

    /// Takes the statement out of the buffer; the buffer must start with the statement's message of `size`
    /// bytes.
    pub(super) fn take_statement(self, buffer: &mut ReadBuffer, size: usize) -> RoutableRequest<'a> {
        let Self { request, id, timeout_digits } = self;
        let (buffer, message) = buffer.detach(size);
        let text = message.start + HEADER_SIZE..message.end;
        let timeout_digits = text.start + timeout_digits.start..text.start + timeout_digits.end;
        let ClientRequest { class, session, group, deadline, last_write, query: () } = request;
        let query = ClientStatement { buffer, text, timeout_digits };
        RoutableRequest { request: ClientRequest { class, session, group, deadline, last_write, query }, id }
    }
}

/// The key of the session that a request belongs to, derived from the first quoted literal in its statement.
/// Only writes and read-your-writes reads have a session.
fn session_key(operation: Operation, statement: &str) -> Option<SessionKey> {
    if !matches!(operation, Operation::Write | Operation::Read(Consistency::ReadYourWrites)) {
        return None;
    }
    let key = first_quoted_literal(statement)?;
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    Some(SessionKey(hasher.finish()))
}

/// The deadline of a request. The client's timeout counts from the arrival of the request, which may have
/// waited behind other requests.
fn deadline(context: &ClientContext, timeout: TimeDelta, arrival_time: Option<Instant>) -> Timestamp {
    let waited = arrival_time.map_or(Duration::ZERO, |arrival| arrival.elapsed());
    let timeout = timeout.min(TimeDelta::from(context.longest_deadline));
    context.router.now() - TimeDelta::from(waited) + timeout
}

/// Routes a request and waits for its final response. The request is aborted if the client closes its
/// connection or cancels the request, or if the shutdown terminates requests in flight.
pub(super) async fn serve_request(
    context: &ClientContext,
    connection: &mut ClientConnection<'_>,
    session: &CancellableSession<'_>,
    request: ClientRequest<ClientStatement>,
    id: &OpenRequestId<'_>,
) -> FinalResponse<QueryResponse> {
    // The client may have left long ago, with much that it has sent still unread.
    connection.read_arrived().await;
    // A cancellation affects only the request in flight, not later ones.
    let cancellation = session.next_cancellation();
    let client_closed = async {
        connection.read_until_closed().await;
        AbortReason::ClientDisconnected
    };
    let cancelled = async {
        cancellation.await;
        AbortReason::CancelRequested
    };
    let shutdown = async {
        context.shutdown_stages.terminating.wait().await;
        AbortReason::Shutdown
    };
    let abort = or(client_closed, or(cancelled, shutdown));
    let response = serve(&context.router, &*context.pool, &request, abort).await;
    if may_have_run(&response) && context.class(request.class).retains_ids() {
        id.retain_after(request.deadline);
    }
    record_if_in_doubt(context, request.class, id.as_str(), &response);
    connection.reuse_command_buffer(request.query.buffer);
    response
}

/// Records a write that may have run although no response arrived.
fn record_if_in_doubt(
    context: &ClientContext,
    class: ClassId,
    request_id: &str,
    response: &FinalResponse<QueryResponse>,
) {
    let class = context.class(class);
    if class.operation != Operation::Write {
        return;
    }
    if let Some(endpoint) = may_have_run_at(response) {
        let now = context.router.now();
        context.in_doubt_writes.record(request_id, &class.name, endpoint.clone(), now);
    }
}

/// Whether a request with this final response has run or may have run.
fn may_have_run(response: &FinalResponse<QueryResponse>) -> bool {
    matches!(response, FinalResponse::Served(_)) || may_have_run_at(response).is_some()
}

/// The last endpoint that may have run a request to which no response arrived.
fn may_have_run_at(response: &FinalResponse<QueryResponse>) -> Option<&EndpointId> {
    match response {
        FinalResponse::Failed { in_doubt_endpoint }
        | FinalResponse::Cancelled { in_doubt_endpoint }
        | FinalResponse::ClientDisconnected { in_doubt_endpoint } => in_doubt_endpoint.as_ref(),
        FinalResponse::Served(_) | FinalResponse::Rejected(_) => None,
    }
}
