//! Parses as much of an HTTP/1.1 response as a watch needs: the head, and the chunks of the body. Does no
//! I/O.

/// The largest head or chunk, in bytes.
const MAX_PART_SIZE: usize = 4 * 1024 * 1024;
/// The longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 64;
/// The number of characters of an unexpected status line that are reported.
const MAX_REPORTED_STATUS: usize = 80;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a response can't be read any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The status is not 200.
    #[error("status {0}")]
    Status(String),
    /// The named part of the response is malformed or too large.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Whether the body is sent in chunks.
    pub chunked: bool,
    /// The size of the head in bytes.
    pub size: usize,
}

/// Parses the head at the front of `data`; `None` while it is incomplete.
///
/// # Errors
///
/// When the status is not 200, or the head is malformed or too large.
pub fn head(data: &[u8]) -> Result<Option<Head>, HttpError> {
    let malformed = HttpError::Malformed("head");
    let Some(end) = find(data, HEAD_END) else {
        return if data.len() > MAX_PART_SIZE { Err(malformed) } else { Ok(None) };
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

/// Parses the first chunk in `data`, and gives its content and the size of all of it in bytes; `None` while
/// it is incomplete. An empty chunk ends the body.
///
/// # Errors
///
/// When the chunk is malformed or too large.
pub fn chunk(data: &[u8]) -> Result<Option<(&[u8], usize)>, HttpError> {
    let malformed = HttpError::Malformed("chunk");
    let Some(line_end) = find(&data[..data.len().min(MAX_CHUNK_LINE)], LINE_END) else {
        return if data.len() < MAX_CHUNK_LINE { Ok(None) } else { Err(malformed) };
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

/// The length in the first line of a chunk, without its extensions; `None` if it is malformed or too large.
fn chunk_length(line: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(line).ok()?.split(';').next()?.trim();
    let length = usize::from_str_radix(digits, 16).ok()?;
    (length <= MAX_PART_SIZE).then_some(length)
}

/// The position of the first occurrence of `pattern`.
fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).position(|window| window == pattern)
}
