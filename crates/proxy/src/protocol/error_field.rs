//! The field type bytes of an ErrorResponse.

/// The severity, possibly localized.
pub(super) const SEVERITY: u8 = b'S';
/// The severity, never localized.
pub(super) const SEVERITY_NON_LOCALIZED: u8 = b'V';
/// The SQLSTATE code.
pub(super) const CODE: u8 = b'C';
/// The human-readable message.
pub(super) const MESSAGE: u8 = b'M';
/// The optional detail of the message.
pub(super) const DETAIL: u8 = b'D';
