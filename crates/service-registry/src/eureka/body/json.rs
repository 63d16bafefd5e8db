//! A JSON scanner that reads just enough to find the objects under the key `instance`. Their contents are not
//! parsed here.

use super::{
    BodyItem, HASH_CODE, INSTANCE, ItemHandler, LocatedError, MAX_DEPTH, MAX_INSTANCE_BYTES, MAX_TOKEN_BYTES,
    ScanError, SyntaxError,
};

/// The token that the scanner is in, or that must come next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    ExpectValue,
    ExpectValueOrArrayEnd,
    ExpectKeyOrObjectEnd,
    ExpectKey,
    ExpectColon,
    ExpectCommaOrEnd,
    InString {
        is_key: bool,
        escaped: bool,
    },
    /// Inside a number, `true`, `false` or `null`.
    InLiteral,
    Complete,
}

/// An open object or array.
#[derive(Debug)]
struct Container {
    kind: ContainerKind,
    /// Whether the container stands under the key `instance`, so that the objects in it are instances.
    holds_instances: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ContainerKind {
    Object,
    Array,
}

/// An incremental scanner: a body may be split after any byte.
#[derive(Debug, Default)]
pub(super) struct JsonScanner {
    state: State,
    /// The open containers, outermost first.
    containers: Vec<Container>,
    /// The scalar value that is being read or was read last; of a string, at most [`MAX_TOKEN_BYTES`].
    value: Vec<u8>,
    /// The object key that is being read or was read last.
    key: Vec<u8>,
    /// The instance that is being read, if any.
    capture: Option<InstanceCapture>,
}

impl JsonScanner {
    pub(super) fn push(&mut self, bytes: &[u8], handler: &mut ItemHandler<'_>) -> Result<(), LocatedError> {
        let mut offset = 0;
        while offset < bytes.len() {
            if self.capture.is_some() {
                offset = self.scan_instance(bytes, offset, handler)?;
            } else {
                self.scan_byte(bytes[offset], handler).map_err(|error| error.at(offset))?;
                offset += 1;
            }
        }
        Ok(())
    }

    pub(super) fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Scans the bytes of the current instance from `start`; returns the offset after the last one scanned.
    fn scan_instance(
        &mut self,
        bytes: &[u8],
        start: usize,
        handler: &mut ItemHandler<'_>,
    ) -> Result<usize, LocatedError> {
        let Some(capture) = &mut self.capture else { return Ok(start) };
        let instance_end = capture.find_end(bytes, start)?;
        let end = instance_end.unwrap_or(bytes.len());
        capture.append(&bytes[start..end]).map_err(|error| error.at(start))?;
        if instance_end.is_some() {
            let handled = handler(BodyItem::Instance(&capture.bytes));
            self.capture = None;
            self.state = State::ExpectCommaOrEnd;
            handled.map_err(|error| ScanError::from(error).at(start))?;
        }
        Ok(end)
    }

    /// Scans one byte outside of instances.
    fn scan_byte(&mut self, byte: u8, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        match self.state {
            State::InString { is_key, escaped } => return self.scan_string(byte, is_key, escaped, handler),
            State::InLiteral if is_literal_byte(byte) => return self.scan_literal(byte),
            State::InLiteral => self.end_scalar(handler)?,
            _ => {}
        }
        if !matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
            self.scan_structure(byte)?;
        }
        Ok(())
    }

    /// Scans one byte outside of strings and literals.
    fn scan_structure(&mut self, byte: u8) -> Result<(), ScanError> {
        match (self.state, byte) {
            (State::ExpectValue | State::ExpectValueOrArrayEnd, b'{') => self.open(ContainerKind::Object),
            (State::ExpectValue | State::ExpectValueOrArrayEnd, b'[') => self.open(ContainerKind::Array),
            (State::ExpectValue | State::ExpectValueOrArrayEnd, b'"') => {
                self.value.clear();
                self.state = State::InString { is_key: false, escaped: false };
                Ok(())
            }
            (State::ExpectValue | State::ExpectValueOrArrayEnd, b'-' | b'0'..=b'9' | b't' | b'f' | b'n') => {
                self.value.clear();
                self.state = State::InLiteral;
                self.scan_literal(byte)
            }
            (State::ExpectKeyOrObjectEnd | State::ExpectKey, b'"') => {
                self.key.clear();
                self.state = State::InString { is_key: true, escaped: false };
                Ok(())
            }
            (State::ExpectColon, b':') => {
                self.state = State::ExpectValue;
                Ok(())
            }
            (State::ExpectCommaOrEnd, b',') => {
                self.state = match self.containers.last().map(|container| container.kind) {
                    Some(ContainerKind::Array) => State::ExpectValue,
                    _ => State::ExpectKey,
                };
                Ok(())
            }
            (State::ExpectValueOrArrayEnd | State::ExpectCommaOrEnd, b']') => {
                self.close(ContainerKind::Array)
            }
            (State::ExpectKeyOrObjectEnd | State::ExpectCommaOrEnd, b'}') => {
                self.close(ContainerKind::Object)
            }
            (State::Complete, _) => Err(SyntaxError::TrailingData.into()),
            _ => Err(SyntaxError::InvalidJson.into()),
        }
    }

