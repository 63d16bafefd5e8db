//! Why the connection of a client was closed.

/// Why the connection of a client was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, ended its session or only requested a cancellation.
    Client,
    /// Another client needed its slot.
    Eviction,
    /// The client did not complete a command in time.
    CommandTimeout,
    /// The pooler is shutting down.
    Shutdown,
    /// No slot was free for the client.
    NoSlot,
    /// The client sent too many commands that were rejected.
    TooManyRejections,
    /// The client violated the protocol.
    ProtocolViolation,
    /// There was no memory for a command, or its memory was needed for others.
    OutOfMemory,
    /// The client did not read a response in time, or while its memory was needed for others.
    UnreadResponse,
    /// Reading from or writing to the connection failed.
    ConnectionError,
}

impl CloseReason {
    /// All reasons with their names in the status report, in the order of their discriminants.
    pub const NAMES: [(Self, &str); 10] = [
        (Self::Client, "client"),
        (Self::Eviction, "eviction"),
        (Self::CommandTimeout, "command_timeout"),
        (Self::Shutdown, "shutdown"),
        (Self::NoSlot, "no_slot"),
        (Self::TooManyRejections, "too_many_rejections"),
        (Self::ProtocolViolation, "protocol_violation"),
        (Self::OutOfMemory, "out_of_memory"),
        (Self::UnreadResponse, "unread_response"),
        (Self::ConnectionError, "connection_error"),
    ];

    /// Whether the pooler closed the connection between two reads, without an error of the client's.
    #[must_use]
    pub fn is_by_pooler(self) -> bool {
        matches!(self, Self::Eviction | Self::CommandTimeout | Self::Shutdown)
    }
}
