//! Skipping commands that a client has sent ahead: they are told apart by their headers, and no body is kept.

use super::error::ProtocolError;
use super::frontend_tag;
use super::limits::MAX_FRONTEND_MESSAGE_SIZE;
use super::message::{self, HEADER_SIZE, TAG_SIZE};

/// Skips a stream of simple queries that arrives in pieces of any size.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuerySkipper {
    header: [u8; HEADER_SIZE],
    /// How many bytes of the header have arrived.
    header_size: usize,
    /// How many bytes of the body are still to come, once the header is complete.
    body_remaining: usize,
    queries: usize,
    terminated: bool,
}

impl QuerySkipper {
    /// Skips the next bytes.
    ///
    /// # Errors
    ///
    /// When they hold a message other than Query and Terminate, or one with an impossible length.
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

    /// Adds bytes to the header until it is complete, and gives the bytes after those.
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
        // The length counts its own word, which is part of the header.
        self.body_remaining = length.map_or(0, |length| length + TAG_SIZE - HEADER_SIZE);
        Ok(())
    }

    fn finish_message(&mut self) {
        self.header_size = 0;
        match self.header[0] {
            frontend_tag::QUERY => self.queries += 1,
            _ => self.terminated = true,
        }
    }

    /// How many complete queries have been skipped since they were last taken.
    #[must_use]
    pub fn queries(&self) -> usize {
        self.queries
    }

    /// Resets the number of skipped queries, and gives what it was.
    pub fn take_queries(&mut self) -> usize {
        std::mem::take(&mut self.queries)
    }

    /// Whether the stream is between two messages.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        self.header_size == 0
    }

    /// Whether the client has sent Terminate.
    #[must_use]
    pub fn is_terminated(&self) -> bool {
        self.terminated
    }
}
