//! The export: turns a unified value into a concrete one, with the defaults filled in.

use crate::diagnostic::{Diagnostic, DiagnosticKind, Diagnostics, Position, collect_all};
use crate::syntax::{Alternative, Presence};
use crate::value::{Record, Scalar, Value, ValueKind};
use serde_json::Value as Json;
use std::collections::BTreeMap;

/// A concrete value, with the positions of all its fields and items.
#[derive(Clone, Debug)]
pub(crate) struct ExportedValue {
    pub(crate) json: Json,
    /// The positions by path, such as `registry.servers[0].url`; the empty path is the whole value.
    positions: BTreeMap<String, Position>,
}

impl ExportedValue {
    /// The position of the field or item at `path`. A default has no position in the file; for a default this
    /// is the position of the innermost record or list around it that has one.
    pub(crate) fn position(&self, path: &str) -> Position {
        let mut path = path;
        loop {
            match self.positions.get(path) {
                Some(position) if !position.is_whole_file() => return *position,
                _ if path.is_empty() => return Position::WHOLE_FILE,
                _ => path = parent_path(path),
            }
        }
    }
}

fn parent_path(path: &str) -> &str {
    path.rfind(['.', '[']).map_or("", |end| &path[..end])
}

/// Exports a unified value; each field must have a concrete value or a single default.
pub(crate) fn export(value: &Value) -> Result<ExportedValue, Diagnostics> {
    let mut exporter = Exporter { positions: BTreeMap::new() };
    let json = exporter.value(value, String::new(), Position::WHOLE_FILE)?;
    Ok(ExportedValue { json, positions: exporter.positions })
}

struct Exporter {
    positions: BTreeMap<String, Position>,
}

impl Exporter {
    fn value(&mut self, value: &Value, path: String, parent: Position) -> Result<Json, Diagnostics> {
        let position = value.position.or(parent);
        let json = match &value.kind {
            ValueKind::Scalar(scalar) => scalar_json(scalar),
            ValueKind::Any | ValueKind::Constrained(_) => {
                return Err(missing_value(value, path, position).into());
            }
            ValueKind::Disjunction(alternatives) => match single_default(alternatives) {
                Some(default) => return self.value(default, path, position),
                None => return Err(missing_value(value, path, position).into()),
            },
            ValueKind::ListOf(_) => Json::Array(Vec::new()),
            ValueKind::List(items) => {
                let items = items.iter().enumerate();
                let exported =
                    items.map(|(index, item)| self.value(item, format!("{path}[{index}]"), position));
                Json::Array(collect_all(exported)?)
            }
            ValueKind::Record(record) => self.record(record, &path, position)?,
        };
        self.positions.insert(path, position);
        Ok(json)
    }

    fn record(&mut self, record: &Record, path: &str, position: Position) -> Result<Json, Diagnostics> {
        let mut object = serde_json::Map::new();
        let mut diagnostics = Diagnostics::default();
        for (name, field) in &record.fields {
            let field_path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            match field.presence {
                Presence::Optional => {}
                Presence::Required => {
                    let kind = DiagnosticKind::MissingField { path: field_path };
                    diagnostics.push(Diagnostic::new(position, kind));
                }
                Presence::Regular => {
                    match self.value(&field.value, field_path, field.position.or(position)) {
                        Ok(value) => drop(object.insert(name.clone(), value)),
                        Err(more) => diagnostics.append(more),
                    }
                }
            }
        }
        diagnostics.into_result(Json::Object(object))
    }
}

fn scalar_json(scalar: &Scalar) -> Json {
    match scalar {
        Scalar::Int(number) => Json::from(*number),
        Scalar::Float(number) => Json::from(*number),
        Scalar::Text(text) => Json::from(text.as_str()),
        Scalar::Bool(flag) => Json::from(*flag),
        Scalar::Null => Json::Null,
    }
}

/// The default alternative, if exactly one is marked as such.
fn single_default(alternatives: &[Alternative<Value>]) -> Option<&Value> {
    let mut defaults = alternatives.iter().filter(|alternative| alternative.is_default);
    let first = defaults.next()?;
    defaults.next().is_none().then_some(&first.value)
}

fn missing_value(value: &Value, path: String, position: Position) -> Diagnostic {
    Diagnostic::new(position, DiagnosticKind::MissingValue { path, expected: value.to_string() })
}
