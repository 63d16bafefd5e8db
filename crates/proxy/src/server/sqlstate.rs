//! What a server's error codes tell about an attempt.

use crate::protocol::Code;
use pooler_routing::AttemptOutcome;

const TOO_MANY_CONNECTIONS: &[u8; 5] = b"53300";
const CANNOT_CONNECT_NOW: &[u8; 5] = b"57P03";
const READ_ONLY_SQL_TRANSACTION: &[u8; 5] = b"25006";
const SNAPSHOT_TOO_OLD: &[u8; 5] = b"72000";

/// The outcome of a statement that a server answered with an error: only these codes prove that nothing ran.
pub(super) fn statement_error_outcome(code: Code) -> AttemptOutcome {
    match &code.0 {
        TOO_MANY_CONNECTIONS => AttemptOutcome::Rejected,
        READ_ONLY_SQL_TRANSACTION | SNAPSHOT_TOO_OLD => AttemptOutcome::NotEligible,
        _ => AttemptOutcome::Error,
    }
}

/// The outcome of an attempt whose connection a server turned away with an error: nothing was sent, whatever the code.
pub(super) fn connection_error_outcome(code: Code) -> AttemptOutcome {
    match &code.0 {
        TOO_MANY_CONNECTIONS | CANNOT_CONNECT_NOW => AttemptOutcome::Rejected,
        _ => AttemptOutcome::ConnectionLostBeforeSend,
    }
}
