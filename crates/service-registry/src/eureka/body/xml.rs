//! An XML scanner that reads just enough to find the elements `instance`. What stands in them is not parsed here.

use super::{
    BodyItem, HASH_CODE, INSTANCE, ItemHandler, LocatedError, MAX_DEPTH, MAX_INSTANCE_BYTES, MAX_TOKEN_BYTES,
    ScanError, SyntaxError,
};

/// A tag with its attributes is no longer than this.
const MAX_TAG_BYTES: usize = 4 * 1024;
/// The bytes of a byte order mark, which may stand before the first tag.
const BYTE_ORDER_MARK: [u8; 3] = [0xEF, 0xBB, 0xBF];

/// What the scanner is in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Text,
    /// Between `<` and `>`.
    Tag {
        /// The quote of the attribute value that is open, if one is.
        quote: Option<u8>,
    },
    Comment,
    CData,
}

/// An instance that is being read.
#[derive(Debug)]
struct InstanceCapture {
    bytes: Vec<u8>,
    /// How many elements are open around it.
    depth: usize,
}

/// The scanner's state between two bytes.
#[derive(Debug, Default)]
pub(super) struct XmlScanner {
    state: State,
    /// The tag that is being read; in a comment or a CDATA section its last few bytes.
    tag: Vec<u8>,
    /// The start of the text since the last tag.
    text: Vec<u8>,
    open_elements: Vec<Box<[u8]>>,
    capture: Option<InstanceCapture>,
    root_closed: bool,
}

impl XmlScanner {
    pub(super) fn push(&mut self, bytes: &[u8], handler: &mut ItemHandler<'_>) -> Result<(), LocatedError> {
        for (offset, byte) in bytes.iter().enumerate() {
            self.scan_byte(*byte, handler).map_err(|error| error.at(offset))?;
        }
        Ok(())
    }

    pub(super) fn is_complete(&self) -> bool {
        self.root_closed && self.state == State::Text
    }

    fn scan_byte(&mut self, byte: u8, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        if let Some(capture) = &mut self.capture {
            if capture.bytes.len() >= MAX_INSTANCE_BYTES {
                return Err(SyntaxError::InstanceTooLong.into());
            }
            capture.bytes.push(byte);
        }
        match self.state {
            State::Text => self.text_byte(byte),
            State::Tag { quote } => self.tag_byte(byte, quote, handler),
            State::Comment => {
                self.skip_until(byte, b"-->");
                Ok(())
            }
            State::CData => {
                self.skip_until(byte, b"]]>");
                Ok(())
            }
        }
    }

    fn text_byte(&mut self, byte: u8) -> Result<(), ScanError> {
        if byte == b'<' {
            self.tag.clear();
            self.state = State::Tag { quote: None };
            return Ok(());
        }
        let may_stand_outside = byte.is_ascii_whitespace() || BYTE_ORDER_MARK.contains(&byte);
        if self.open_elements.is_empty() && !may_stand_outside {
            let error = if self.root_closed { SyntaxError::TrailingData } else { SyntaxError::NotXml };
            return Err(error.into());
        }
        if self.text.len() < MAX_TOKEN_BYTES {
            self.text.push(byte);
        }
        Ok(())
    }

    fn tag_byte(
        &mut self,
        byte: u8,
        quote: Option<u8>,
        handler: &mut ItemHandler<'_>,
    ) -> Result<(), ScanError> {
        if self.tag.len() >= MAX_TAG_BYTES {
            return Err(SyntaxError::TagTooLong.into());
        }
        match (quote, byte) {
            (Some(open), _) if open == byte => self.state = State::Tag { quote: None },
            (None, b'"' | b'\'') if !self.tag.starts_with(b"?") => {
                self.state = State::Tag { quote: Some(byte) };
            }
            (None, b'>') => {
                self.state = State::Text;
                return self.end_of_tag(handler);
            }
            (None, b'<') => return Err(SyntaxError::NestedTag.into()),
            _ => {}
        }
        self.tag.push(byte);
        match self.tag.as_slice() {
            b"!--" => self.skip_section(State::Comment),
            b"![CDATA[" => self.skip_section(State::CData),
            b"!D" | b"!E" => return Err(SyntaxError::DocumentType.into()),
            _ => {}
        }
        Ok(())
    }

    fn skip_section(&mut self, section: State) {
        self.state = section;
        self.tag.clear();
    }

    /// Skips a byte of a section that ends with `end`.
    fn skip_until(&mut self, byte: u8, end: &[u8]) {
        if self.tag.len() >= end.len() {
            self.tag.remove(0);
        }
        self.tag.push(byte);
        if self.tag == end {
            self.state = State::Text;
        }
    }

    fn end_of_tag(&mut self, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        let tag = std::mem::take(&mut self.tag);
        let text = std::mem::take(&mut self.text);
        if tag.starts_with(b"?") {
            return Ok(());
        }
        if tag.starts_with(b"!") {
            return Err(SyntaxError::Declaration.into());
        }
        match tag.strip_prefix(b"/") {
            Some(name) => self.end_tag(name.trim_ascii(), &text, handler),
            None => self.start_tag(&tag, handler),
        }
    }

    fn end_tag(&mut self, name: &[u8], text: &[u8], handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        let open = self.open_elements.pop().ok_or(SyntaxError::UnmatchedEndTag)?;
        if *open != *name {
            return Err(SyntaxError::MismatchedEndTag.into());
        }
        if name == HASH_CODE && self.capture.is_none() {
            let hash_code = std::str::from_utf8(text).map_err(|_| SyntaxError::HashCodeNotText)?;
            handler(BodyItem::HashCode(hash_code.trim()))?;
        }
        self.end_element(handler)
    }

    fn start_tag(&mut self, tag: &[u8], handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        if self.root_closed {
            return Err(SyntaxError::TrailingData.into());
        }
        let name = tag.split(|byte| byte.is_ascii_whitespace() || *byte == b'/').next().unwrap_or_default();
        if name.is_empty() {
            return Err(SyntaxError::UnnamedTag.into());
        }
        if self.open_elements.len() >= MAX_DEPTH {
            return Err(SyntaxError::NestedTooDeeply.into());
        }
        if name == INSTANCE && self.capture.is_none() {
            let bytes = [b"<", tag, b">"].concat();
            self.capture = Some(InstanceCapture { bytes, depth: self.open_elements.len() });
        }
        if tag.ends_with(b"/") {
            return self.end_element(handler);
        }
        self.open_elements.push(name.into());
        Ok(())
    }

    /// An element has ended; those that are still open are around it.
    fn end_element(&mut self, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        self.root_closed = self.open_elements.is_empty();
        let depth = self.open_elements.len();
        if let Some(capture) = self.capture.take_if(|capture| capture.depth == depth) {
            handler(BodyItem::Instance(&capture.bytes))?;
        }
        Ok(())
    }
}
