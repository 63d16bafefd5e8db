//! Parses the parts of an HTTP/1.1 response that a watch needs: the head, and the chunks of the body. Does no
//! I/O.

use std::ops::Range;

/// The maximum size in bytes of a head.
const MAX_HEAD_SIZE: usize = 64 * 1024;
/// The maximum size in bytes of a chunk's content.
const MAX_CHUNK_SIZE: usize = 4 * 1024 * 1024;
/// The maximum length in bytes of the line that gives the size of a chunk, including its line end.
const MAX_CHUNK_SIZE_LINE: usize = 64;
/// The maximum number of characters of a status line that an error message quotes.
const MAX_REPORTED_STATUS: usize = 80;
const MALFORMED_CHUNK: HttpError = HttpError::Malformed("HTTP chunk");
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

/// The next part of a chunked body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkedPart {
    /// The range of the content's next bytes in the data. All data up to its end belongs to the part.
    Content(Range<usize>),
    /// More bytes have to be read first.
    Incomplete,
    /// The body has ended.
    End,
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    /// The line that gives the size of a chunk.
    #[default]
    SizeLine,
    /// The rest of a chunk's content, with its size in bytes.
    Content(usize),
    /// The line end after a chunk's content.
    ContentEnd,
}

/// Parses a chunked body while its bytes arrive, without waiting for the end of a chunk.
#[derive(Clone, Debug, Default)]
pub struct ChunkedBody(ChunkState);

impl ChunkedBody {
    /// Parses the next part at the start of `data`, which begins after the previous part.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is malformed, or its content exceeds 4 MiB.
    pub fn next_part(&mut self, data: &[u8]) -> Result<ChunkedPart, HttpError> {
        let mut start = 0;
        loop {
            let rest = &data[start..];
            let size = match self.0 {
                ChunkState::SizeLine => {
                    let Some((length, size)) = parse_size_line(rest)? else { break };
                    if length == 0 {
                        return Ok(ChunkedPart::End);
                    }
                    self.0 = ChunkState::Content(length);
                    size
                }
                ChunkState::Content(length) => {
                    let count = length.min(rest.len());
                    if count == 0 {
                        break;
                    }
                    let is_last = count == length;
                    self.0 =
                        if is_last { ChunkState::ContentEnd } else { ChunkState::Content(length - count) };
                    return Ok(ChunkedPart::Content(start..start + count));
                }
                ChunkState::ContentEnd => {
                    let Some(end) = rest.get(..LINE_END.len()) else { break };
                    if end != LINE_END {
                        return Err(MALFORMED_CHUNK);
                    }
                    self.0 = ChunkState::SizeLine;
                    LINE_END.len()
                }
            };
            start += size;
        }
        if start == 0 { Ok(ChunkedPart::Incomplete) } else { Ok(ChunkedPart::Content(start..start)) }
    }
}

/// Parses the line that gives the size of a chunk. Returns that size, and the size of the line in bytes; `None`
/// while the line is incomplete.
fn parse_size_line(data: &[u8]) -> Result<Option<(usize, usize)>, HttpError> {
    let Some(line_end) = find(&data[..data.len().min(MAX_CHUNK_SIZE_LINE)], LINE_END) else {
        return if data.len() < MAX_CHUNK_SIZE_LINE { Ok(None) } else { Err(MALFORMED_CHUNK) };
    };
    let length = chunk_length(&data[..line_end]).ok_or(MALFORMED_CHUNK)?;
    Ok(Some((length, line_end + LINE_END.len())))
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
