//! Splits a byte stream into the JSON objects that it contains.

/// The maximum size of an object, in bytes.
const MAX_OBJECT_SIZE: usize = 8 * 1024 * 1024;

/// The reason why a byte stream is not a valid stream of JSON objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// A byte between two objects that is neither the start of an object nor white space.
    #[error("unexpected byte {0} between two JSON objects")]
    UnexpectedByte(u8),
    /// An empty line inside an object, which is a keep-alive that followed a truncated object.
    #[error("empty line inside a JSON object, which was truncated")]
    Truncated,
    /// An object exceeds the size limit.
    #[error("JSON object exceeds 8 MiB")]
    TooLarge,
}

/// Splits a byte stream into JSON objects, regardless of line breaks in and between them. Each byte is
/// scanned once.
#[derive(Debug, Default)]
pub struct JsonStream {
    buffer: Vec<u8>,
    /// The offset in the buffer of the first byte that no returned object contains.
    start: usize,
    /// The offset in the buffer of the first byte that has not been scanned.
    scanned: usize,
    /// The number of braces that are open at the scan position.
    depth: usize,
    in_string: bool,
    after_backslash: bool,
    /// Whether the scanned part of the current line consists of white space only.
    line_is_empty: bool,
}

impl JsonStream {
    /// The memory that the stream has allocated, in bytes.
    #[must_use]
    pub fn allocated(&self) -> usize {
        self.buffer.capacity()
    }

    /// The memory that the stream will have allocated, in bytes, once `count` more bytes have been appended.
    #[must_use]
    pub fn allocation_for(&self, count: usize) -> usize {
        let size = self.buffer.len() - self.start + count;
        let capacity = self.buffer.capacity();
        if size <= capacity { capacity } else { size.max(capacity + capacity / 4) }
    }

    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let allocation = self.allocation_for(bytes.len());
        self.buffer.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.buffer.reserve_exact(allocation - self.buffer.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete object, if there is one. Skips empty lines between objects,
    /// which are keep-alives.
    ///
    /// # Errors
    ///
    /// Fails if the stream is not a valid stream of JSON objects.
    pub fn next_object(&mut self) -> Result<Option<&[u8]>, JsonStreamError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            self.check_for_empty_line(byte)?;
            if self.ends_object(byte)? {
                return Ok(Some(self.take_object()));
            }
        }
        if self.depth == 0 {
            self.buffer = Vec::new();
            self.start = 0;
            self.scanned = 0;
        }
        if self.buffer.len() - self.start > MAX_OBJECT_SIZE {
            Err(JsonStreamError::TooLarge)
        } else {
            Ok(None)
        }
    }

    /// Fails at the end of an empty line inside an object.
    fn check_for_empty_line(&mut self, byte: u8) -> Result<(), JsonStreamError> {
        match byte {
            b'\n' if self.depth > 0 && self.line_is_empty => return Err(JsonStreamError::Truncated),
            b'\n' => self.line_is_empty = true,
            byte => self.line_is_empty &= byte.is_ascii_whitespace(),
        }
        Ok(())
    }

    /// Updates the scan state for the next byte. Returns whether the outermost object ends with it.
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

    /// Returns the scanned bytes since the last object, which end with a complete object. They stay in the
    /// buffer until more bytes are pushed, so that the bytes after them need not be moved for each object.
    fn take_object(&mut self) -> &[u8] {
        let object = self.start..self.scanned;
        self.start = self.scanned;
        &self.buffer[object]
    }
}
