//! The framing that all messages but the startup messages share: a tag, a length that counts itself, and a body.

use super::error::ProtocolError;

/// The size of a message's tag.
pub(super) const TAG_SIZE: usize = 1;
/// The size of the length word, which counts itself.
pub(super) const LENGTH_SIZE: usize = 4;
/// The size of a message without its body.
pub const HEADER_SIZE: usize = TAG_SIZE + LENGTH_SIZE;

/// A complete message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The byte that gives the message's type; see [`frontend_tag`](super::frontend_tag) and
    /// [`backend_tag`](super::backend_tag).
    pub tag: u8,
    /// The bytes after the length.
    pub body: &'a [u8],
    /// The size of the message in the stream, tag and length included.
    pub size: usize,
}

/// Parses the message at the front of `data`; `None` while it is incomplete.
///
/// # Errors
///
/// When the length is impossible or over `max_length`.
pub(super) fn parse_message(data: &[u8], max_length: usize) -> Result<Option<Message<'_>>, ProtocolError> {
    let Some((&tag, rest)) = data.split_first() else { return Ok(None) };
    let Some(length) = parse_length(rest, max_length)? else { return Ok(None) };
    let body = rest.get(LENGTH_SIZE..length);
    Ok(body.map(|body| Message { tag, body, size: TAG_SIZE + length }))
}

/// Parses the length word at the front of `data`; `None` while it is incomplete.
///
/// # Errors
///
/// When the length does not even count itself, or is over `max_length`.
pub(super) fn parse_length(data: &[u8], max_length: usize) -> Result<Option<usize>, ProtocolError> {
    let Some(bytes) = data.first_chunk::<LENGTH_SIZE>() else { return Ok(None) };
    let word = u32::from_be_bytes(*bytes);
    let length = usize::try_from(word).unwrap_or(usize::MAX);
    if !(LENGTH_SIZE..=max_length).contains(&length) {
        return Err(ProtocolError::InvalidLength(word));
    }
    Ok(Some(length))
}

/// Splits a zero-terminated string off the front of `data`; `what` names it in errors.
///
/// # Errors
///
/// When there is no terminator, or the string is not UTF-8.
pub(super) fn split_c_string<'a>(
    data: &'a [u8],
    what: &'static str,
) -> Result<(&'a str, &'a [u8]), ProtocolError> {
    let end = data.iter().position(|byte| *byte == 0).ok_or(ProtocolError::Malformed(what))?;
    let string = std::str::from_utf8(&data[..end]).map_err(|_| ProtocolError::Malformed(what))?;
    Ok((string, &data[end + 1..]))
}

/// Parses a body that is one zero-terminated string and nothing else; `what` names it in errors.
///
/// # Errors
///
/// When there is no terminator, the string is not UTF-8, or something follows it.
pub(super) fn parse_c_string<'a>(body: &'a [u8], what: &'static str) -> Result<&'a str, ProtocolError> {
    match split_c_string(body, what)? {
        (string, []) => Ok(string),
        _ => Err(ProtocolError::Malformed(what)),
    }
}
