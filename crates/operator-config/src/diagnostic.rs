//! Diagnostics: the errors in a file, each with its position and a message for the operator.

use crate::suggestion::Suggestion;
use ipnet::IpNet;
use std::fmt;
use std::time::Duration;

/// A position in a file, or the file as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, counted from 1; 0 stands for the file as a whole.
    pub line: usize,
    /// The column in characters, counted from 1; 0 stands for the file as a whole.
    pub column: usize,
}

impl Position {
    /// The file as a whole, which also stands for positions in the schema.
    pub const WHOLE_FILE: Self = Self { line: 0, column: 0 };

    /// This position, or `other` if this one is the whole file.
    pub(crate) fn or(self, other: Self) -> Self {
        if self.is_whole_file() { other } else { self }
    }

    pub(crate) fn is_whole_file(self) -> bool {
        self == Self::WHOLE_FILE
    }
}

/// An error in a file.
#[derive(Debug)]
pub struct Diagnostic {
    /// The position of the construct that is wrong.
    pub position: Position,
    /// The error, whose `Display` is the message.
    pub kind: DiagnosticKind,
}

impl Diagnostic {
    pub(crate) fn new(position: Position, kind: DiagnosticKind) -> Self {
        Self { position, kind }
    }

    /// A diagnostic for the file as a whole.
    pub(crate) fn of_file(kind: DiagnosticKind) -> Self {
        Self::new(Position::WHOLE_FILE, kind)
    }
}

