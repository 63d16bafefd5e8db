//! Errors of the protocol parsers.

/// A violation of the protocol. The stream can't be parsed any further after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The length of a message, in bytes, is smaller than its length word or exceeds the limit.
    #[error("a message gives its length as {0}")]
    InvalidLength(u32),
    /// The client requested a major protocol version other than 3.
    #[error("protocol version {major}.{minor} is not spoken here")]
    UnsupportedVersion {
        /// The requested major version.
        major: u16,
        /// The requested minor version.
        minor: u16,
    },
    /// The client requested encryption again after it was told that encryption is not supported.
    #[error("encryption was requested again")]
    RepeatedEncryptionRequest,
    /// A part of the stream is malformed; the text names the part.
    #[error("malformed {0}")]
    Malformed(&'static str),
}
