//! The comment in a statement by which clients describe their request.

/// A value of a statement's comment.
#[must_use]
pub fn comment_field<'s>(statement: &'s str, name: &str) -> Option<&'s str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?.trim();
    comment
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// The request's id, or an empty one.
#[must_use]
pub fn request_id(statement: &str) -> &str {
    comment_field(statement, "id").unwrap_or("")
}