    /// Scans one byte of a number, `true`, `false` or `null`.
    fn scan_literal(&mut self, byte: u8) -> Result<(), ScanError> {
        if self.value.len() >= MAX_TOKEN_BYTES {
            return Err(SyntaxError::LiteralTooLong.into());
        }
        self.value.push(byte);
        Ok(())
    }

    /// Scans one byte of a string.
    fn scan_string(
        &mut self,
        byte: u8,
        is_key: bool,
        escaped: bool,
        handler: &mut ItemHandler<'_>,
    ) -> Result<(), ScanError> {
        if !escaped && byte == b'"' {
            if is_key {
                self.state = State::ExpectColon;
                return Ok(());
            }
            return self.end_scalar(handler);
        }
        if byte < 0x20 {
            return Err(SyntaxError::ControlCharacter.into());
        }
        let token = if is_key { &mut self.key } else { &mut self.value };
        if token.len() < MAX_TOKEN_BYTES {
            token.push(byte);
        } else if is_key {
            return Err(SyntaxError::KeyTooLong.into());
        }
        self.state = State::InString { is_key, escaped: !escaped && byte == b'\\' };
        Ok(())
    }

    /// Ends a scalar value, and passes it to `handler` if it is the hash code.
    fn end_scalar(&mut self, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        self.state = self.state_after_value();
        let in_object =
            self.containers.last().is_some_and(|container| container.kind == ContainerKind::Object);
        if in_object && self.key == HASH_CODE {
            let hash_code = std::str::from_utf8(&self.value).map_err(|_| SyntaxError::HashCodeNotUtf8)?;
            handler(BodyItem::HashCode(hash_code))?;
        }
        Ok(())
    }

    /// Opens a container, or begins to capture it if it is an instance.
    fn open(&mut self, kind: ContainerKind) -> Result<(), ScanError> {
        let holds_instances = match self.containers.last() {
            // The elements of an array stand under the array's key.
            Some(container) if container.kind == ContainerKind::Array => container.holds_instances,
            Some(_) => self.key == INSTANCE,
            None => false,
        };
        if holds_instances && kind == ContainerKind::Object {
            self.capture = Some(InstanceCapture::new());
            return Ok(());
        }
        if self.containers.len() >= MAX_DEPTH {
            return Err(SyntaxError::NestedTooDeeply.into());
        }
        self.containers.push(Container { kind, holds_instances });
        self.state = match kind {
            ContainerKind::Array => State::ExpectValueOrArrayEnd,
            ContainerKind::Object => State::ExpectKeyOrObjectEnd,
        };
        Ok(())
    }

    /// Closes the innermost container, which must be of this kind.
    fn close(&mut self, kind: ContainerKind) -> Result<(), ScanError> {
        match self.containers.pop() {
            Some(container) if container.kind == kind => {
                self.state = self.state_after_value();
                Ok(())
            }
            _ => Err(SyntaxError::UnmatchedBracket.into()),
        }
    }

    fn state_after_value(&self) -> State {
        if self.containers.is_empty() { State::Complete } else { State::ExpectCommaOrEnd }
    }
}

fn is_literal_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'+' | b'.')
}

/// The instance that is being read. Scanning begins after the instance's opening brace.
#[derive(Debug)]
struct InstanceCapture {
    /// The bytes of the instance so far, including the opening brace.
    bytes: Vec<u8>,
    /// The number of open braces and brackets, including the instance's own brace.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl InstanceCapture {
    fn new() -> Self {
        Self { bytes: b"{".to_vec(), depth: 1, in_string: false, escaped: false }
    }

    /// Finds the offset after the instance's closing brace; `None` if the brace is not among `bytes`.
    fn find_end(&mut self, bytes: &[u8], start: usize) -> Result<Option<usize>, LocatedError> {
        for (offset, byte) in bytes.iter().enumerate().skip(start) {
            if self.in_string {
                self.scan_string(*byte);
                continue;
            }
            match byte {
                b'"' => self.in_string = true,
                b'{' | b'[' if self.depth >= MAX_DEPTH => {
                    return Err(ScanError::from(SyntaxError::NestedTooDeeply).at(offset));
                }
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(offset + 1));
                    }
                }
                _ => {}
            }
        }
        Ok(None)
    }

    /// Scans one byte of a string in the instance.
    fn scan_string(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), ScanError> {
        if self.bytes.len() + bytes.len() > MAX_INSTANCE_BYTES {
            return Err(SyntaxError::InstanceTooLong.into());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }
}
