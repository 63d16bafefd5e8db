//! Making a request of a statement, and serving it until it has its final response.

use crate::buffer::ReadBuffer;
use crate::client::connection::ClientConnection;
use crate::client::context::ClientContext;
use crate::client::open_request_ids::OpenRequestId;
use crate::client::session_keys::RegisteredSession;
use crate::protocol::{HEADER_SIZE, RequestComment, first_quoted_literal};
use crate::request::{Asked, Cut, Final, serve};
use crate::server::pool::{Reply, Statement};
use futures_lite::future::or;
use pooler_routing::{
    ClassId, Consistency, EndpointId, GroupId, Operation, SessionKey, TimeDelta, Timestamp,
};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::time::{Duration, Instant};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// A request with its statement, ready to be routed.
pub(super) struct RoutedRequest<'a> {
    /// The request.
    pub(super) request: Asked<Statement>,
    /// Its id, which is in use until the request has its final response.
    pub(super) id: OpenRequestId<'a>,
}

/// A request whose statement is still in the read buffer.
pub(super) struct UnsentRequest<'a> {
    request: Asked<()>,
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
        let request = Asked {
            class,
            session: session_key(operation, statement),
            group: GroupId(comment.group),
            deadline: deadline(context, comment.timeout_ms, arrival_time),
            last_write: comment.last_write_ms.map(|millis| Timestamp((millis * MICROS_PER_MILLI) as i64)),
            query: (),
        };
        Some(Self { request, id, timeout_digits: comment.timeout_digits.clone() })
    }

    /// Takes the statement out of the buffer, where it is the message of `size` bytes at the front.
    pub(super) fn take_statement(self, buffer: &mut ReadBuffer, size: usize) -> RoutedRequest<'a> {
        let Self { request, id, timeout_digits } = self;
        let (bytes, message) = buffer.detach(size);
        let whole = message.start + HEADER_SIZE..message.end;
        let wait = timeout_digits.start + whole.start..timeout_digits.end + whole.start;
        let Asked { class, session, group, deadline, last_write, query: () } = request;
        let query = Statement { bytes, whole, wait };
        RoutedRequest { request: Asked { class, session, group, deadline, last_write, query }, id }
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
fn deadline(context: &ClientContext, timeout_ms: f64, arrival_time: Option<Instant>) -> Timestamp {
    let waited = arrival_time.map_or(Duration::ZERO, |arrival| arrival.elapsed());
    let timeout = TimeDelta((timeout_ms * MICROS_PER_MILLI) as i64);
    context.router.clock.now() - time_delta(waited) + timeout.min(time_delta(context.longest_deadline))
}

fn time_delta(duration: Duration) -> TimeDelta {
    TimeDelta(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

/// Routes a request and waits for its final response. It is abandoned when the client closes its connection or cancels
/// the request, or the process ends.
pub(super) async fn serve_request(
    context: &ClientContext,
    connection: &mut ClientConnection<'_>,
    session: &RegisteredSession<'_>,
    request: Asked<Statement>,
    request_id: &str,
) -> Final<Reply> {
    // A cancellation concerns the request in flight, and none that follows it.
    let cancellation = session.next_cancellation();
    let client_closed = async {
        connection.read_until_closed().await;
        Cut::ClientLeft
    };
    let cancelled = async {
        cancellation.await;
        Cut::Cancelled
    };
    let shutdown = async {
        context.shutdown_stages.ending.raised().await;
        Cut::ProcessEnds
    };
    let abort = or(client_closed, or(cancelled, shutdown));
    let response = serve(&context.router, &*context.pool, &request, abort).await;
    record_if_in_doubt(context, request.class, request_id, &response);
    connection.reuse_command_buffer(request.query.bytes);
    response
}

/// Records a write that may have run without a response.
fn record_if_in_doubt(context: &ClientContext, class: ClassId, request_id: &str, response: &Final<Reply>) {
    let class = context.class(class);
    if class.operation != Operation::Write {
        return;
    }
    if let Some(endpoint) = may_have_run_at(response) {
        let now = context.router.clock.now();
        context.in_doubt_writes.record(request_id, &class.name, Some(endpoint.clone()), now);
    }
}

/// The last endpoint that may have run a request without a response.
fn may_have_run_at(response: &Final<Reply>) -> Option<&EndpointId> {
    match response {
        Final::Failed { at } | Final::Cancelled { at } | Final::Gone { at } => at.as_ref(),
        Final::Served(_) | Final::Refused(_) => None,
    }
}
