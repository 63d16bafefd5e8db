//! The faults that a registry peer can inject into its responses.

use serde::{Deserialize, Serialize};

/// How a peer answers reads of instance lists. `CloseConnections`, `Silent` and `Status` apply to writes as
/// well. A read of a single instance on an open connection is always answered normally.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadBehavior {
    /// Answers correctly.
    #[default]
    Normal,
    /// Closes new connections at once, and open ones at their next list read or write.
    CloseConnections,
    /// Accepts requests without answering them.
    Silent,
    /// Answers with an HTTP status and no body.
    Status {
        /// The HTTP status code.
        code: u16,
        /// The value of the `Retry-After` header in seconds; `None` omits the header.
        retry_after: Option<u32>,
    },
    /// Sends the first half of the encoded list as if it were the whole body.
    TruncatedBody,
    /// Sends a body of this many MB of pseudorandom bytes, labeled as JSON.
    Noise(usize),
    /// Sends unterminated JSON nested to this depth.
    DeeplyNested(usize),
    /// Lists no instances, with an empty hash code.
    Empty,
    /// Lists at most this many instances, the first in order, with the hash code of this shorter list.
    FirstFew(usize),
    /// Sends a hash code that does not match the registrations.
    WrongHash,
    /// Sends deltas without changes; their hash code still covers the changes.
    LostDelta,
    /// Sends deltas that list the changes latest first, and then the same list again.
    DisorderedDelta,
}
