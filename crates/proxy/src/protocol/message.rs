//! The framing of all messages except the startup messages: a type byte (tag), a length that includes its own
//! word, and a body.

use super::error::ProtocolError;
use std::ffi::CStr;

/// The size of a message's tag, in bytes.
pub(super) const TAG_SIZE: usize = 1;
/// The size of the length word, in bytes. The length includes its own word and excludes the tag.
pub(super) const LENGTH_SIZE: usize = 4;
/// The size of a message without its body, in bytes.
pub const HEADER_SIZE: usize = TAG_SIZE + LENGTH_SIZE;

/// A complete message, borrowed from the buffer that it was read into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The message type byte; see [`frontend_tag`](super::frontend_tag) and
    /// [`backend_tag`](super::backend_tag).
    pub tag: u8,
    /// The bytes after the length word.
    pub body: &'a [u8],
    /// The size of the message in the stream, in bytes, tag and length word included.
    pub size: usize,
}

/// Parses the message at the start of `data`; `None` while the message is incomplete.
///
/// # Errors
///
/// When the length is smaller than its own word or exceeds `max_length`.
pub(super) fn parse_message(data: &[u8], max_length: usize) -> Result<Option<Message<'_>>, ProtocolError> {
    let Some((&tag, rest)) = data.split_first() else { return Ok(None) };
    let Some(length) = parse_length(rest, max_length)? else { return Ok(None) };
    let body = rest.get(LENGTH_SIZE..length);
    Ok(body.map(|body| Message { tag, body, size: TAG_SIZE + length }))
}

/// Parses the length word at the start of `data`; `None` while the word is incomplete.
///
/// # Errors
///
/// When the length is smaller than its own word or exceeds `max_length`.
pub(super) fn parse_length(data: &[u8], max_length: usize) -> Result<Option<usize>, ProtocolError> {
    let Some(bytes) = data.first_chunk::<LENGTH_SIZE>() else { return Ok(None) };
    let word = u32::from_be_bytes(*bytes);
    let length = usize::try_from(word).unwrap_or(usize::MAX);
    if !(LENGTH_SIZE..=max_length).contains(&length) {
        return Err(ProtocolError::InvalidLength(word));
    }
    Ok(Some(length))
}

/// Splits the zero-terminated string at the start of `data` from the rest; `part` names the string in errors.
///
/// # Errors
///
/// When there is no terminator, or the string is not UTF-8.
pub(super) fn split_c_string<'a>(
    data: &'a [u8],
    part: &'static str,
) -> Result<(&'a str, &'a [u8]), ProtocolError> {
    let string = CStr::from_bytes_until_nul(data).map_err(|_| ProtocolError::Malformed(part))?;
    let rest = &data[string.count_bytes() + 1..];
    let string = string.to_str().map_err(|_| ProtocolError::Malformed(part))?;
    Ok((string, rest))
}

/// Parses a body that consists of one zero-terminated string; `part` names the string in errors.
///
/// # Errors
///
/// When there is no terminator, the string is not UTF-8, or anything follows the terminator.
pub(super) fn parse_c_string<'a>(body: &'a [u8], part: &'static str) -> Result<&'a str, ProtocolError> {
    match split_c_string(body, part)? {
        (string, []) => Ok(string),
        _ => Err(ProtocolError::Malformed(part)),
    }
}
