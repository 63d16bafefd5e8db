//! The resolver: turns the expressions of a syntax tree into values, with all references replaced by their
//! values.

use crate::diagnostic::{Diagnostic, DiagnosticKind, Diagnostics, Position};
use crate::suggestion::Suggestion;
use crate::syntax::{Alternative, Comparison, Expression, ExpressionKind, Field, TypeName};
use crate::unify::unify;
use crate::value::{Constraint, FieldValue, Record, Scalar, Value, ValueKind};
use regex_lite::Regex;
use std::collections::BTreeMap;

/// The maximum depth of nested expressions, counted through references; it ends the resolution of definitions
/// that refer to themselves.
const MAX_DEPTH: usize = 64;

/// The source of the fields that are resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The program's schema. Its positions are left out, because they mean nothing to the author of the file.
    Schema,
    /// The operator's file.
    File,
}

/// Resolves expressions whose references refer to `definitions`.
pub(crate) struct Resolver<'d> {
    definitions: &'d BTreeMap<&'d str, &'d Field>,
    origin: Origin,
}

/// The nesting depth of an expression, and the rule for records in it.
#[derive(Clone, Copy)]
struct Context {
    /// How many expressions and references contain this expression.
    depth: usize,
    /// Whether records here are closed: fields that they don't define are errors.
    is_closed: bool,
}

impl Context {
    fn nested(self) -> Self {
        Self { depth: self.depth + 1, ..self }
    }
}

impl<'d> Resolver<'d> {
    pub(crate) fn new(definitions: &'d BTreeMap<&'d str, &'d Field>, origin: Origin) -> Self {
        Self { definitions, origin }
    }

    /// Resolves the top level of a file to a record, without definitions and hidden fields. The record of the
    /// schema is closed, that of the operator's file is not.
    pub(crate) fn top_level(&self, fields: &[Field]) -> Result<Value, Diagnostics> {
        let fields: Vec<&Field> = fields.iter().filter(|field| !field.is_definition()).collect();
        let position = fields.first().map_or(Position::WHOLE_FILE, |field| self.position(field.position));
        self.record(&fields, position, Context { depth: 0, is_closed: self.origin == Origin::Schema })
    }

    fn position(&self, position: Position) -> Position {
        match self.origin {
            Origin::Schema => Position::WHOLE_FILE,
            Origin::File => position,
        }
    }

    fn record(&self, fields: &[&Field], position: Position, context: Context) -> Result<Value, Diagnostics> {
        let mut values: BTreeMap<String, FieldValue> = BTreeMap::new();
        let mut diagnostics = Diagnostics::default();
        for field in fields {
            let position = self.position(field.position);
            if field.is_definition() {
                diagnostics.push(Diagnostic::new(position, DiagnosticKind::NestedDefinition));
                continue;
            }
            match self.value(&field.value, context.nested()) {
                Ok(value) => {
                    let value = FieldValue { presence: field.presence, value, position };
                    // CUE unifies the values of a repeated field; here the repetition is reported as a
                    // mistake.
                    if values.insert(field.name.clone(), value).is_some() {
                        let kind = DiagnosticKind::DuplicateField(field.name.clone());
                        diagnostics.push(Diagnostic::new(position, kind));
                    }
                }
                Err(more) => diagnostics.append(more),
            }
        }
        let record = Record { fields: values, is_closed: context.is_closed };
        diagnostics.into_result(Value { kind: ValueKind::Record(record), position })
    }

    fn value(&self, expression: &Expression, context: Context) -> Result<Value, Diagnostics> {
        let position = self.position(expression.position);
        if context.depth > MAX_DEPTH {
            return Err(Diagnostic::new(position, DiagnosticKind::RecursionTooDeep).into());
        }
        let nested = |expression: &Expression| self.value(expression, context.nested());
        let kind = match &expression.kind {
            ExpressionKind::Int(number) => ValueKind::Scalar(Scalar::Int(*number)),
            ExpressionKind::Float(number) => ValueKind::Scalar(Scalar::Float(*number)),
            ExpressionKind::Text(text) => ValueKind::Scalar(Scalar::Text(text.clone())),
            ExpressionKind::Bool(flag) => ValueKind::Scalar(Scalar::Bool(*flag)),
            ExpressionKind::Null => ValueKind::Scalar(Scalar::Null),
            ExpressionKind::Type(TypeName::Any) => ValueKind::Any,
            ExpressionKind::Type(name) => ValueKind::Constrained(vec![Constraint::Type(*name)]),
            ExpressionKind::Bound(comparison, limit) => {
                let constraint = resolve_bound(*comparison, nested(limit)?, position)?;
                ValueKind::Constrained(vec![constraint])
            }
            ExpressionKind::Record(fields) => {
                let fields: Vec<&Field> = fields.iter().collect();
                return self.record(&fields, position, context);
            }
            ExpressionKind::List(items) => {
                ValueKind::List(items.iter().map(nested).collect::<Result<_, _>>()?)
            }
            ExpressionKind::ListOf(item) => ValueKind::ListOf(Box::new(nested(item)?)),
            ExpressionKind::Conjunction(parts) => {
                let mut unified = Value { kind: ValueKind::Any, position };
                for part in parts {
                    unified = unify(&unified, &nested(part)?)?;
                }
                return Ok(unified);
            }
            ExpressionKind::Disjunction(alternatives) => {
                let resolve = |alternative: &Alternative<Expression>| {
                    let value = nested(&alternative.value)?;
                    Ok(Alternative { is_default: alternative.is_default, value })
                };
                ValueKind::Disjunction(alternatives.iter().map(resolve).collect::<Result<_, Diagnostics>>()?)
            }
            ExpressionKind::Reference(name) => return self.reference(name, position, context),
        };
        Ok(Value { kind, position })
    }

    fn reference(&self, name: &str, position: Position, context: Context) -> Result<Value, Diagnostics> {
        let Some(field) = self.definitions.get(name) else {
            let suggestion = Suggestion::nearest(name, self.definitions.keys().copied());
            let kind = DiagnosticKind::UndefinedReference { name: name.to_owned(), suggestion };
            return Err(Diagnostic::new(position, kind).into());
        };
        // Records in a definition are closed wherever it is used; those in a hidden field are not.
        let context = Context { is_closed: name.starts_with('#'), ..context.nested() };
        let value = self.value(&field.value, context)?;
        Ok(Value { position, ..value })
    }
}

fn resolve_bound(
    comparison: Comparison,
    limit: Value,
    position: Position,
) -> Result<Constraint, Diagnostics> {
    match limit.kind {
        ValueKind::Scalar(Scalar::Text(pattern)) if comparison == Comparison::Matches => {
            if let Err(error) = Regex::new(&pattern) {
                let kind = DiagnosticKind::InvalidPattern { pattern, error };
                return Err(Diagnostic::new(position, kind).into());
            }
            Ok(Constraint::Bound { comparison, limit: Scalar::Text(pattern) })
        }
        ValueKind::Scalar(limit) if comparison != Comparison::Matches => {
            Ok(Constraint::Bound { comparison, limit })
        }
        _ => Err(Diagnostic::new(position, DiagnosticKind::InvalidBound).into()),
    }
}
