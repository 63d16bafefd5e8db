//! The data that the client side and the server side exchange: a client's statement, and a server's response.

use crate::reserved_bytes::ReservedBytes;
use std::ops::Range;

/// A client's statement in the buffer that it was read into. For an attempt, only the timeout in it is
/// replaced.
#[derive(Debug)]
pub struct ClientStatement {
    /// The bytes that hold the statement; the ranges refer to them.
    pub buffer: ReservedBytes,
    /// The range of the statement, including its terminating zero byte.
    pub text: Range<usize>,
    /// The range of the digits of the statement's timeout.
    pub timeout_digits: Range<usize>,
}

impl ClientStatement {
    /// The part of the statement before the digits of its timeout.
    pub(super) fn before_timeout(&self) -> &[u8] {
        &self.buffer[self.text.start..self.timeout_digits.start]
    }

    /// The part of the statement after the digits of its timeout, including the terminating zero byte.
    pub(super) fn after_timeout(&self) -> &[u8] {
        &self.buffer[self.timeout_digits.end..self.text.end]
    }
}

/// A server's response in the buffer that it was read into.
#[derive(Debug)]
pub struct QueryResponse {
    buffer: ReservedBytes,
    messages: Vec<Range<usize>>,
}

impl QueryResponse {
    /// The response that consists of the messages in these ranges of `buffer`.
    pub(super) fn new(buffer: ReservedBytes, messages: Vec<Range<usize>>) -> Self {
        Self { buffer, messages }
    }

    /// The memory that the response holds as far as it is counted, in bytes.
    pub fn counted_size(&self) -> usize {
        self.buffer.counted_size()
    }

    /// The messages of the response, from RowDescription to CommandComplete.
    pub fn messages(&self) -> impl Iterator<Item = &[u8]> {
        self.messages.iter().map(|message| &self.buffer[message.clone()])
    }
}
