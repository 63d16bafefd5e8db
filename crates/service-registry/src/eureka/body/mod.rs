//! Finds the instances in a response body while its bytes arrive. A registry of 20,000 instances sends about
//! 25 MB, of which only one instance is held in memory at a time. Performs no I/O.

mod error;
mod json;
mod xml;

pub use error::{BodyError, SyntaxError};

use error::{LocatedError, ScanError};
use json::JsonScanner;
use xml::XmlScanner;

/// The maximum nesting depth of a body, which no registry reaches.
const MAX_DEPTH: usize = 48;
/// The maximum length of a JSON key, number or literal. Of other JSON strings and of XML text, only this many
/// bytes are kept: the hash code, the only such value that is read, is shorter.
const MAX_TOKEN_BYTES: usize = 256;
/// The maximum size of one instance in a body.
pub(super) const MAX_INSTANCE_BYTES: usize = 256 * 1024;
/// The JSON key, or the XML element name, of instances.
const INSTANCE: &[u8] = b"instance";
/// The JSON key, or the XML element name, of the registry's hash code.
const HASH_CODE: &[u8] = b"apps__hashcode";

/// An item that the scanner has found in a body.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyItem<'a> {
    /// The bytes of an instance: a JSON object or an XML element.
    Instance(&'a [u8]),
    /// The registry's own hash code of all instances that it holds (`apps__hashcode`).
    HashCode(&'a str),
}

/// Receives the items of a body in order. An error that the handler returns ends the scan.
pub type ItemHandler<'h> = dyn FnMut(BodyItem<'_>) -> Result<(), BodyError> + 'h;

/// The format of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFormat {
    /// The format of `application/json`.
    Json,
    /// The format of `application/xml` and `text/xml`.
    Xml,
}

impl BodyFormat {
    /// The format of a body with this `Content-Type` header; `None` if the type is not supported.
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

/// Scans one response body while its bytes arrive.
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
    /// Creates a scanner for a body of at most `max_bytes`.
    #[must_use]
    pub fn new(format: BodyFormat, max_bytes: u64) -> Self {
        let scanner = match format {
            BodyFormat::Json => FormatScanner::Json(JsonScanner::default()),
            BodyFormat::Xml => FormatScanner::Xml(XmlScanner::default()),
        };
        Self { scanner, scanned_bytes: 0, max_bytes }
    }

    /// Scans the next bytes of the body and passes each item that they complete to `handler`.
    ///
    /// # Errors
    ///
    /// When the body is malformed or too large, or `handler` fails. The rest of the body can't be scanned
    /// after an error.
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

    /// Checks after the last bytes that the body is complete.
    ///
    /// # Errors
    ///
    /// When the body is incomplete.
    pub fn finish(&self) -> Result<(), BodyError> {
        let is_complete = match &self.scanner {
            FormatScanner::Json(json) => json.is_complete(),
            FormatScanner::Xml(xml) => xml.is_complete(),
        };
        if is_complete { Ok(()) } else { Err(BodyError::Truncated { scanned_bytes: self.scanned_bytes }) }
    }
}
