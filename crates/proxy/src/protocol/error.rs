//! Why a stream of messages can't be parsed.

/// A violation of the protocol, after which the stream can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The length is one that no message has, or is over the limit.
    #[error("a message gives its length as {0}")]
    InvalidLength(u32),
    /// The protocol version is not 3.
    #[error("protocol version {major}.{minor} is not spoken here")]
    UnsupportedVersion {
        /// The major version.
        major: u16,
        /// The minor version.
        minor: u16,
    },
    /// The contents of a message are not what its type requires; the text names the part.
    #[error("malformed {0}")]
    Malformed(&'static str),
}
