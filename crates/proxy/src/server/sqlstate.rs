//! Maps the error codes of servers to the outcomes of attempts.

use crate::protocol::SqlState;
use pooler_routing::AttemptOutcome;

/// The outcome of a statement to which a server responded with an error. Only the codes listed here prove
/// that the statement did not run.
pub(super) fn statement_error_outcome(code: SqlState) -> AttemptOutcome {
    match code {
        SqlState::TOO_MANY_CONNECTIONS => AttemptOutcome::Rejected,
        SqlState::READ_ONLY_SQL_TRANSACTION | SqlState::SNAPSHOT_TOO_OLD => AttemptOutcome::NotEligible,
        _ => AttemptOutcome::Error,
    }
}

/// The outcome of an attempt whose connection a server rejected with an error. No query was sent, whatever
/// the code.
pub(super) fn connection_error_outcome(code: SqlState) -> AttemptOutcome {
    match code {
        SqlState::TOO_MANY_CONNECTIONS | SqlState::CANNOT_CONNECT_NOW => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ConnectionLostBeforeSend,
    }
}
