//! SQLSTATE error codes.

/// The size of an SQLSTATE code, in bytes.
const CODE_SIZE: usize = 5;

/// The SQLSTATE code of an error. The constants are named after the condition names in PostgreSQL's
/// documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState(pub [u8; CODE_SIZE]);

impl SqlState {
    /// `08007`, transaction_resolution_unknown.
    pub const TRANSACTION_RESOLUTION_UNKNOWN: Self = Self(*b"08007");
    /// `08P01`, protocol_violation.
    pub const PROTOCOL_VIOLATION: Self = Self(*b"08P01");
    /// `0A000`, feature_not_supported.
    pub const FEATURE_NOT_SUPPORTED: Self = Self(*b"0A000");
    /// `25006`, read_only_sql_transaction.
    pub const READ_ONLY_SQL_TRANSACTION: Self = Self(*b"25006");
    /// `42601`, syntax_error.
    pub const SYNTAX_ERROR: Self = Self(*b"42601");
    /// `53300`, too_many_connections.
    pub const TOO_MANY_CONNECTIONS: Self = Self(*b"53300");
    /// `57014`, query_canceled.
    pub const QUERY_CANCELED: Self = Self(*b"57014");
    /// `57P03`, cannot_connect_now.
    pub const CANNOT_CONNECT_NOW: Self = Self(*b"57P03");
    /// `72000`, snapshot_too_old.
    pub const SNAPSHOT_TOO_OLD: Self = Self(*b"72000");
}

/// The error for a code that is not five bytes long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an SQLSTATE code must be {CODE_SIZE} bytes long")]
pub struct InvalidSqlState;

impl TryFrom<&[u8]> for SqlState {
    type Error = InvalidSqlState;

    fn try_from(code: &[u8]) -> Result<Self, InvalidSqlState> {
        code.try_into().map(Self).map_err(|_| InvalidSqlState)
    }
}

impl TryFrom<&str> for SqlState {
    type Error = InvalidSqlState;

    fn try_from(code: &str) -> Result<Self, InvalidSqlState> {
        code.as_bytes().try_into()
    }
}
