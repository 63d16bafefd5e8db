//! Reads the comment in which a statement describes its request.

/// The value of the field `name` in the last comment of a statement.
#[must_use]
pub fn comment_field<'s>(statement: &'s str, name: &str) -> Option<&'s str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?.trim();
    comment
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// The request id in the statement's comment, or an empty string if there is none.
#[must_use]
pub fn request_id(statement: &str) -> &str {
    comment_field(statement, "id").unwrap_or("")
}
