//! Commands of a client that are passed over unread: they are told apart by their heads, and nothing of them is kept.

use super::{LONGEST, PgError, length};

/// A tag and a length.
const HEAD: usize = 5;

/// Passes over a stream of simple queries, in pieces of any size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Skipper {
    head: [u8; HEAD],
    /// How many bytes of the head are there.
    known: usize,
    /// How many bytes of the body are still to come, once the head is known.
    left: usize,
    queries: usize,
    ended: bool,
}

impl Skipper {
    /// Passes over the next bytes.
    ///
    /// # Errors
    ///
    /// When they hold a message that is neither a query nor the end of the session, or has an impossible length.
    pub fn advance(&mut self, mut bytes: &[u8]) -> Result<(), PgError> {
        while !bytes.is_empty() && !self.ended {
            if self.known < HEAD {
                let count = bytes.len().min(HEAD - self.known);
                self.head[self.known..self.known + count].copy_from_slice(&bytes[..count]);
                self.known += count;
                bytes = &bytes[count..];
                if self.known < HEAD {
                    return Ok(());
                }
                if !matches!(self.head[0], b'Q' | b'X') {
                    return Err(PgError::Malformed("message far ahead"));
                }
                // The length word counts itself, and has just been read.
                self.left = length(&self.head[1..], LONGEST)?.map_or(0, |length| length + 1 - HEAD);
            }
            let count = bytes.len().min(self.left);
            self.left -= count;
            bytes = &bytes[count..];
            if self.left == 0 {
                self.known = 0;
                match self.head[0] {
                    b'Q' => self.queries += 1,
                    _ => self.ended = true,
                }
            }
        }
        Ok(())
    }

    /// How many whole queries have been passed over.
    #[must_use]
    pub fn queries(&self) -> usize {
        self.queries
    }

    /// Forgets the queries that were passed over so far, and gives how many these were.
    pub fn take_queries(&mut self) -> usize {
        std::mem::take(&mut self.queries)
    }

    /// Whether the stream stands between two messages.
    #[must_use]
    pub fn is_between(&self) -> bool {
        self.known == 0
    }

    /// Whether the client has ended its session.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended
    }
}
