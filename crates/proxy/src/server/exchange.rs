//! A query exchange with an endpoint: acquires a connection, sends one query and reads the response.

use super::attempt::{AttemptError, AttemptStage};
use super::connection::Connection;
use super::pool::Pool;
use super::response::{self, ServerResponse};
use super::statement::{ClientStatement, QueryResponse};
use crate::protocol::write;
use crate::request::{AttemptContext, AttemptResult, AttemptTransport};
use async_io::Timer;
use futures_lite::future::or;
use pooler_routing::{AttemptOutcome, EndpointId};
use std::cell::Cell;
use std::io;
use std::ops::Range;
use std::time::{Duration, Instant};

/// The query to which a server responds with its load report.
const LOAD_REPORT_QUERY: &str = "SHOW gauges";

/// A query that is sent to an endpoint.
#[derive(Clone, Copy)]
pub(super) enum Query<'a> {
    /// The query for the endpoint's load report.
    LoadReport,
    /// A client's statement.
    Statement {
        statement: &'a ClientStatement,
        /// The context of the attempt that sends the statement.
        context: &'a AttemptContext<'a>,
    },
}

impl Query<'_> {
    /// Writes the query. In a client's statement the timeout is replaced by `timeout`, in milliseconds and at
    /// least 1.
    async fn write(self, connection: &Connection, timeout: Duration) -> io::Result<()> {
        match self {
            Self::LoadReport => {
                let mut query = Vec::with_capacity(32);
                write::query(&mut query, LOAD_REPORT_QUERY);
                connection.write(&[&query]).await
            }
            Self::Statement { statement, .. } => {
                let timeout = timeout.as_millis().max(1).to_string();
                let (before, after) = (statement.before_timeout(), statement.after_timeout());
                let head = write::query_header(before.len() + timeout.len() + after.len());
                connection.write(&[&head, before, timeout.as_bytes(), after]).await
            }
        }
    }

    fn is_still_eligible(self) -> bool {
        match self {
            Self::LoadReport => true,
            Self::Statement { context, .. } => context.still_eligible(),
        }
    }

    fn mark_sent(self) {
        if let Self::Statement { context, .. } = self {
            context.mark_sent();
        }
    }
}

/// A response, and the connection whose buffer holds it.
pub(super) struct Exchange {
    pub(super) connection: Connection,
    pub(super) response: ServerResponse,
}

/// Sends one query and reads the response, both within `timeout`.
///
/// # Errors
///
/// If there is no response, returns the outcome for the router, which depends on how far the exchange had
/// progressed.
pub(super) async fn exchange(
    pool: &Pool,
    endpoint: &EndpointId,
    query: Query<'_>,
    timeout: Duration,
) -> Result<Exchange, AttemptOutcome> {
    let (stage, deadline) = (Cell::new(AttemptStage::AwaitingResources), Instant::now() + timeout);
    let exchanged = async {
        let result = exchange_until(pool, endpoint, query, deadline, &stage).await;
        result.map_err(|error| error.outcome(stage.get()))
    };
    let expired = async {
        Timer::at(deadline).await;
        Err(stage.get().timeout_outcome())
    };
    or(exchanged, expired).await
}

async fn exchange_until(
    pool: &Pool,
    endpoint: &EndpointId,
    query: Query<'_>,
    deadline: Instant,
    stage: &Cell<AttemptStage>,
) -> Result<Exchange, AttemptError> {
    let mut connection = pool.acquire(endpoint, stage).await?;
    // The endpoint may have begun to drain or been removed while the connection was being opened.
    if !pool.accepts_new_work(endpoint) {
        return Err(AttemptError::EndpointNotAccepting);
    }
    // While the connection was being opened, the endpoint's data may have become too stale for a read.
    if !query.is_still_eligible() {
        pool.release(endpoint, connection);
        return Err(AttemptError::NoLongerEligible);
    }
    // The process may have been suspended, in which case the deadline may have passed.
    let timeout = deadline.saturating_duration_since(Instant::now());
    if timeout.is_zero() {
        pool.release(endpoint, connection);
        return Err(AttemptError::DeadlineExpired);
    }
    stage.set(AttemptStage::Writing);
    query.write(&connection, timeout).await?;
    stage.set(AttemptStage::Sent);
    query.mark_sent();
    let response = response::read(&mut connection).await?;
    Ok(Exchange { connection, response })
}

impl AttemptTransport for Pool {
    type Query = ClientStatement;
    type Response = QueryResponse;

    async fn attempt(
        &self,
        endpoint: &EndpointId,
        statement: &ClientStatement,
        timeout: Duration,
        context: &AttemptContext<'_>,
    ) -> AttemptResult<QueryResponse> {
        let query = Query::Statement { statement, context };
        let Exchange { mut connection, response } = match exchange(self, endpoint, query, timeout).await {
            Ok(exchange) => exchange,
            Err(outcome) => return AttemptResult::without_response(outcome),
        };
        let ServerResponse { outcome, server_status, messages, size, ready_for_query, .. } = response;
        let response = if outcome == AttemptOutcome::Ok {
            Some(detach_response(&mut connection, &messages, size))
        } else {
            connection.consume(size);
            None
        };
        if ready_for_query {
            self.release(endpoint, connection);
        }
        let load_report = server_status.load_report(self.load_report_fields());
        AttemptResult { outcome, metadata: server_status.response_metadata(), load_report, response }
    }
}

/// Moves a response of `size` bytes out of the connection, together with the allocation that holds it.
fn detach_response(connection: &mut Connection, messages: &[Range<usize>], size: usize) -> QueryResponse {
    let (buffer, detached) = connection.detach(size);
    let rebased = |message: &Range<usize>| message.start + detached.start..message.end + detached.start;
    QueryResponse::new(buffer, messages.iter().map(rebased).collect())
}
