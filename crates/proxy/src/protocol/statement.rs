//! Parsing of the statement of a Query: the comment that describes the request, and the quoted key.

use super::error::ProtocolError;
use super::milliseconds;
use pooler_routing::{GroupId, TimeDelta, Timestamp};
use std::ops::Range;

/// The largest length of a request id, in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 64;
/// The largest size of a request comment, in bytes, delimiters included.
const MAX_COMMENT_SIZE: usize = 4 * 1024;
/// The exclusive upper limit of timeouts, in milliseconds.
const TIMEOUT_LIMIT_MILLIS: f64 = 1e9;
const COMMENT_START: &str = "/*";
const COMMENT_END: &str = "*/";
/// The commands that change only the session's own state.
const SESSION_COMMANDS: [&str; 3] = ["SET", "RESET", "DISCARD"];

/// The keys of the fields in a request comment.
mod comment_key {
    pub(super) const REQUEST_ID: &str = "id";
    pub(super) const CLASS: &str = "c";
    pub(super) const TIMEOUT: &str = "d";
    pub(super) const GROUP: &str = "cluster";
    pub(super) const LAST_WRITE: &str = "after";
}

const MALFORMED_COMMENT: ProtocolError = ProtocolError::Malformed("request comment");

/// The parsed comment of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestComment<'a> {
    /// The id that the client gave the request.
    pub request_id: &'a str,
    /// The name of the request's class.
    pub class: &'a str,
    /// The time for which the client waits for a response.
    pub timeout: TimeDelta,
    /// The byte range of the timeout's digits in the statement. The digits are rewritten for each attempt.
    pub timeout_digits: Range<usize>,
    /// The group of endpoints to which the request is addressed; group 0 if the comment names none.
    pub group: GroupId,
    /// The time of the session's last commit, in Unix time; `None` in deployments whose clients don't send
    /// it.
    pub last_write: Option<Timestamp>,
}

/// The kind of a statement, by which the pooler decides how to handle it.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind<'a> {
    /// An empty statement.
    Empty,
    /// A command that changes only the session's own state, which has no effect in the pooler; the command
    /// tag of the response.
    SessionCommand(&'static str),
    /// A request to route.
    Request(RequestComment<'a>),
    /// Any other statement; not supported.
    Unsupported,
}

/// Determines the kind of a statement.
///
/// # Errors
///
/// When the statement ends with a comment that is too long, or in which a field is missing, repeated or malformed.
pub fn classify_statement(statement: &str) -> Result<StatementKind<'_>, ProtocolError> {
    let trimmed = statement.trim_matches(is_padding);
    if trimmed.is_empty() {
        return Ok(StatementKind::Empty);
    }
    if let Some(range) = trailing_comment(statement)? {
        return parse_request_comment(statement, range).map(StatementKind::Request);
    }
    let keyword = trimmed.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("");
    let command = SESSION_COMMANDS.into_iter().find(|command| keyword.eq_ignore_ascii_case(command));
    Ok(command.map_or(StatementKind::Unsupported, StatementKind::SessionCommand))
}

/// Whether a character is insignificant before and after a statement.
fn is_padding(character: char) -> bool {
    character.is_ascii_whitespace() || character == ';'
}

/// The byte range of the comment at the end of a statement, delimiters excluded. Only as much of the statement
/// is searched as a request comment may take up: a client may send values of 64 KiB.
fn trailing_comment(statement: &str) -> Result<Option<Range<usize>>, ProtocolError> {
    let Some(before_end) = statement.trim_end_matches(is_padding).strip_suffix(COMMENT_END) else {
        return Ok(None);
    };
    let end = before_end.len();
    let searched_from = (end + COMMENT_END.len()).saturating_sub(MAX_COMMENT_SIZE);
    let searched = &statement.as_bytes()[searched_from..end];
    match searched.windows(COMMENT_START.len()).rposition(|window| window == COMMENT_START.as_bytes()) {
        Some(position) => Ok(Some(searched_from + position + COMMENT_START.len()..end)),
        None if searched_from > 0 => Err(MALFORMED_COMMENT),
        None => Ok(None),
    }
}

