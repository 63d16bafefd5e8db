//! Splits a stream of bytes into the JSON objects in it.

/// The largest object, in bytes.
const MAX_OBJECT_SIZE: usize = 8 * 1024 * 1024;

/// Why a stream is not a valid stream of JSON objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// A byte between two objects that neither begins an object nor is white space.
    #[error("byte {0} between two lists")]
    UnexpectedByte(u8),
    /// An empty line inside an object: a keep-alive followed an object that was truncated.
    #[error("an empty line inside a list")]
    Truncated,
    /// An object exceeds the size limit.
    #[error("a list without an end")]
    TooLong,
}

/// Splits a stream into JSON objects, whatever their line breaks. Each byte is scanned once.
#[derive(Debug, Default)]
pub struct JsonStream {
    buffer: Vec<u8>,
    /// The number of bytes in the buffer that have been scanned.
    scanned: usize,
    /// The number of open braces.
    depth: usize,
    in_string: bool,
    after_backslash: bool,
    /// Whether the current line has nothing but white space so far.
    line_is_empty: bool,
}

impl JsonStream {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete object, if there is one. Empty lines between objects are keep-alives, and are
    /// skipped.
    ///
    /// # Errors
    ///
    /// When the stream is not a valid stream of objects.
    pub fn next_object(&mut self) -> Result<Option<Vec<u8>>, JsonStreamError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            self.check_line(byte)?;
            if self.ends_object(byte)? {
                return Ok(Some(self.split_off_object()));
            }
        }
        if self.depth == 0 {
            self.buffer.clear();
            self.scanned = 0;
        }
        if self.buffer.len() > MAX_OBJECT_SIZE { Err(JsonStreamError::TooLong) } else { Ok(None) }
    }

    /// Fails at the end of an empty line inside an object.
    fn check_line(&mut self, byte: u8) -> Result<(), JsonStreamError> {
        match byte {
            b'\n' if self.depth > 0 && self.line_is_empty => return Err(JsonStreamError::Truncated),
            b'\n' => self.line_is_empty = true,
            byte => self.line_is_empty &= byte.is_ascii_whitespace(),
        }
        Ok(())
    }

    /// Whether the outermost object ends with this byte.
    fn ends_object(&mut self, byte: u8) -> Result<bool, JsonStreamError> {
        match byte {
            _ if self.after_backslash => self.after_backslash = false,
            b'\\' if self.in_string => self.after_backslash = true,
            b'"' if self.depth > 0 => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' => self.depth += 1,
            b'}' if self.depth > 0 => {
                self.depth -= 1;
                return Ok(self.depth == 0);
            }
            _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
            _ => return Err(JsonStreamError::UnexpectedByte(byte)),
        }
        Ok(false)
    }

    /// Removes the scanned bytes from the buffer.
    fn split_off_object(&mut self) -> Vec<u8> {
        let rest = self.buffer.split_off(self.scanned);
        self.scanned = 0;
        std::mem::replace(&mut self.buffer, rest)
    }
}
