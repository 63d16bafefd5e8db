//! The parser: turns a file's text into its syntax tree.

use crate::diagnostic::{Diagnostic, DiagnosticKind, Position};
use crate::syntax::{Alternative, Comparison, Expression, ExpressionKind, Field, Presence, TypeName};
use pest::Parser;
use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;

#[derive(pest_derive::Parser)]
#[grammar = "cue.pest"]
struct Grammar;

/// The maximum nesting depth of records, lists and parentheses.
const MAX_NESTING_DEPTH: usize = 32;

/// Parses a file to the fields of its top level. The names of definitions include their `#`.
pub(crate) fn parse(text: &str) -> Result<Vec<Field>, Diagnostic> {
    if let Some(position) = find_excessive_nesting(text) {
        return Err(Diagnostic::new(
            position,
            DiagnosticKind::NestedTooDeeply { max_depth: MAX_NESTING_DEPTH },
        ));
    }
    let mut parsed = Grammar::parse(Rule::file, text).map_err(|error| syntax_diagnostic(&error))?;
    let file = parsed.next().map(Pair::into_inner);
    file.into_iter().flatten().filter(|pair| pair.as_rule() == Rule::field).map(field).collect()
}

/// Finds the first bracket that exceeds [`MAX_NESTING_DEPTH`]. The generated parser recurses once per open
/// bracket, which is why the depth is checked before it runs.
fn find_excessive_nesting(text: &str) -> Option<Position> {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut escaped = false;
    let mut in_comment = false;
    let mut position = Position { line: 1, column: 0 };
    let mut characters = text.chars().peekable();
    while let Some(character) = characters.next() {
        position.column += 1;
        match character {
            '\n' => {
                (in_string, in_comment, escaped) = (false, false, false);
                position = Position { line: position.line + 1, column: 0 };
            }
            _ if in_comment => {}
            _ if escaped => escaped = false,
            '\\' if in_string => escaped = true,
            '"' => in_string = !in_string,
            _ if in_string => {}
            '/' => in_comment = characters.peek() == Some(&'/'),
            '{' | '[' | '(' => depth += 1,
            '}' | ']' | ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING_DEPTH {
            return Some(position);
        }
    }
    None
}

fn syntax_diagnostic(error: &pest::error::Error<Rule>) -> Diagnostic {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(start) | LineColLocation::Span(start, _) => start,
    };
    let expected_rules = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => positives.as_slice(),
        ErrorVariant::CustomError { .. } => &[],
    };
    let mut expected: Vec<&str> = expected_rules.iter().map(rule_description).collect();
    expected.sort_unstable();
    expected.dedup();
    Diagnostic::new(Position { line, column }, DiagnosticKind::Expected(expected))
}

fn rule_description(rule: &Rule) -> &'static str {
    match rule {
        Rule::field | Rule::label => "a field",
        Rule::expression | Rule::alternative | Rule::conjunct | Rule::elements => "a value",
        Rule::record => "a record",
        Rule::list => "a list",
        Rule::number => "a number",
        Rule::string | Rule::inner => "text in quotes",
        Rule::identifier | Rule::definition | Rule::reference => "a name",
        Rule::presence => "':', '?:' or '!:'",
        Rule::EOI => "the end of the file",
        Rule::operator | Rule::bound => "a bound (such as >=1)",
        Rule::escape => "a valid escape sequence",
        _ => "another construct",
    }
}

fn position_of(pair: &Pair<'_, Rule>) -> Position {
    let (line, column) = pair.line_col();
    Position { line, column }
}

/// The diagnostic for a construct that lacks one of its parts. The grammar rules out all of these cases.
fn incomplete(position: Position, construct: &'static str) -> Diagnostic {
    Diagnostic::new(position, DiagnosticKind::Incomplete { construct })
}

fn field(pair: Pair<'_, Rule>) -> Result<Field, Diagnostic> {
    let position = position_of(&pair);
    let mut name = String::new();
    let mut presence = Presence::Regular;
    let mut value = None;
    for part in pair.into_inner() {
        match part.as_rule() {
            Rule::label => name = label(part),
            Rule::presence if part.as_str() == "?" => presence = Presence::Optional,
            Rule::presence => presence = Presence::Required,
            _ => value = Some(expression(part)?),
        }
    }
    let value = value.ok_or_else(|| incomplete(position, "a field without a value"))?;
    Ok(Field { name, presence, value, position })
}

fn label(pair: Pair<'_, Rule>) -> String {
    let source = pair.as_str();
    match pair.into_inner().next() {
        Some(inner) if inner.as_rule() == Rule::string => unescape(inner),
        _ => source.trim().to_owned(),
    }
}

