//! An XML scanner that reads just enough to find the elements `instance`. Their contents are not parsed here.

use super::{
    BodyItem, HASH_CODE, INSTANCE, ItemHandler, LocatedError, MAX_DEPTH, MAX_INSTANCE_BYTES, MAX_TOKEN_BYTES,
    ScanError, SyntaxError,
};

/// The maximum length of a tag with its attributes.
const MAX_TAG_BYTES: usize = 4 * 1024;
/// The UTF-8 byte order mark, whose bytes may stand before the first tag.
const BYTE_ORDER_MARK: [u8; 3] = [0xEF, 0xBB, 0xBF];

/// The part of the document that the scanner is in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Text,
    /// Inside a tag, between `<` and `>`.
    Tag {
        /// The quotation mark that ends the current attribute value, if the scanner is inside one.
        quote: Option<u8>,
    },
    Comment,
    CData,
}

/// The instance that is being read.
#[derive(Debug)]
struct InstanceCapture {
    /// The bytes of the instance so far, including the start tag.
    bytes: Vec<u8>,
    /// The number of open elements around the instance.
    depth: usize,
}

/// An incremental scanner: a body may be split after any byte.
#[derive(Debug, Default)]
pub(super) struct XmlScanner {
    state: State,
    /// The tag that is being read; in a comment or a CDATA section, the last few bytes, which show the
    /// section's end.
    tag: Vec<u8>,
    /// The start of the text since the last tag, at most [`MAX_TOKEN_BYTES`].
    text: Vec<u8>,
    /// The names of the open elements, outermost first.
    open_elements: Vec<Box<[u8]>>,
    /// The instance that is being read, if any.
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
            State::Text => self.scan_text(byte),
            State::Tag { quote } => self.scan_tag(byte, quote, handler),
            State::Comment => {
                self.skip_in_section(byte, b"-->");
                Ok(())
            }
            State::CData => {
                self.skip_in_section(byte, b"]]>");
                Ok(())
            }
        }
    }

    /// Scans one byte outside of tags, comments and CDATA sections.
    fn scan_text(&mut self, byte: u8) -> Result<(), ScanError> {
        if byte == b'<' {
            self.tag.clear();
            self.state = State::Tag { quote: None };
            return Ok(());
        }
        let is_allowed_outside_root = byte.is_ascii_whitespace() || BYTE_ORDER_MARK.contains(&byte);
        if self.open_elements.is_empty() && !is_allowed_outside_root {
            let error =
                if self.root_closed { SyntaxError::TrailingData } else { SyntaxError::TextBeforeRoot };
            return Err(error.into());
        }
        if self.text.len() < MAX_TOKEN_BYTES {
            self.text.push(byte);
        }
        Ok(())
    }

    /// Scans one byte of a tag.
    fn scan_tag(
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
                return self.finish_tag(handler);
            }
            (None, b'<') => return Err(SyntaxError::NestedTag.into()),
            _ => {}
        }
        self.tag.push(byte);
        match self.tag.as_slice() {
            b"!--" => self.enter_section(State::Comment),
            b"![CDATA[" => self.enter_section(State::CData),
            b"!D" | b"!E" => return Err(SyntaxError::UnsupportedDocumentType.into()),
            _ => {}
        }
        Ok(())
    }

    /// Enters a comment or a CDATA section, whose bytes are skipped.
    fn enter_section(&mut self, section: State) {
        self.state = section;
        self.tag.clear();
    }

    /// Skips one byte of a comment or a CDATA section, which ends with `end`.
    fn skip_in_section(&mut self, byte: u8, end: &[u8]) {
        if self.tag.len() >= end.len() {
            self.tag.remove(0);
        }
        self.tag.push(byte);
        if self.tag == end {
            self.state = State::Text;
        }
    }

    /// Handles a tag that is complete.
    fn finish_tag(&mut self, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        let tag = std::mem::take(&mut self.tag);
        let text = std::mem::take(&mut self.text);
        if tag.starts_with(b"?") {
            return Ok(());
        }
        if tag.starts_with(b"!") {
            return Err(SyntaxError::UnsupportedDeclaration.into());
        }
        match tag.strip_prefix(b"/") {
            Some(name) => self.handle_end_tag(name.trim_ascii(), &text, handler),
            None => self.handle_start_tag(&tag, handler),
        }
    }

    fn handle_end_tag(
        &mut self,
        name: &[u8],
        text: &[u8],
        handler: &mut ItemHandler<'_>,
    ) -> Result<(), ScanError> {
        let open = self.open_elements.pop().ok_or(SyntaxError::UnmatchedEndTag)?;
        if *open != *name {
            return Err(SyntaxError::MismatchedEndTag.into());
        }
        if name == HASH_CODE && self.capture.is_none() {
            let hash_code = std::str::from_utf8(text).map_err(|_| SyntaxError::HashCodeNotUtf8)?;
            handler(BodyItem::HashCode(hash_code.trim()))?;
        }
        self.finish_element(handler)
    }

    fn handle_start_tag(&mut self, tag: &[u8], handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
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
            return self.finish_element(handler);
        }
        self.open_elements.push(name.into());
        Ok(())
    }

    /// Handles the end of an element, which is no longer in `open_elements`; passes an instance to `handler`.
    fn finish_element(&mut self, handler: &mut ItemHandler<'_>) -> Result<(), ScanError> {
        self.root_closed = self.open_elements.is_empty();
        let depth = self.open_elements.len();
        if let Some(capture) = self.capture.take_if(|capture| capture.depth == depth) {
            handler(BodyItem::Instance(&capture.bytes))?;
        }
        Ok(())
    }
}
