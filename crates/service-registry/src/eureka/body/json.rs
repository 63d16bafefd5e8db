//! A JSON scanner that reads just enough to find the objects under the key `instance`. What stands in them is not
//! parsed here.

use super::{
    BodyItem, HASH_CODE, INSTANCE, ItemHandler, LocatedError, MAX_DEPTH, MAX_INSTANCE_BYTES, MAX_TOKEN_BYTES,
    ScanError, SyntaxError,
};

/// What the scanner is in, or what must come next.
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
    /// In a number, `true`, `false` or `null`.
    InLiteral,
    Complete,
}

/// An object or array that is open.
#[derive(Debug)]
struct Container {
    kind: ContainerKind,
    /// Whether it stands under the key `instance`.
    holds_instances: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ContainerKind {
    Object,
    Array,
}

/// The scanner's state between two bytes.
#[derive(Debug, Default)]
pub(super) struct JsonScanner {
    state: State,
    containers: Vec<Container>,
    /// The plain value that is being read or was read last.
    value: Vec<u8>,
    /// The key that is being read or was read last.
    key: Vec<u8>,
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

    /// Scans on in an instance; returns the offset behind the bytes that belong to it.
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

    fn scan_byte(&mut self, byte: u8, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        match self.state {
            State::InString { is_key, escaped } => return self.string_byte(byte, is_key, escaped, handler),
            State::InLiteral if is_literal_byte(byte) => return self.literal_byte(byte),
            State::InLiteral => self.end_plain_value(handler)?,
            _ => {}
        }
        if !matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
            self.structural_byte(byte)?;
        }
        Ok(())
    }

    /// A byte outside of strings and literals.
    fn structural_byte(&mut self, byte: u8) -> Result<(), ScanError> {
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
                self.literal_byte(byte)
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
            _ => Err(SyntaxError::NotJson.into()),
        }
    }

    fn literal_byte(&mut self, byte: u8) -> Result<(), ScanError> {
        if self.value.len() >= MAX_TOKEN_BYTES {
            return Err(SyntaxError::LiteralTooLong.into());
        }
        self.value.push(byte);
        Ok(())
    }

    fn string_byte(
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
            return self.end_plain_value(handler);
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

    /// A plain value is complete.
    fn end_plain_value(&mut self, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        self.state = self.state_after_value();
        let in_object =
            self.containers.last().is_some_and(|container| container.kind == ContainerKind::Object);
        if in_object && self.key == HASH_CODE {
            let hash_code = std::str::from_utf8(&self.value).map_err(|_| SyntaxError::HashCodeNotText)?;
            handler(BodyItem::HashCode(hash_code))?;
        }
        Ok(())
    }

    fn open(&mut self, kind: ContainerKind) -> Result<(), ScanError> {
        let holds_instances = match self.containers.last() {
            // What an array holds stands under the array's key.
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

/// An instance that is being read, from behind its opening brace.
#[derive(Debug)]
struct InstanceCapture {
    bytes: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl InstanceCapture {
    fn new() -> Self {
        Self { bytes: b"{".to_vec(), depth: 1, in_string: false, escaped: false }
    }

    /// The offset behind the instance's closing brace, if that is among these bytes.
    fn find_end(&mut self, bytes: &[u8], start: usize) -> Result<Option<usize>, LocatedError> {
        for (offset, byte) in bytes.iter().enumerate().skip(start) {
            if self.in_string {
                self.string_byte(*byte);
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

    fn string_byte(&mut self, byte: u8) {
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
