//! Parses the parts of an HTTP/1.1 response that a watch needs: the head, and the chunks of the body. Does no
//! I/O.

/// The maximum size in bytes of a head.
const MAX_HEAD_SIZE: usize = 64 * 1024;
/// The maximum size in bytes of a chunk's content.
const MAX_CHUNK_SIZE: usize = 4 * 1024 * 1024;
/// The maximum length in bytes of the line that gives the size of a chunk, including its line end.
const MAX_CHUNK_SIZE_LINE: usize = 64;
/// The maximum number of characters of a status line that an error message quotes.
const MAX_REPORTED_STATUS: usize = 80;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The reason why a response can't be parsed any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The status is not 200; holds the start of the status line.
    #[error("HTTP status is not 200: {0}")]
    Status(String),
    /// The named part of the response is malformed or exceeds its size limit.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// The head of an HTTP response, as far as the body's format depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Whether the body uses the chunked transfer encoding.
    pub chunked: bool,
    /// The size of the head in bytes, including the empty line that ends it.
    pub size: usize,
}

/// Parses the head at the start of `data`. Returns `None` while the head is incomplete.
///
/// # Errors
///
/// Fails if the status is not 200, or the head is malformed or exceeds 64 KiB.
pub fn parse_head(data: &[u8]) -> Result<Option<Head>, HttpError> {
    let malformed = HttpError::Malformed("HTTP response head");
    let Some(end) = find(data, HEAD_END) else {
        return if data.len() > MAX_HEAD_SIZE { Err(malformed) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&data[..end]).map_err(|_| malformed)?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or("");
    if !is_success(status) {
        return Err(HttpError::Status(status.chars().take(MAX_REPORTED_STATUS).collect()));
    }
    let mut headers = lines.filter_map(|line| line.split_once(':'));
    let chunked = headers.any(|(name, value)| {
        name.eq_ignore_ascii_case("transfer-encoding") && value.to_ascii_lowercase().contains("chunked")
    });
    Ok(Some(Head { chunked, size: end + HEAD_END.len() }))
}

/// Parses the chunk at the start of `data`. Returns its content and the size in bytes of the whole chunk, or
/// `None` while the chunk is incomplete. An empty chunk ends the body.
///
/// # Errors
///
/// Fails if the chunk is malformed, or its content exceeds 4 MiB.
pub fn parse_chunk(data: &[u8]) -> Result<Option<(&[u8], usize)>, HttpError> {
    let malformed = HttpError::Malformed("HTTP chunk");
    let Some(line_end) = find(&data[..data.len().min(MAX_CHUNK_SIZE_LINE)], LINE_END) else {
        return if data.len() < MAX_CHUNK_SIZE_LINE { Ok(None) } else { Err(malformed) };
    };
    let length = chunk_length(&data[..line_end]).ok_or(malformed.clone())?;
    let start = line_end + LINE_END.len();
    let end = start + length;
    let size = end + LINE_END.len();
    let Some(trailer) = data.get(end..size) else { return Ok(None) };
    if trailer != LINE_END {
        return Err(malformed);
    }
    Ok(Some((&data[start..end], size)))
}

fn is_success(status_line: &str) -> bool {
    status_line.starts_with("HTTP/1.") && status_line.split(' ').nth(1) == Some("200")
}

/// Parses the length in the first line of a chunk, ignoring chunk extensions. Returns `None` if the length is
/// malformed or exceeds the size limit.
fn chunk_length(line: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(line).ok()?.split(';').next()?.trim();
    let length = usize::from_str_radix(digits, 16).ok()?;
    (length <= MAX_CHUNK_SIZE).then_some(length)
}

/// The position of the first occurrence of `pattern` in `data`.
fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).position(|window| window == pattern)
}
