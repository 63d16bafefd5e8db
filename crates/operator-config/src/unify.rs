//! Unification: the value that satisfies two others at once, as in CUE's `&`.

use crate::diagnostic::{Diagnostic, DiagnosticKind, Diagnostics, Position, collect_all};
use crate::suggestion::Suggestion;
use crate::syntax::{Alternative, Presence};
use crate::value::{Constraint, FieldValue, Record, Value, ValueKind};
use std::collections::{BTreeMap, BTreeSet};

/// So many alternatives can be possible at once.
const MAX_ALTERNATIVES: usize = 64;

/// Unifies two values.
pub(crate) fn unify(one: &Value, other: &Value) -> Result<Value, Diagnostics> {
    let position = other.position.or(one.position);
    let kind = match (&one.kind, &other.kind) {
        (ValueKind::Any, kind) | (kind, ValueKind::Any) => kind.clone(),
        (ValueKind::Disjunction(alternatives), _) => {
            return disjunction(alternatives, other, position, || mismatch(one, other, position));
        }
        (_, ValueKind::Disjunction(alternatives)) => {
            return disjunction(alternatives, one, position, || mismatch(one, other, position));
        }
        (ValueKind::Constrained(constraints), ValueKind::Constrained(more)) => {
            ValueKind::Constrained(merge_constraints(constraints, more))
        }
        (ValueKind::Constrained(constraints), ValueKind::Plain(scalar))
        | (ValueKind::Plain(scalar), ValueKind::Constrained(constraints))
            if constraints.iter().all(|constraint| constraint.is_satisfied_by(scalar)) =>
        {
            ValueKind::Plain(scalar.clone())
        }
        (ValueKind::Plain(scalar), ValueKind::Plain(same)) if scalar == same => {
            ValueKind::Plain(scalar.clone())
        }
        (ValueKind::ListOf(item), ValueKind::ListOf(same)) => ValueKind::ListOf(Box::new(unify(item, same)?)),
        (ValueKind::ListOf(item), ValueKind::List(items))
        | (ValueKind::List(items), ValueKind::ListOf(item)) => {
            ValueKind::List(collect_all(items.iter().map(|given| unify(item, given)))?)
        }
        (ValueKind::List(items), ValueKind::List(same)) if items.len() == same.len() => {
            ValueKind::List(collect_all(items.iter().zip(same).map(|(item, same)| unify(item, same)))?)
        }
        (ValueKind::Record(record), ValueKind::Record(more)) => ValueKind::Record(records(record, more)?),
        _ => return Err(mismatch(one, other, position).into()),
    };
    Ok(Value { kind, position })
}

/// The diagnostic for two values that nothing satisfies.
fn mismatch(one: &Value, other: &Value, position: Position) -> Diagnostic {
    // What only the schema says is what was expected.
    let (expected, given) = if one.position.is_whole_file() { (one, other) } else { (other, one) };
    let kind = DiagnosticKind::Mismatch { given: given.to_string(), expected: expected.to_string() };
    Diagnostic::new(position, kind)
}

fn merge_constraints(constraints: &[Constraint], more: &[Constraint]) -> Vec<Constraint> {
    let new = more.iter().filter(|constraint| !constraints.contains(constraint));
    constraints.iter().chain(new).cloned().collect()
}

/// Unifies the alternatives of a disjunction with another value; `mismatch` makes the diagnostic if none is possible.
fn disjunction(
    alternatives: &[Alternative<Value>],
    with: &Value,
    position: Position,
    mismatch: impl Fn() -> Diagnostic,
) -> Result<Value, Diagnostics> {
    let mut possible: Vec<Alternative<Value>> = Vec::new();
    let mut last_error = None;
    for alternative in alternatives {
        match unify(&alternative.value, with) {
            Ok(value) => add_possible(&mut possible, alternative.is_default, value, position),
            Err(diagnostics) => last_error = Some(diagnostics),
        }
    }
    if possible.len() > MAX_ALTERNATIVES {
        let kind = DiagnosticKind::TooManyAlternatives { max_alternatives: MAX_ALTERNATIVES };
        return Err(Diagnostic::new(position, kind).into());
    }
    match (possible.len(), last_error) {
        // In a record or a list the position within it says more.
        (0, Some(error)) if matches!(with.kind, ValueKind::Record(_) | ValueKind::List(_)) => Err(error),
        (0, _) => Err(mismatch().into()),
        (1, _) => Ok(possible.remove(0).value),
        _ => Ok(Value { kind: ValueKind::Disjunction(possible), position }),
    }
}

/// Adds a value that is possible. Disjunctions on both sides multiply.
fn add_possible(possible: &mut Vec<Alternative<Value>>, is_default: bool, value: Value, position: Position) {
    match value.kind {
        ValueKind::Disjunction(inner) => possible.extend(inner.into_iter().map(|alternative| Alternative {
            is_default: is_default || alternative.is_default,
            value: alternative.value,
        })),
        kind => possible.push(Alternative { is_default, value: Value { kind, position } }),
    }
}

fn records(one: &Record, other: &Record) -> Result<Record, Diagnostics> {
    let mut fields = BTreeMap::new();
    let mut diagnostics = Diagnostics::default();
    let names: BTreeSet<&String> = one.fields.keys().chain(other.fields.keys()).collect();
    for name in names {
        let unified = match (one.fields.get(name), other.fields.get(name)) {
            (Some(field), Some(same)) => field_in_both(name, field, same).map(Some),
            (Some(field), None) => field_in_one(name, field, other),
            (None, Some(field)) => field_in_one(name, field, one),
            (None, None) => Ok(None),
        };
        match unified {
            Ok(Some(field)) => drop(fields.insert(name.clone(), field)),
            Ok(None) => {}
            Err(more) => diagnostics.append(more),
        }
    }
    diagnostics.into_result(Record { fields, is_closed: one.is_closed || other.is_closed })
}

fn field_in_both(name: &str, one: &FieldValue, other: &FieldValue) -> Result<FieldValue, Diagnostics> {
    let position = other.position.or(one.position);
    let value = unify(&one.value, &other.value)
        .map_err(|diagnostics| diagnostics.map(|diagnostic| in_field(name, position, diagnostic)))?;
    let presence = match (one.presence, other.presence) {
        (Presence::Regular, _) | (_, Presence::Regular) => Presence::Regular,
        (Presence::Required, _) | (_, Presence::Required) => Presence::Required,
        (Presence::Optional, Presence::Optional) => Presence::Optional,
    };
    Ok(FieldValue { presence, value, position })
}

/// The diagnostic for a field's value, with the field's name unless one within it is named already.
fn in_field(name: &str, position: Position, diagnostic: Diagnostic) -> Diagnostic {
    let is_here = diagnostic.position >= position && !diagnostic.kind.names_field();
    let kind = if diagnostic.position.is_whole_file() || is_here {
        DiagnosticKind::InField { name: name.to_owned(), kind: Box::new(diagnostic.kind) }
    } else {
        diagnostic.kind
    };
    Diagnostic::new(diagnostic.position.or(position), kind)
}

/// A field that `other` does not have.
fn field_in_one(name: &str, field: &FieldValue, other: &Record) -> Result<Option<FieldValue>, Diagnostics> {
    if !other.is_closed {
        return Ok(Some(field.clone()));
    }
    if field.presence == Presence::Optional {
        return Ok(None);
    }
    let suggestion = Suggestion::nearest(name, other.fields.keys().map(String::as_str));
    let kind = DiagnosticKind::UnknownField { name: name.to_owned(), suggestion };
    Err(Diagnostic::new(field.position, kind).into())
}