/// The text of a string, without its quotes and with its escape sequences replaced.
fn unescape(pair: Pair<'_, Rule>) -> String {
    let inner = pair.into_inner().next().map_or("", |inner| inner.as_str());
    let mut text = String::with_capacity(inner.len());
    let mut characters = inner.chars();
    while let Some(character) = characters.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        text.push(match characters.next() {
            Some('n') => '\n',
            Some('t') => '\t',
            Some('r') => '\r',
            other => other.unwrap_or('\\'),
        });
    }
    text
}

fn expression(pair: Pair<'_, Rule>) -> Result<Expression, Diagnostic> {
    let position = position_of(&pair);
    let kind = match pair.as_rule() {
        Rule::expression => return disjunction(pair, position),
        Rule::alternative => return conjunction(pair, position),
        Rule::conjunct => {
            let inner = pair.into_inner().next();
            return expression(inner.ok_or_else(|| incomplete(position, "an empty value"))?);
        }
        Rule::record => ExpressionKind::Record(pair.into_inner().map(field).collect::<Result<_, _>>()?),
        Rule::list => list(pair, position)?,
        Rule::bound => bound(pair, position)?,
        Rule::number => number(pair.as_str(), position)?,
        Rule::string => ExpressionKind::Text(unescape(pair)),
        Rule::word => word(pair.as_str()),
        _ => ExpressionKind::Reference(pair.as_str().trim().to_owned()),
    };
    Ok(Expression { kind, position })
}

fn disjunction(pair: Pair<'_, Rule>, position: Position) -> Result<Expression, Diagnostic> {
    let mut alternatives = Vec::new();
    for part in pair.into_inner() {
        let first = part.clone().into_inner().next();
        let is_default = first.is_some_and(|first| first.as_rule() == Rule::default_marker);
        alternatives.push(Alternative { is_default, value: expression(part)? });
    }
    match <[_; 1]>::try_from(alternatives) {
        Ok([only]) => Ok(only.value),
        Err(alternatives) => Ok(Expression { kind: ExpressionKind::Disjunction(alternatives), position }),
    }
}

fn conjunction(pair: Pair<'_, Rule>, position: Position) -> Result<Expression, Diagnostic> {
    let parts = pair.into_inner().filter(|part| part.as_rule() != Rule::default_marker);
    let parts: Vec<Expression> = parts.map(expression).collect::<Result<_, _>>()?;
    match <[_; 1]>::try_from(parts) {
        Ok([only]) => Ok(only),
        Err(parts) => Ok(Expression { kind: ExpressionKind::Conjunction(parts), position }),
    }
}

fn list(pair: Pair<'_, Rule>, position: Position) -> Result<ExpressionKind, Diagnostic> {
    match pair.into_inner().next() {
        None => Ok(ExpressionKind::List(Vec::new())),
        Some(inner) if inner.as_rule() == Rule::open_list => {
            let item = inner.into_inner().next();
            let item = item.ok_or_else(|| incomplete(position, "an open list without an item"))?;
            Ok(ExpressionKind::ListOf(Box::new(expression(item)?)))
        }
        Some(inner) => {
            Ok(ExpressionKind::List(inner.into_inner().map(expression).collect::<Result<_, _>>()?))
        }
    }
}

fn bound(pair: Pair<'_, Rule>, position: Position) -> Result<ExpressionKind, Diagnostic> {
    let mut parts = pair.into_inner();
    let comparison = parts.next().and_then(|part| Comparison::from_symbol(part.as_str()));
    let comparison = comparison.ok_or_else(|| incomplete(position, "a bound without an operator"))?;
    let limit = parts.next().ok_or_else(|| incomplete(position, "a bound without a value"))?;
    Ok(ExpressionKind::Bound(comparison, Box::new(expression(limit)?)))
}

fn number(source: &str, position: Position) -> Result<ExpressionKind, Diagnostic> {
    let digits = source.replace('_', "");
    let kind = if digits.contains('.') {
        digits.parse().map(ExpressionKind::Float).ok()
    } else {
        digits.parse().map(ExpressionKind::Int).ok()
    };
    kind.ok_or_else(|| Diagnostic::new(position, DiagnosticKind::NumberOutOfRange(source.to_owned())))
}

fn word(source: &str) -> ExpressionKind {
    match source {
        "true" => ExpressionKind::Bool(true),
        "false" => ExpressionKind::Bool(false),
        "null" => ExpressionKind::Null,
        name => TypeName::from_name(name)
            .map_or_else(|| ExpressionKind::Reference(name.to_owned()), ExpressionKind::Type),
    }
}
