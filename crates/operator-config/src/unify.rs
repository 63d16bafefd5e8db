//! Unification: finds the value that satisfies two others at once, as CUE's `&` does.

use crate::diagnostic::{Diagnostic, DiagnosticKind, Diagnostics, Position, collect_all};
use crate::suggestion::Suggestion;
use crate::syntax::{Alternative, Presence};
use crate::value::{Constraint, FieldValue, Record, Value, ValueKind};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of alternatives of a disjunction that may remain possible.
const MAX_ALTERNATIVES: usize = 64;

/// Unifies two values. The result has the position of `right`, or that of `left` if `right` has none in the
/// file.
pub(crate) fn unify(left: &Value, right: &Value) -> Result<Value, Diagnostics> {
    let position = right.position.or(left.position);
    let kind = match (&left.kind, &right.kind) {
        (ValueKind::Any, kind) | (kind, ValueKind::Any) => kind.clone(),
        (ValueKind::Disjunction(alternatives), _) => {
            return unify_disjunction(alternatives, right, position, || mismatch(left, right, position));
        }
        (_, ValueKind::Disjunction(alternatives)) => {
            return unify_disjunction(alternatives, left, position, || mismatch(left, right, position));
        }
        (ValueKind::Constrained(left), ValueKind::Constrained(right)) => {
            ValueKind::Constrained(merge_constraints(left, right))
        }
        (ValueKind::Constrained(constraints), ValueKind::Scalar(scalar))
        | (ValueKind::Scalar(scalar), ValueKind::Constrained(constraints))
            if constraints.iter().all(|constraint| constraint.is_satisfied_by(scalar)) =>
        {
            ValueKind::Scalar(scalar.clone())
        }
        (ValueKind::Scalar(left), ValueKind::Scalar(right)) if left == right => {
            ValueKind::Scalar(left.clone())
        }
        (ValueKind::ListOf(left), ValueKind::ListOf(right)) => {
            ValueKind::ListOf(Box::new(unify(left, right)?))
        }
        (ValueKind::ListOf(item), ValueKind::List(items))
        | (ValueKind::List(items), ValueKind::ListOf(item)) => {
            ValueKind::List(collect_all(items.iter().map(|given| unify(item, given)))?)
        }
        (ValueKind::List(left), ValueKind::List(right)) if left.len() == right.len() => {
            ValueKind::List(collect_all(left.iter().zip(right).map(|(left, right)| unify(left, right)))?)
        }
        (ValueKind::Record(left), ValueKind::Record(right)) => ValueKind::Record(unify_records(left, right)?),
        _ => return Err(mismatch(left, right, position).into()),
    };
    Ok(Value { kind, position })
}

/// The diagnostic for two values that no value satisfies at once.
fn mismatch(left: &Value, right: &Value, position: Position) -> Diagnostic {
    // A value that only the schema gives is the expected one.
    let (expected, given) = if left.position.is_whole_file() { (left, right) } else { (right, left) };
    let kind = DiagnosticKind::Mismatch { given: given.to_string(), expected: expected.to_string() };
    Diagnostic::new(position, kind)
}

fn merge_constraints(left: &[Constraint], right: &[Constraint]) -> Vec<Constraint> {
    let new = right.iter().filter(|constraint| !left.contains(constraint));
    left.iter().chain(new).cloned().collect()
}

