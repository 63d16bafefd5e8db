//! Why a body can't be read.

use super::super::instance::InstanceError;

/// Why a body can't be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is malformed.
    #[error("byte {offset}: {error}")]
    Syntax {
        /// How many bytes of the body came before.
        offset: u64,
        /// What is wrong there.
        error: SyntaxError,
    },
    /// It ends too early.
    #[error("it ends after {scanned_bytes} bytes, in the middle")]
    Truncated {
        /// How many bytes there were.
        scanned_bytes: u64,
    },
    /// It is larger than the configured limit.
    #[error("it is larger than {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: u64,
    },
    /// It holds more instances than are read.
    #[error("more than {max_instances} instances")]
    TooManyInstances {
        /// The limit.
        max_instances: usize,
    },
    /// An instance in it is malformed.
    #[error(transparent)]
    Instance(#[from] InstanceError),
}

/// What is malformed in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxError {
    /// A byte that can't stand there in JSON.
    #[error("no JSON")]
    NotJson,
    /// Text before the first tag.
    #[error("no XML")]
    NotXml,
    /// Something follows the end.
    #[error("something behind the end")]
    TrailingData,
    /// Nested deeper than is read.
    #[error("nested too deeply")]
    NestedTooDeeply,
    /// An instance longer than is read.
    #[error("an instance that is too long")]
    InstanceTooLong,
    /// A number or a literal longer than is read.
    #[error("a number or a word that is too long")]
    LiteralTooLong,
    /// A key longer than is read.
    #[error("a key that is too long")]
    KeyTooLong,
    /// A tag longer than is read.
    #[error("a tag that is too long")]
    TagTooLong,
    /// A control character in a string.
    #[error("a control character in text")]
    ControlCharacter,
    /// A hash code that is not UTF-8.
    #[error("a hash code that is no text")]
    HashCodeNotText,
    /// A closing bracket without its opening one.
    #[error("a bracket that closes nothing")]
    UnmatchedBracket,
    /// `<` within a tag.
    #[error("a tag in a tag")]
    NestedTag,
    /// A tag without a name.
    #[error("a tag without a name")]
    UnnamedTag,
    /// An end tag without its start tag.
    #[error("a tag that closes nothing")]
    UnmatchedEndTag,
    /// An end tag of another element than the innermost one.
    #[error("a tag that closes another")]
    MismatchedEndTag,
    /// A document type declaration or an entity.
    #[error("a document type, which is not read")]
    DocumentType,
    /// Any other declaration.
    #[error("a declaration, which is not read")]
    Declaration,
}

/// Why a scan ended early.
#[derive(Debug)]
pub(super) enum ScanError {
    /// The body is malformed.
    Syntax(SyntaxError),
    /// The handler of items failed.
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
    /// The error at this offset in the bytes that were pushed.
    pub(super) fn at(self, offset: usize) -> LocatedError {
        LocatedError { offset, error: self }
    }
}

/// An error with its offset in the bytes that were pushed.
#[derive(Debug)]
pub(super) struct LocatedError {
    offset: usize,
    error: ScanError,
}

impl LocatedError {
    /// The error of a body whose bytes before those that were pushed are `preceding_bytes`.
    pub(super) fn into_body_error(self, preceding_bytes: u64) -> BodyError {
        match self.error {
            ScanError::Syntax(error) => {
                BodyError::Syntax { offset: preceding_bytes + self.offset as u64, error }
            }
            ScanError::Handler(error) => error,
        }
    }
}
