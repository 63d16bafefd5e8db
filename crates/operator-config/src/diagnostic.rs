//! What is wrong with a file, and where.

use crate::suggestion::Suggestion;
use ipnet::IpNet;
use std::fmt;
use std::time::Duration;

/// A position in a file; line 0 is the file as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
}

impl Position {
    /// The file as a whole.
    pub const WHOLE_FILE: Self = Self { line: 0, column: 0 };

    /// This position, or the other one if this is the whole file.
    pub(crate) fn or(self, other: Self) -> Self {
        if self.is_whole_file() { other } else { self }
    }

    pub(crate) fn is_whole_file(self) -> bool {
        self == Self::WHOLE_FILE
    }
}

/// Something that is wrong.
#[derive(Debug)]
pub struct Diagnostic {
    /// Where.
    pub position: Position,
    /// What.
    pub kind: DiagnosticKind,
}

impl Diagnostic {
    pub(crate) fn new(position: Position, kind: DiagnosticKind) -> Self {
        Self { position, kind }
    }

    /// A diagnostic of the file as a whole.
    pub(crate) fn of_file(kind: DiagnosticKind) -> Self {
        Self::new(Position::WHOLE_FILE, kind)
    }
}

/// What is wrong.
#[derive(Debug, thiserror::Error)]
pub enum DiagnosticKind {
    /// The file can't be read.
    #[error("{0}")]
    Io(#[source] std::io::Error),
    /// The file is too long.
    #[error("longer than {max_bytes} bytes")]
    FileTooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// The file is no text.
    #[error("no UTF-8: {0}")]
    NotUtf8(#[source] std::str::Utf8Error),
    /// The program's own schema is wrong.
    #[error("the schema: {0}")]
    InvalidSchema(Box<DiagnosticKind>),
    /// Brackets are nested too deeply.
    #[error("nested more than {max_depth} deep")]
    NestedTooDeeply {
        /// The limit.
        max_depth: usize,
    },
    /// Something else was expected by the grammar.
    #[error("expected {}", .0.join(" or "))]
    Expected(Vec<&'static str>),
    /// The grammar matched a construct that lacks a part.
    #[error("{construct}")]
    Incomplete {
        /// The construct.
        construct: &'static str,
    },
    /// A number that is too large.
    #[error("'{0}' is no number that fits")]
    NumberOutOfRange(String),
    /// A definition that exists already.
    #[error("'{0}' is defined already")]
    DuplicateDefinition(String),
    /// A definition or hidden field within a record.
    #[error("definitions and hidden fields stand at the top of the file")]
    NestedDefinition,
    /// A field that stands twice in a record.
    #[error("'{0}' stands here twice")]
    DuplicateField(String),
    /// References go too deep, as in a definition that refers to itself.
    #[error("it refers to itself, or is nested too deeply")]
    RecursionTooDeep,
    /// A pattern that is no regular expression.
    #[error("the pattern {pattern:?}: {error}")]
    InvalidPattern {
        /// The pattern.
        pattern: String,
        /// What is wrong with it.
        error: regex_lite::Error,
    },
    /// A bound whose limit is no plain value.
    #[error("a bound needs a plain value")]
    InvalidBound,
    /// A reference to a definition that does not exist.
    #[error("'{name}' is not defined{suggestion}")]
    UndefinedReference {
        /// The name.
        name: String,
        /// A name that may be meant.
        suggestion: Suggestion,
    },
    /// A value that does not fit what the schema or another part of the file expects.
    #[error("{given} does not fit {expected}")]
    Mismatch {
        /// The value.
        given: String,
        /// What was expected.
        expected: String,
    },
    /// Too many alternatives are possible at once.
    #[error("more than {max_alternatives} alternatives")]
    TooManyAlternatives {
        /// The limit.
        max_alternatives: usize,
    },
    /// A field that the schema does not have.
    #[error("there is no field '{name}' here{suggestion}")]
    UnknownField {
        /// The name.
        name: String,
        /// A name that may be meant.
        suggestion: Suggestion,
    },
    /// Something is wrong with the value of a field.
    #[error("'{name}': {kind}")]
    InField {
        /// The field.
        name: String,
        /// What is wrong.
        kind: Box<DiagnosticKind>,
    },
    /// A field without a value and without a default.
    #[error("'{path}' needs a value: {expected}")]
    MissingValue {
        /// The field's path.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// A required field that is missing.
    #[error("'{path}' is missing")]
    MissingField {
        /// The field's path.
        path: String,
    },
    /// The unified file does not decode to settings: the program's schema and settings disagree.
    #[error("{0}")]
    Undecodable(#[source] serde_json::Error),
    /// A setting fits the schema and can't be used.
    #[error("'{path}': {error}")]
    InvalidSetting {
        /// The setting's path.
        path: String,
        /// What is wrong.
        error: SettingError,
    },
}

impl DiagnosticKind {
    /// Whether the message names the field that it is about.
    pub(crate) fn names_field(&self) -> bool {
        !matches!(self, Self::Mismatch { .. } | Self::TooManyAlternatives { .. })
    }
}

/// Why a setting that fits the schema can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingError {
    /// A duration out of range.
    #[error("{text} is not between {min:?} and {max:?}")]
    DurationOutOfRange {
        /// The duration as it is written.
        text: String,
        /// The shortest that is accepted.
        min: Duration,
        /// The longest that is accepted.
        max: Duration,
    },
    /// Too few or too many items.
    #[error("{count} are named, and 1 to {max} can be")]
    WrongCount {
        /// How many there are.
        count: usize,
        /// The most that are accepted.
        max: usize,
    },
    /// It is no socket address.
    #[error("{0}")]
    InvalidAddress(#[from] std::net::AddrParseError),
    /// It is no network.
    #[error("{0}")]
    InvalidNetwork(#[from] ipnet::AddrParseError),
    /// A network whose address has bits beyond the prefix.
    #[error("{network} has bits set behind its length; {} is meant", network.trunc())]
    HostBitsSet {
        /// The network as it is written.
        network: IpNet,
    },
    /// A network that is named twice.
    #[error("{network} is named twice")]
    DuplicateNetwork {
        /// The network.
        network: IpNet,
    },
    /// A server's URL that is named twice.
    #[error("it is named twice")]
    DuplicateUrl,
    /// One application is fetched, and several are named.
    #[error("\"app\" reads one application, and several are named")]
    SeveralApps,
    /// A virtual address without the fetch mode for it, or the other way round.
    #[error("it goes with read: \"vip\", and with nothing else")]
    VipWithoutVipMode,
    /// A lease that one lost renewal would end.
    #[error("one renewal that is lost must not end it: twice 'renew' at least")]
    LeaseTooShort,
    /// An amount of memory out of range.
    #[error("between 64KB and 1024MB")]
    SizeOutOfRange,
}

/// All that is wrong at one stage.
#[derive(Debug, Default)]
pub(crate) struct Diagnostics(Vec<Diagnostic>);

impl Diagnostics {
    pub(crate) fn push(&mut self, diagnostic: Diagnostic) {
        self.0.push(diagnostic);
    }

    pub(crate) fn append(&mut self, more: Self) {
        self.0.extend(more.0);
    }

    /// Returns `value` if nothing is wrong.
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

/// Collects all values, or all that is wrong with them.
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

/// Why a file can't be used: all that is wrong with it.
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

    /// All that is wrong, in the order of the positions.
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
