//! Values during evaluation: scalars, constraints on scalars that are not known yet, records, lists and
//! disjunctions.

use crate::diagnostic::Position;
use crate::syntax::{Alternative, Comparison, Presence, TypeName};
use regex_lite::Regex;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;

/// The maximum number of characters of a text that a message quotes.
const MAX_QUOTED_CHARS: usize = 80;

/// A concrete value other than a record or a list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Scalar {
    Int(i64),
    Float(f64),
    Text(String),
    Bool(bool),
    Null,
}

impl Scalar {
    fn as_number(&self) -> Option<f64> {
        match self {
            Self::Int(number) => Some(*number as f64),
            Self::Float(number) => Some(*number),
            _ => None,
        }
    }

    fn has_type(&self, type_name: TypeName) -> bool {
        match self {
            Self::Int(_) => matches!(type_name, TypeName::Int | TypeName::Number),
            Self::Float(_) => matches!(type_name, TypeName::Float | TypeName::Number),
            Self::Text(_) => type_name == TypeName::String,
            Self::Bool(_) => type_name == TypeName::Bool,
            Self::Null => false,
        }
    }

    /// The order of two numbers or two texts; `None` for any other pair.
    fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Text(left), Self::Text(right)) => Some(left.cmp(right)),
            _ => self.as_number()?.partial_cmp(&other.as_number()?),
        }
    }
}

impl fmt::Display for Scalar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Int(number) => write!(f, "{number}"),
            Self::Float(number) => write!(f, "{number:?}"),
            Self::Text(text) => write!(f, "{:?}", text.chars().take(MAX_QUOTED_CHARS).collect::<String>()),
            Self::Bool(flag) => write!(f, "{flag}"),
            Self::Null => write!(f, "null"),
        }
    }
}

/// A condition on a scalar.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Constraint {
    Type(TypeName),
    Bound { comparison: Comparison, limit: Scalar },
}

impl Constraint {
    pub(crate) fn is_satisfied_by(&self, value: &Scalar) -> bool {
        match self {
            Self::Type(type_name) => value.has_type(*type_name),
            Self::Bound { comparison, limit } => satisfies_bound(value, *comparison, limit),
        }
    }
}

fn satisfies_bound(value: &Scalar, comparison: Comparison, limit: &Scalar) -> bool {
    let order = value.compare(limit);
    match comparison {
        Comparison::NotEqual => value != limit,
        Comparison::Matches => matches_pattern(value, limit),
        Comparison::GreaterOrEqual => order.is_some_and(Ordering::is_ge),
        Comparison::LessOrEqual => order.is_some_and(Ordering::is_le),
        Comparison::Greater => order.is_some_and(Ordering::is_gt),
        Comparison::Less => order.is_some_and(Ordering::is_lt),
    }
}

fn matches_pattern(value: &Scalar, pattern: &Scalar) -> bool {
    match (value, pattern) {
        (Scalar::Text(text), Scalar::Text(pattern)) => {
            Regex::new(pattern).is_ok_and(|pattern| pattern.is_match(text))
        }
        _ => false,
    }
}

impl fmt::Display for Constraint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Type(type_name) => write!(f, "{}", type_name.name()),
            Self::Bound { comparison, limit } => write!(f, "{}{limit}", comparison.symbol()),
        }
    }
}

/// A field of a record, after its expression has been resolved.
#[derive(Clone, Debug)]
pub(crate) struct FieldValue {
    pub(crate) presence: Presence,
    pub(crate) value: Value,
    pub(crate) position: Position,
}

#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) fields: BTreeMap<String, FieldValue>,
    /// Whether unification with a record that has other fields is an error.
    pub(crate) is_closed: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum ValueKind {
    Any,
    /// A scalar that is not known yet and must satisfy all of these constraints.
    Constrained(Vec<Constraint>),
    Scalar(Scalar),
    Record(Record),
    List(Vec<Value>),
    /// A list of any length whose items all satisfy this value.
    ListOf(Box<Value>),
    /// Any one of these alternatives.
    Disjunction(Vec<Alternative<Value>>),
}

#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) kind: ValueKind,
    /// The position in the operator's file, or [`Position::WHOLE_FILE`] for a value that only the schema
    /// gives.
    pub(crate) position: Position,
}

/// Describes the value in messages: scalars and constraints are written out, records and lists are not.
impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ValueKind::Any => write!(f, "any value"),
            ValueKind::Constrained(constraints) => write_joined(f, constraints.iter(), " & "),
            ValueKind::Scalar(scalar) => write!(f, "{scalar}"),
            ValueKind::Record(_) => write!(f, "a record"),
            ValueKind::List(_) | ValueKind::ListOf(_) => write!(f, "a list"),
            ValueKind::Disjunction(alternatives) => {
                write_joined(f, alternatives.iter().map(|alternative| &alternative.value), " or ")
            }
        }
    }
}

fn write_joined<T: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    items: impl Iterator<Item = T>,
    separator: &str,
) -> fmt::Result {
    for (index, item) in items.enumerate() {
        if index > 0 {
            write!(f, "{separator}")?;
        }
        write!(f, "{item}")?;
    }
    Ok(())
}
