//! Errors of reading a response body.

use super::super::instance::InstanceError;

/// Why a response body can't be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is malformed.
    #[error("syntax error at byte {offset}: {error}")]
    Syntax {
        /// The number of bytes of the body before the error.
        offset: u64,
        /// The kind of syntax error.
        error: SyntaxError,
    },
    /// The body ends before its document is complete.
    #[error("document is truncated after {scanned_bytes} bytes")]
    Truncated {
        /// The number of bytes received.
        scanned_bytes: u64,
    },
    /// The body exceeds the configured size limit.
    #[error("document exceeds the limit of {max_bytes} bytes")]
    TooLarge {
        /// The size limit.
        max_bytes: u64,
    },
    /// The body contains too many instances.
    #[error("document contains more than {max_instances} instances")]
    TooManyInstances {
        /// The limit on the number of instances.
        max_instances: usize,
    },
    /// There is no memory for the instances of the body.
    #[error("no memory for the instances of the document")]
    OutOfMemory,
    /// An instance in the body is malformed.
    #[error(transparent)]
    Instance(#[from] InstanceError),
}

/// The kinds of syntax errors in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxError {
    /// A byte that JSON does not allow at its position.
    #[error("not valid JSON")]
    InvalidJson,
    /// Text before the first tag, where XML allows none.
    #[error("not valid XML: text before the root element")]
    TextBeforeRoot,
    /// Data after the outermost JSON value or the XML root element.
    #[error("data after the end of the document")]
    TrailingData,
    /// Objects, arrays or elements are nested deeper than the limit.
    #[error("nesting exceeds the depth limit")]
    NestedTooDeeply,
    /// An instance is longer than the limit.
    #[error("instance exceeds the size limit")]
    InstanceTooLong,
    /// A JSON number, `true`, `false` or `null` is longer than the limit.
    #[error("number or literal exceeds the length limit")]
    LiteralTooLong,
    /// A key of a JSON object is longer than the limit.
    #[error("object key exceeds the length limit")]
    KeyTooLong,
    /// An XML tag with its attributes is longer than the limit.
    #[error("tag exceeds the length limit")]
    TagTooLong,
    /// A control character stands in a JSON string without an escape.
    #[error("control character in a string")]
    ControlCharacter,
    /// The bytes of the hash code are not UTF-8.
    #[error("hash code is not valid UTF-8")]
    HashCodeNotUtf8,
    /// A closing bracket or brace does not match the innermost open one.
    #[error("closing bracket without a matching opening bracket")]
    UnmatchedBracket,
    /// A tag contains `<` outside of quotation marks.
    #[error("'<' inside a tag")]
    NestedTag,
    /// A start tag has no element name.
    #[error("tag without an element name")]
    UnnamedTag,
    /// An end tag while no element is open.
    #[error("end tag without a start tag")]
    UnmatchedEndTag,
    /// An end tag that names another element than the innermost open one.
    #[error("end tag does not match the innermost open element")]
    MismatchedEndTag,
    /// A document type, element or entity declaration, none of which is supported.
    #[error("document type and entity declarations are not supported")]
    UnsupportedDocumentType,
    /// Any other declaration that begins with `<!`.
    #[error("declaration is not supported")]
    UnsupportedDeclaration,
}

/// Why a scan was aborted.
#[derive(Debug)]
pub(super) enum ScanError {
    /// The body is malformed.
    Syntax(SyntaxError),
    /// The handler that receives the body's items failed.
    Handler(BodyError),
}

impl From<SyntaxError> for ScanError {
    fn from(error: SyntaxError) -> Self {
        Self::Syntax(error)
    }
}

impl From<BodyError> for ScanError {
    fn from(error: BodyError) -> Self {
        Self::Handler(error)
    }
}

impl ScanError {
    /// Adds the offset of the error in the bytes of the current `push`.
    pub(super) fn at(self, offset: usize) -> LocatedError {
        LocatedError { offset, error: self }
    }
}

/// An error with its offset in the bytes of the current `push`.
#[derive(Debug)]
pub(super) struct LocatedError {
    offset: usize,
    error: ScanError,
}

impl LocatedError {
    /// Converts the error to a [`BodyError`]. `preceding_bytes` is the number of the body's bytes before the
    /// current `push`.
    pub(super) fn into_body_error(self, preceding_bytes: u64) -> BodyError {
        match self.error {
            ScanError::Syntax(error) => {
                BodyError::Syntax { offset: preceding_bytes + self.offset as u64, error }
            }
            ScanError::Handler(error) => error,
        }
    }
}
