//! The ways in which a peer answers reads, well or not.

use serde::{Deserialize, Serialize};

/// How a peer answers reads. What makes it fail altogether holds for writes as well.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadBehavior {
    /// As it should.
    #[default]
    Normal,
    /// It closes every connection.
    CloseConnections,
    /// It does not answer.
    Silent,
    /// It answers with an HTTP status.
    Status {
        /// The status.
        code: u16,
        /// The header `Retry-After`, in seconds.
        retry_after: Option<u32>,
    },
    /// It ends in the middle of a body.
    TruncatedBody,
    /// Noise of this size, in MB.
    Noise(usize),
    /// JSON nested to this depth.
    DeeplyNested(usize),
    /// No instance at all.
    Empty,
    /// Only so many of the first instances.
    FirstFew(usize),
    /// A hash code that is wrong.
    WrongHash,
    /// Deltas that lack what has changed.
    LostDelta,
    /// Deltas with the latest change first, each of them twice.
    DisorderedDelta,
}
