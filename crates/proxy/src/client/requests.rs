//! Making a request of a statement, and serving it until it has its final response.

use crate::buffer::ReadBuffer;
use crate::client::cancellation::CancellableSession;
use crate::client::connection::ClientConnection;
use crate::client::context::ClientContext;
use crate::client::open_request_ids::OpenRequestId;
use crate::protocol::{HEADER_SIZE, RequestComment, first_quoted_literal};
use crate::request::{AbortReason, ClientRequest, FinalResponse, serve};
use crate::server::statement::{ClientStatement, QueryResponse};
use futures_lite::future::or;
use pooler_routing::{ClassId, Consistency, EndpointId, Operation, SessionKey, TimeDelta, Timestamp};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::{Duration, Instant};

/// A request with its statement, ready to be routed.
pub(super) struct RoutedRequest<'a> {
    /// The request.
    pub(super) request: ClientRequest<ClientStatement>,
    /// Its id, which is in use until the request has its final response.
    pub(super) id: OpenRequestId<'a>,
}

/// A request whose statement is still in the read buffer.
pub(super) struct UnsentRequest<'a> {
    request: ClientRequest<()>,
    id: OpenRequestId<'a>,
    /// Where the digits of the timeout are in the statement.
    timeout_digits: Range<usize>,
}

impl<'a> UnsentRequest<'a> {
    /// The request that a statement makes; `None` if its class is unknown or its id in use.
    pub(super) fn new(
        context: &'a ClientContext,
        statement: &str,
        comment: &RequestComment<'_>,
        arrival_time: Option<Instant>,
    ) -> Option<Self> {
        let class = context.class_id(comment.class)?;
        let id = context.open_request_ids.reserve(comment.request_id)?;
        let operation = context.class(class).operation;
        let request = ClientRequest {
            class,
            session: session_key(operation, statement),
            group: comment.group,
            deadline: deadline(context, comment.timeout, arrival_time),
            last_write: comment.last_write,
            query: (),
        };
        Some(Self { request, id, timeout_digits: comment.timeout_digits.clone() })
    }

    /// Takes the statement out of the buffer, where it is the message of `size` bytes at the front.
    pub(super) fn take_statement(self, buffer: &mut ReadBuffer, size: usize) -> RoutedRequest<'a> {
        let Self { request, id, timeout_digits } = self;
        let (buffer, message) = buffer.detach(size);
        let text = message.start + HEADER_SIZE..message.end;
        let timeout_digits = text.start + timeout_digits.start..text.start + timeout_digits.end;
        let ClientRequest { class, session, group, deadline, last_write, query: () } = request;
        let query = ClientStatement { buffer, text, timeout_digits };
        RoutedRequest { request: ClientRequest { class, session, group, deadline, last_write, query }, id }
    }
}

/// The session that a request belongs to, by the key in its statement; only writes and the reads that have to see them
/// have one.
fn session_key(operation: Operation, statement: &str) -> Option<SessionKey> {
    if !matches!(operation, Operation::Write | Operation::Read(Consistency::ReadYourWrites)) {
        return None;
    }
    let key = first_quoted_literal(statement)?;
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    Some(SessionKey(hasher.finish()))
}

/// When the client gives up. Its timeout counts from when it sent the request, which may have waited behind others.
fn deadline(context: &ClientContext, timeout: TimeDelta, arrival_time: Option<Instant>) -> Timestamp {
    let waited = arrival_time.map_or(Duration::ZERO, |arrival| arrival.elapsed());
    let timeout = timeout.min(TimeDelta::from(context.longest_deadline));
    context.router.now() - TimeDelta::from(waited) + timeout
}

/// Routes a request and waits for its final response. It is abandoned when the client closes its connection or cancels
/// the request, or the process ends.
pub(super) async fn serve_request(
    context: &ClientContext,
    connection: &mut ClientConnection<'_>,
    session: &CancellableSession<'_>,
    request: ClientRequest<ClientStatement>,
    request_id: &str,
) -> FinalResponse<QueryResponse> {
    // A cancellation concerns the request in flight, and none that follows it.
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
    record_if_in_doubt(context, request.class, request_id, &response);
    connection.reuse_command_buffer(request.query.buffer);
    response
}

/// Records a write that may have run without a response.
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

/// The last endpoint that may have run a request without a response.
fn may_have_run_at(response: &FinalResponse<QueryResponse>) -> Option<&EndpointId> {
    match response {
        FinalResponse::Failed { in_doubt_at }
        | FinalResponse::Cancelled { in_doubt_at }
        | FinalResponse::ClientDisconnected { in_doubt_at } => in_doubt_at.as_ref(),
        FinalResponse::Served(_) | FinalResponse::Rejected(_) => None,
    }
}
