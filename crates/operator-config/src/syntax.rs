//! The syntax tree of a file: fields and expressions with their positions.

use crate::diagnostic::Position;

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Expression {
    pub(crate) kind: ExpressionKind,
    pub(crate) position: Position,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ExpressionKind {
    /// Any one of the alternatives: `a | b`.
    Disjunction(Vec<Alternative<Expression>>),
    /// All of the parts at once: `a & b`.
    Conjunction(Vec<Expression>),
    Record(Vec<Field>),
    List(Vec<Expression>),
    /// A list of any length whose items all satisfy this expression: `[...a]`.
    ListOf(Box<Expression>),
    Bound(Comparison, Box<Expression>),
    Int(i64),
    Float(f64),
    Text(String),
    Bool(bool),
    Null,
    Type(TypeName),
    /// The name of a definition or of a hidden field.
    Reference(String),
}

/// An alternative of a disjunction.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Alternative<T> {
    /// Whether this alternative is marked as the default: `*a`.
    pub(crate) is_default: bool,
    pub(crate) value: T,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Comparison {
    GreaterOrEqual,
    LessOrEqual,
    Greater,
    Less,
    NotEqual,
    /// The text matches a regular expression.
    Matches,
}

impl Comparison {
    const ALL: [Self; 6] =
        [Self::GreaterOrEqual, Self::LessOrEqual, Self::Greater, Self::Less, Self::NotEqual, Self::Matches];

    /// The operator as it is written in a file.
    pub(crate) fn symbol(self) -> &'static str {
        match self {
            Self::GreaterOrEqual => ">=",
            Self::LessOrEqual => "<=",
            Self::Greater => ">",
            Self::Less => "<",
            Self::NotEqual => "!=",
            Self::Matches => "=~",
        }
    }

    pub(crate) fn from_symbol(symbol: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|comparison| comparison.symbol() == symbol)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TypeName {
    /// Any value, written `_`.
    Any,
    String,
    Int,
    Float,
    Number,
    Bool,
}

impl TypeName {
    const ALL: [Self; 6] = [Self::Any, Self::String, Self::Int, Self::Float, Self::Number, Self::Bool];

    /// The name as it is written in a file.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Any => "_",
            Self::String => "string",
            Self::Int => "int",
            Self::Float => "float",
            Self::Number => "number",
            Self::Bool => "bool",
        }
    }

    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|type_name| type_name.name() == name)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// `field:`, which has a value.
    Regular,
    /// `field?:`, which may be missing.
    Optional,
    /// `field!:`, which must be given.
    Required,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Field {
    pub(crate) name: String,
    pub(crate) presence: Presence,
    pub(crate) value: Expression,
    pub(crate) position: Position,
}

impl Field {
    /// Whether the field is a definition (`#name`) or hidden (`_name`): it can be referred to, but is not a
    /// setting.
    pub(crate) fn is_definition(&self) -> bool {
        self.name.starts_with(['#', '_'])
    }
}