/// Unifies the alternatives of a disjunction with another value; `mismatch` makes the diagnostic for the case
/// that no alternative is possible.
fn unify_disjunction(
    alternatives: &[Alternative<Value>],
    other: &Value,
    position: Position,
    mismatch: impl Fn() -> Diagnostic,
) -> Result<Value, Diagnostics> {
    let mut possible: Vec<Alternative<Value>> = Vec::new();
    let mut last_error = None;
    for alternative in alternatives {
        match unify(&alternative.value, other) {
            Ok(value) => add_possible(&mut possible, alternative.is_default, value, position),
            Err(diagnostics) => last_error = Some(diagnostics),
        }
    }
    if possible.len() > MAX_ALTERNATIVES {
        let kind = DiagnosticKind::TooManyAlternatives { max_alternatives: MAX_ALTERNATIVES };
        return Err(Diagnostic::new(position, kind).into());
    }
    match (possible.len(), last_error) {
        // An error inside a record or a list has a more exact position than the mismatch as a whole.
        (0, Some(error)) if matches!(other.kind, ValueKind::Record(_) | ValueKind::List(_)) => Err(error),
        (0, _) => Err(mismatch().into()),
        (1, _) => Ok(possible.remove(0).value),
        _ => Ok(Value { kind: ValueKind::Disjunction(possible), position }),
    }
}

/// Adds a possible value. If it is a disjunction itself, its alternatives are added one by one.
fn add_possible(possible: &mut Vec<Alternative<Value>>, is_default: bool, value: Value, position: Position) {
    match value.kind {
        ValueKind::Disjunction(inner) => possible.extend(inner.into_iter().map(|alternative| Alternative {
            is_default: is_default || alternative.is_default,
            value: alternative.value,
        })),
        kind => possible.push(Alternative { is_default, value: Value { kind, position } }),
    }
}

fn unify_records(left: &Record, right: &Record) -> Result<Record, Diagnostics> {
    let mut fields = BTreeMap::new();
    let mut diagnostics = Diagnostics::default();
    let names: BTreeSet<&String> = left.fields.keys().chain(right.fields.keys()).collect();
    for name in names {
        let unified = match (left.fields.get(name), right.fields.get(name)) {
            (Some(left), Some(right)) => field_in_both(name, left, right).map(Some),
            (Some(field), None) => field_in_one(name, field, right),
            (None, Some(field)) => field_in_one(name, field, left),
            (None, None) => Ok(None),
        };
        match unified {
            Ok(Some(field)) => drop(fields.insert(name.clone(), field)),
            Ok(None) => {}
            Err(more) => diagnostics.append(more),
        }
    }
    diagnostics.into_result(Record { fields, is_closed: left.is_closed || right.is_closed })
}

fn field_in_both(name: &str, left: &FieldValue, right: &FieldValue) -> Result<FieldValue, Diagnostics> {
    let position = right.position.or(left.position);
    let value = unify(&left.value, &right.value)
        .map_err(|diagnostics| diagnostics.map(|diagnostic| in_field(name, position, diagnostic)))?;
    let presence = match (left.presence, right.presence) {
        (Presence::Regular, _) | (_, Presence::Regular) => Presence::Regular,
        (Presence::Required, _) | (_, Presence::Required) => Presence::Required,
        (Presence::Optional, Presence::Optional) => Presence::Optional,
    };
    Ok(FieldValue { presence, value, position })
}

/// Adds the field's name to a diagnostic for its value, unless the diagnostic already names a field inside
/// the value.
fn in_field(name: &str, position: Position, diagnostic: Diagnostic) -> Diagnostic {
    let lacks_field_name = diagnostic.position >= position && !diagnostic.kind.is_self_contained();
    let kind = if diagnostic.position.is_whole_file() || lacks_field_name {
        DiagnosticKind::InField { name: name.to_owned(), kind: Box::new(diagnostic.kind) }
    } else {
        diagnostic.kind
    };
    Diagnostic::new(diagnostic.position.or(position), kind)
}

/// Unifies a field with a record that does not have it. A closed record rejects the field unless it is
/// optional.
fn field_in_one(name: &str, field: &FieldValue, record: &Record) -> Result<Option<FieldValue>, Diagnostics> {
    if !record.is_closed {
        return Ok(Some(field.clone()));
    }
    if field.presence == Presence::Optional {
        return Ok(None);
    }
    let suggestion = Suggestion::nearest(name, record.fields.keys().map(String::as_str));
    let kind = DiagnosticKind::UnknownField { name: name.to_owned(), suggestion };
    Err(Diagnostic::new(field.position, kind).into())
}
