//! Evaluation: resolves the schema and the file, unifies them and fills in the defaults.

use crate::diagnostic::{Diagnostic, DiagnosticKind, Diagnostics};
use crate::export::{ExportedValue, export};
use crate::resolve::{Origin, Resolver};
use crate::syntax::Field;
use crate::unify::unify;
use std::collections::BTreeMap;

/// Evaluates a file against the schema; both are given as the fields of their top level.
pub(crate) fn evaluate(schema: &[Field], file: &[Field]) -> Result<ExportedValue, Diagnostics> {
    let definitions = collect_definitions(schema, file)?;
    let expected = Resolver::new(&definitions, Origin::Schema).top_level(schema)?;
    let given = Resolver::new(&definitions, Origin::File).top_level(file)?;
    export(&unify(&expected, &given)?)
}

/// Collects the definitions of schema and file by name. The file may add definitions but not replace any.
fn collect_definitions<'f>(
    schema: &'f [Field],
    file: &'f [Field],
) -> Result<BTreeMap<&'f str, &'f Field>, Diagnostics> {
    let mut definitions = BTreeMap::new();
    for field in schema.iter().filter(|field| field.is_definition()) {
        definitions.insert(field.name.as_str(), field);
    }
    let mut diagnostics = Diagnostics::default();
    for field in file.iter().filter(|field| field.is_definition()) {
        if definitions.insert(field.name.as_str(), field).is_some() {
            let kind = DiagnosticKind::DuplicateDefinition(field.name.clone());
            diagnostics.push(Diagnostic::new(field.position, kind));
        }
    }
    diagnostics.into_result(definitions)
}
