//! What the client side and the server side exchange: a client's statement, and the response to it.

use std::ops::Range;

/// A statement of a client, in the buffer that it was read into. Only its timeout is rewritten for an attempt.
#[derive(Debug)]
pub struct ClientStatement {
    /// The buffer.
    pub buffer: Vec<u8>,
    /// The statement in it, with its terminating zero byte.
    pub text: Range<usize>,
    /// The digits of the timeout in it.
    pub timeout_digits: Range<usize>,
}

impl ClientStatement {
    /// The statement up to the digits of its timeout.
    pub(super) fn before_timeout(&self) -> &[u8] {
        &self.buffer[self.text.start..self.timeout_digits.start]
    }

    /// The statement from behind the digits of its timeout.
    pub(super) fn after_timeout(&self) -> &[u8] {
        &self.buffer[self.timeout_digits.end..self.text.end]
    }
}

/// A server's response, in the buffer that it was read into.
#[derive(Debug)]
pub struct QueryResponse {
    buffer: Vec<u8>,
    messages: Vec<Range<usize>>,
}

impl QueryResponse {
    /// The response whose messages stand in these parts of the buffer.
    pub(super) fn new(buffer: Vec<u8>, messages: Vec<Range<usize>>) -> Self {
        Self { buffer, messages }
    }

    /// The messages of the response, from RowDescription to CommandComplete.
    pub fn messages(&self) -> impl Iterator<Item = &[u8]> {
        self.messages.iter().map(|message| &self.buffer[message.clone()])
    }
}