/// The kind of an error in a file. Messages are printed after the file's name, line and column.
#[derive(Debug, thiserror::Error)]
pub enum DiagnosticKind {
    /// The file can't be read.
    #[error("cannot read the file: {0}")]
    Io(#[source] std::io::Error),
    /// The file exceeds the maximum size.
    #[error("the file is longer than {max_bytes} bytes, the maximum")]
    FileTooLong {
        /// The maximum size in bytes.
        max_bytes: usize,
    },
    /// The file is not UTF-8 text.
    #[error("the file is not valid UTF-8: {0}")]
    NotUtf8(#[source] std::str::Utf8Error),
    /// The schema that is part of the program can't be parsed: an error in the program, not in the file.
    #[error("internal error in the program's schema: {0}")]
    InvalidSchema(Box<DiagnosticKind>),
    /// Brackets are nested too deeply.
    #[error("brackets are nested more than {max_depth} levels deep")]
    NestedTooDeeply {
        /// The maximum depth.
        max_depth: usize,
    },
    /// The text does not follow the grammar. These are the constructs that the grammar allows here.
    #[error("syntax error: expected {}", .0.join(" or "))]
    Expected(Vec<&'static str>),
    /// A construct that the grammar accepted lacks a part.
    #[error("syntax error: {construct}")]
    Incomplete {
        /// The construct and the part that it lacks.
        construct: &'static str,
    },
    /// A number that a signed 64-bit integer can't hold.
    #[error("number '{0}' is out of range: it does not fit in a signed 64-bit integer")]
    NumberOutOfRange(String),
    /// A definition or hidden field whose name is already used by another one.
    #[error("'{0}' is already defined in this file or in the schema")]
    DuplicateDefinition(String),
    /// A definition or hidden field within a record.
    #[error("definitions (#name) and hidden fields (_name) are only allowed at the top level of the file")]
    NestedDefinition,
    /// A field that occurs more than once in a record.
    #[error("field '{0}' is repeated in this record")]
    DuplicateField(String),
    /// Expressions and references are nested too deeply, as in a definition that refers to itself.
    #[error("the value refers to itself, or its references and records are nested too deeply")]
    RecursionTooDeep,
    /// A pattern that is not a valid regular expression.
    #[error("pattern {pattern:?} is not a valid regular expression: {error}")]
    InvalidPattern {
        /// The pattern as it is written.
        pattern: String,
        /// Why the pattern is invalid.
        error: regex_lite::Error,
    },
    /// A bound whose limit has the wrong type for its operator.
    #[error("invalid bound: =~ needs a pattern in quotes, other operators a number or text in quotes")]
    InvalidBound,
    /// A reference to a definition that does not exist.
    #[error("'{name}' is not defined{suggestion}")]
    UndefinedReference {
        /// The name of the definition or hidden field.
        name: String,
        /// A defined name that may be meant.
        suggestion: Suggestion,
    },
    /// A value that conflicts with the schema or with another part of the file.
    #[error("found {given}, expected {expected}")]
    Mismatch {
        /// A description of the value.
        given: String,
        /// A description of the values that are accepted.
        expected: String,
    },
    /// Too many alternatives of a disjunction remain possible.
    #[error("the value has more than {max_alternatives} possible alternatives")]
    TooManyAlternatives {
        /// The maximum number of alternatives.
        max_alternatives: usize,
    },
    /// A field that a closed record does not define.
    #[error("unknown field '{name}'{suggestion}")]
    UnknownField {
        /// The name of the field.
        name: String,
        /// The name of a defined field that may be meant.
        suggestion: Suggestion,
    },
    /// An error in the value of a field.
    #[error("'{name}': {kind}")]
    InField {
        /// The name of the field.
        name: String,
        /// The error in the value.
        kind: Box<DiagnosticKind>,
    },
    /// A field without a concrete value and without a single default.
    #[error("'{path}' has no concrete value: expected {expected}")]
    MissingValue {
        /// The field's path.
        path: String,
        /// A description of the values that are accepted.
        expected: String,
    },
    /// A required field that is missing.
    #[error("required field '{path}' is missing")]
    MissingField {
        /// The field's path.
        path: String,
    },
    /// The file fits the schema but can't be decoded: the program's schema and settings types disagree.
    #[error("internal error: the file fits the schema but can't be decoded: {0}")]
    Undecodable(#[source] serde_json::Error),
    /// A setting that fits the schema but can't be used.
    #[error("'{path}': {error}")]
    InvalidSetting {
        /// The setting's path.
        path: String,
        /// Why the setting can't be used.
        error: SettingError,
    },
}

impl DiagnosticKind {
    /// Whether the message can be understood without the name of the field in front of it.
    pub(crate) fn is_self_contained(&self) -> bool {
        !matches!(self, Self::Mismatch { .. } | Self::TooManyAlternatives { .. })
    }
}

/// Why a setting that fits the schema can't be used. Messages are printed after the path of the setting.
#[derive(Debug, thiserror::Error)]
pub enum SettingError {
    /// A duration that is out of range.
    #[error("{text} is out of range: expected {min:?} to {max:?}")]
    DurationOutOfRange {
        /// The duration as it is written.
        text: String,
        /// The shortest accepted duration.
        min: Duration,
        /// The longest accepted duration.
        max: Duration,
    },
    /// A list with too few or too many items.
    #[error("the list has {count} items: expected 1 to {max}")]
    WrongCount {
        /// The number of items.
        count: usize,
        /// The maximum number of items.
        max: usize,
    },
    /// The text is not an IP address with a port.
    #[error("{0}: expected an IP address with a port, such as 10.0.0.5:8443 or [fd00::5]:8443")]
    InvalidAddress(#[from] std::net::AddrParseError),
    /// The text is not a network in CIDR notation.
    #[error("{0}: expected a network in CIDR notation, such as 10.1.0.0/16 or fd00::/8")]
    InvalidNetwork(#[from] ipnet::AddrParseError),
    /// A network whose address has bits set beyond its prefix length.
    #[error("{network} has bits set beyond its prefix length; did you mean {}?", network.trunc())]
    HostBitsSet {
        /// The network as it is written.
        network: IpNet,
    },
    /// A network that the list already contains.
    #[error("{network} is listed more than once")]
    DuplicateNetwork {
        /// The repeated network.
        network: IpNet,
    },
    /// A server with the same URL as another one.
    #[error("another server in the list has the same URL")]
    DuplicateUrl,
    /// The fetch mode for a single application with more than one application.
    #[error("\"app\" fetches a single application, but 'registry.apps' lists more than one")]
    MultipleApps,
    /// A virtual address without the fetch mode that uses it, or that mode without a virtual address.
    #[error("must be set if 'registry.read' is \"vip\", and must not be set otherwise")]
    VipModeMismatch,
    /// A lease so short that one lost renewal would end it.
    #[error("must be at least twice 'renew', so that one lost renewal does not end the lease")]
    LeaseTooShort,
    /// A size that is out of range.
    #[error("the size is out of range: expected 64KB to 1024MB")]
    SizeOutOfRange,
}

/// The diagnostics of one stage, in the order in which they were found.
#[derive(Debug, Default)]
pub(crate) struct Diagnostics(Vec<Diagnostic>);

impl Diagnostics {
    pub(crate) fn push(&mut self, diagnostic: Diagnostic) {
        self.0.push(diagnostic);
    }

    pub(crate) fn append(&mut self, more: Self) {
        self.0.extend(more.0);
    }

    /// Returns `value` if there are no diagnostics.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Applies `change` to each diagnostic.
    pub(crate) fn map(self, change: impl FnMut(Diagnostic) -> Diagnostic) -> Self {
        Self(self.0.into_iter().map(change).collect())
    }
}

impl From<Diagnostic> for Diagnostics {
    fn from(diagnostic: Diagnostic) -> Self {
        Self(vec![diagnostic])
    }
}

/// Collects the values of all results, or the diagnostics of all that failed.
pub(crate) fn collect_all<T>(
    results: impl Iterator<Item = Result<T, Diagnostics>>,
) -> Result<Vec<T>, Diagnostics> {
    let mut values = Vec::new();
    let mut diagnostics = Diagnostics::default();
    for result in results {
        match result {
            Ok(value) => values.push(value),
            Err(more) => diagnostics.append(more),
        }
    }
    diagnostics.into_result(values)
}

/// The diagnostics for a file that can't be used. They are displayed one per line, each with the name of the
/// file.
#[derive(Debug)]
pub struct OperatorConfigError {
    file: String,
    diagnostics: Vec<Diagnostic>,
}

impl OperatorConfigError {
    pub(crate) fn new(file: &str, diagnostics: Diagnostics) -> Self {
        let mut diagnostics = diagnostics.0;
        diagnostics.sort_by_cached_key(|diagnostic| (diagnostic.position, diagnostic.kind.to_string()));
        Self { file: file.to_owned(), diagnostics }
    }

    /// The diagnostics, ordered by position.
    #[must_use]
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }
}

impl std::error::Error for OperatorConfigError {}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, Diagnostic { position, kind }) in self.diagnostics.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{}:{}:{}: {kind}", self.file, position.line, position.column)?;
        }
        Ok(())
    }
}
