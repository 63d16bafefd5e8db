//! Finds the instances in a response body while its bytes arrive. A registry of 20,000 instances writes some 25 MB, of
//! which no more than one instance is held at a time. No I/O.

mod error;
mod json;
mod xml;

pub use error::{BodyError, SyntaxError};

use error::{LocatedError, ScanError};
use json::JsonScanner;
use xml::XmlScanner;

/// Nesting that no registry writes.
const MAX_DEPTH: usize = 48;
/// Keys, tag names and the few plain values that are read are no longer than this.
const MAX_TOKEN_BYTES: usize = 256;
/// A larger instance is not read.
const MAX_INSTANCE_BYTES: usize = 256 * 1024;
/// The name under which instances stand.
const INSTANCE: &[u8] = b"instance";
/// The name under which the registry's hash code stands.
const HASH_CODE: &[u8] = b"apps__hashcode";

/// Something found in a body.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyItem<'a> {
    /// An instance, as it is written.
    Instance(&'a [u8]),
    /// The registry's own hash code of all that it holds (`apps__hashcode`).
    HashCode(&'a str),
}

/// Receives the items of a body in their order. An error of it ends the scan.
pub type ItemHandler<'h> = dyn FnMut(BodyItem<'_>) -> Result<(), BodyError> + 'h;

/// The format of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFormat {
    /// JSON.
    Json,
    /// XML.
    Xml,
}

impl BodyFormat {
    /// The format that a `Content-Type` header names; `None` for one that is not read.
    #[must_use]
    pub fn from_content_type(content_type: &str) -> Option<Self> {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        match media_type {
            "application/json" => Some(Self::Json),
            "application/xml" | "text/xml" => Some(Self::Xml),
            _ => None,
        }
    }
}

/// Scans one body.
#[derive(Debug)]
pub struct BodyScanner {
    scanner: FormatScanner,
    scanned_bytes: u64,
    max_bytes: u64,
}

#[derive(Debug)]
enum FormatScanner {
    Json(JsonScanner),
    Xml(XmlScanner),
}

impl BodyScanner {
    /// A scanner of a body of at most `max_bytes`.
    #[must_use]
    pub fn new(format: BodyFormat, max_bytes: u64) -> Self {
        let scanner = match format {
            BodyFormat::Json => FormatScanner::Json(JsonScanner::default()),
            BodyFormat::Xml => FormatScanner::Xml(XmlScanner::default()),
        };
        Self { scanner, scanned_bytes: 0, max_bytes }
    }

    /// Scans the next bytes; each item that they complete goes to `handler`.
    ///
    /// # Errors
    ///
    /// When the body is malformed or too large, or `handler` fails. The rest of the body can't be scanned then.
    pub fn push(&mut self, bytes: &[u8], handler: &mut ItemHandler<'_>) -> Result<(), BodyError> {
        let offset = self.scanned_bytes;
        self.scanned_bytes += bytes.len() as u64;
        if self.scanned_bytes > self.max_bytes {
            return Err(BodyError::TooLarge { max_bytes: self.max_bytes });
        }
        let scanned = match &mut self.scanner {
            FormatScanner::Json(json) => json.push(bytes, handler),
            FormatScanner::Xml(xml) => xml.push(bytes, handler),
        };
        scanned.map_err(|located| located.into_body_error(offset))
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// When it is incomplete.
    pub fn finish(&self) -> Result<(), BodyError> {
        let is_complete = match &self.scanner {
            FormatScanner::Json(json) => json.is_complete(),
            FormatScanner::Xml(xml) => xml.is_complete(),
        };
        if is_complete { Ok(()) } else { Err(BodyError::Truncated { scanned_bytes: self.scanned_bytes }) }
    }
}
