//! The message type bytes of the messages that a server sends.

/// AuthenticationOk and the other authentication messages.
pub const AUTHENTICATION: u8 = b'R';
/// BackendKeyData.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// CommandComplete.
pub const COMMAND_COMPLETE: u8 = b'C';
/// DataRow.
pub const DATA_ROW: u8 = b'D';
/// EmptyQueryResponse.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// ErrorResponse.
pub const ERROR_RESPONSE: u8 = b'E';
/// NoticeResponse.
pub const NOTICE_RESPONSE: u8 = b'N';
/// NotificationResponse.
pub const NOTIFICATION_RESPONSE: u8 = b'A';
/// ParameterStatus.
pub const PARAMETER_STATUS: u8 = b'S';
/// ReadyForQuery.
pub const READY_FOR_QUERY: u8 = b'Z';
/// RowDescription.
pub const ROW_DESCRIPTION: u8 = b'T';