/// The unparsed field values of a comment.
#[derive(Default)]
struct CommentFields<'a> {
    request_id: Option<&'a str>,
    class: Option<&'a str>,
    timeout: Option<(&'a str, Range<usize>)>,
    group: Option<&'a str>,
    last_write: Option<&'a str>,
}

impl<'a> CommentFields<'a> {
    /// Splits the comment at `range` of the statement into its fields; unknown keys are ignored.
    fn split(statement: &'a str, range: Range<usize>) -> Result<Self, ProtocolError> {
        let mut fields = Self::default();
        let mut pair_start = range.start;
        for pair in statement[range].split(',') {
            let (key, value) = pair.split_once('=').ok_or(MALFORMED_COMMENT)?;
            let leading_space = value.len() - value.trim_start().len();
            let value_start = pair_start + key.len() + 1 + leading_space;
            pair_start += pair.len() + 1;
            let value = value.trim();
            let is_repeated = match key.trim() {
                comment_key::REQUEST_ID => fields.request_id.replace(value).is_some(),
                comment_key::CLASS => fields.class.replace(value).is_some(),
                comment_key::TIMEOUT => {
                    fields.timeout.replace((value, value_start..value_start + value.len())).is_some()
                }
                comment_key::GROUP => fields.group.replace(value).is_some(),
                comment_key::LAST_WRITE => fields.last_write.replace(value).is_some(),
                _ => false,
            };
            // Rejected because a server might use a different one of the values than the pooler.
            if is_repeated {
                return Err(MALFORMED_COMMENT);
            }
        }
        Ok(fields)
    }
}

fn parse_request_comment(statement: &str, range: Range<usize>) -> Result<RequestComment<'_>, ProtocolError> {
    let fields = CommentFields::split(statement, range)?;
    let (timeout, timeout_digits) = fields.timeout.ok_or(MALFORMED_COMMENT)?;
    let timeout = parse_timeout(timeout)?;
    let group = fields.group.map_or(Ok(0), str::parse).map_err(|_| MALFORMED_COMMENT)?;
    let last_write = fields.last_write.map(parse_last_write).transpose()?;
    let request_id = fields.request_id.filter(|id| is_request_id(id)).ok_or(MALFORMED_COMMENT)?;
    let class = fields.class.ok_or(MALFORMED_COMMENT)?;
    Ok(RequestComment { request_id, class, timeout, timeout_digits, group: GroupId(group), last_write })
}

fn parse_timeout(text: &str) -> Result<TimeDelta, ProtocolError> {
    // Signs, exponents, "inf" and "nan" are rejected here because the standard library would parse all of
    // them.
    if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return Err(MALFORMED_COMMENT);
    }
    let millis = text.parse().map_err(|_| MALFORMED_COMMENT)?;
    if !(0.0..TIMEOUT_LIMIT_MILLIS).contains(&millis) {
        return Err(MALFORMED_COMMENT);
    }
    Ok(milliseconds::to_time_delta(millis))
}

fn parse_last_write(text: &str) -> Result<Timestamp, ProtocolError> {
    let millis: f64 = text.parse().map_err(|_| MALFORMED_COMMENT)?;
    if !millis.is_finite() {
        return Err(MALFORMED_COMMENT);
    }
    Ok(milliseconds::to_timestamp(millis))
}

fn is_request_id(id: &str) -> bool {
    (1..=MAX_REQUEST_ID_LENGTH).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// The first quoted string literal of a statement, without the enclosing quotes; doubled quotes are not
/// unescaped.
#[must_use]
pub fn first_quoted_literal(statement: &str) -> Option<&str> {
    let start = statement.find('\'')? + 1;
    let rest = &statement[start..];
    let mut quotes = rest.match_indices('\'').map(|(position, _)| position);
    while let Some(position) = quotes.next() {
        if !rest[position + 1..].starts_with('\'') {
            return Some(&rest[..position]);
        }
        quotes.next();
    }
    None
}
