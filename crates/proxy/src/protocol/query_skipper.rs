//! Skips commands that a client has sent ahead: only their headers are parsed, and no body is buffered.

use super::error::ProtocolError;
use super::frontend_tag;
use super::limits::MAX_FRONTEND_MESSAGE_SIZE;
use super::message::{self, HEADER_SIZE, TAG_SIZE};

/// Skips a stream of simple queries that arrives in pieces of any size, and counts them.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuerySkipper {
    header: [u8; HEADER_SIZE],
    /// The number of bytes of the current message's header that have arrived.
    header_size: usize,
    /// The number of bytes of the body that have not arrived yet; valid once the header is complete.
    body_remaining: usize,
    query_count: usize,
    terminated: bool,
}

impl QuerySkipper {
    /// Skips the next bytes of the stream; bytes after a Terminate are ignored.
    ///
    /// # Errors
    ///
    /// When the bytes contain a message other than Query and Terminate, or one with an invalid length.
    pub fn advance(&mut self, mut bytes: &[u8]) -> Result<(), ProtocolError> {
        while !bytes.is_empty() && !self.terminated {
            if self.header_size < HEADER_SIZE {
                bytes = self.read_header(bytes);
                if self.header_size < HEADER_SIZE {
                    return Ok(());
                }
                self.parse_header()?;
            }
            let count = bytes.len().min(self.body_remaining);
            self.body_remaining -= count;
            bytes = &bytes[count..];
            if self.body_remaining == 0 {
                self.finish_message();
            }
        }
        Ok(())
    }

    /// Appends bytes to the header until it is complete, and returns the remaining bytes.
    fn read_header<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let count = bytes.len().min(HEADER_SIZE - self.header_size);
        self.header[self.header_size..self.header_size + count].copy_from_slice(&bytes[..count]);
        self.header_size += count;
        &bytes[count..]
    }

    fn parse_header(&mut self) -> Result<(), ProtocolError> {
        if !matches!(self.header[0], frontend_tag::QUERY | frontend_tag::TERMINATE) {
            return Err(ProtocolError::Malformed("message far ahead"));
        }
        let length = message::parse_length(&self.header[TAG_SIZE..], MAX_FRONTEND_MESSAGE_SIZE)?;
        // The length includes its own word, which is part of the header.
        self.body_remaining = length.map_or(0, |length| length + TAG_SIZE - HEADER_SIZE);
        Ok(())
    }

    fn finish_message(&mut self) {
        self.header_size = 0;
        match self.header[0] {
            frontend_tag::QUERY => self.query_count += 1,
            _ => self.terminated = true,
        }
    }

    /// The number of complete queries skipped since the last call of
    /// [`take_query_count`](Self::take_query_count).
    #[must_use]
    pub fn query_count(&self) -> usize {
        self.query_count
    }

    /// Returns the number of skipped queries and resets it to 0.
    pub fn take_query_count(&mut self) -> usize {
        std::mem::take(&mut self.query_count)
    }

    /// Whether no message is partly read.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        self.header_size == 0
    }

    /// Whether a Terminate has been read.
    #[must_use]
    pub fn is_terminated(&self) -> bool {
        self.terminated
    }
}
