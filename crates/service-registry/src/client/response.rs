//! Reading a response.

use super::error::CallError;
use crate::eureka::body::BodyError;
use flate2::write::GzDecoder;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{self, HeaderName};
use pooler_routing::TimeDelta;
use std::io::{self, Write};

/// A content type is quoted in errors up to this many characters.
const MAX_QUOTED_CHARS: usize = 80;

/// Receives the body of a successful response.
pub trait BodyHandler {
    /// Receives the body's type, before any of its bytes.
    ///
    /// # Errors
    ///
    /// When bodies of this type can't be read. It ends the call.
    fn on_content_type(&mut self, content_type: &str) -> Result<(), UnsupportedContentType>;

    /// Receives the next bytes, decompressed.
    ///
    /// # Errors
    ///
    /// When the body can't be used. It ends the call.
    fn on_data(&mut self, data: &[u8]) -> Result<(), BodyError>;
}

/// A body's type is not supported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unsupported content type")]
pub struct UnsupportedContentType;

/// Ignores the body.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscardBody;

impl BodyHandler for DiscardBody {
    fn on_content_type(&mut self, _: &str) -> Result<(), UnsupportedContentType> {
        Ok(())
    }

    fn on_data(&mut self, _: &[u8]) -> Result<(), BodyError> {
        Ok(())
    }
}

/// Passes a body on, and records whether any of it has arrived.
pub(super) struct ProgressTracker<'h> {
    handler: &'h mut dyn BodyHandler,
    has_started: bool,
}

impl<'h> ProgressTracker<'h> {
    pub(super) fn new(handler: &'h mut dyn BodyHandler) -> Self {
        Self { handler, has_started: false }
    }

    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }
}

impl BodyHandler for ProgressTracker<'_> {
    fn on_content_type(&mut self, content_type: &str) -> Result<(), UnsupportedContentType> {
        self.has_started = true;
        self.handler.on_content_type(content_type)
    }

    fn on_data(&mut self, data: &[u8]) -> Result<(), BodyError> {
        self.handler.on_data(data)
    }
}

/// Reads a response to its end and hands its body to `handler`.
pub(super) async fn read_response(
    mut response: Response<Incoming>,
    handler: &mut dyn BodyHandler,
) -> Result<(), CallError> {
    let status = response.status();
    if !status.is_success() {
        return Err(CallError::Status { status: status.as_u16(), retry_after: retry_after(&response) });
    }
    let content_type = text_header(&response, header::CONTENT_TYPE).unwrap_or_default();
    handler.on_content_type(content_type).map_err(|UnsupportedContentType| {
        CallError::UnsupportedContentType {
            content_type: content_type.chars().take(MAX_QUOTED_CHARS).collect(),
        }
    })?;
    let encoding = text_header(&response, header::CONTENT_ENCODING);
    let is_gzip = encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("gzip"));
    let mut writer = HandlerWriter { handler, error: None };
    let copied = if is_gzip {
        let mut decoder = GzDecoder::new(&mut writer);
        match copy_body(&mut response, &mut decoder).await {
            Ok(()) => decoder.try_finish().map_err(CopyError::Write),
            Err(error) => Err(error),
        }
    } else {
        copy_body(&mut response, &mut writer).await
    };
    writer.finish(copied)
}

/// The delay of a `Retry-After` header in seconds; dates are ignored.
fn retry_after(response: &Response<Incoming>) -> Option<TimeDelta> {
    let seconds: i64 = text_header(response, header::RETRY_AFTER)?.trim().parse().ok()?;
    (seconds >= 0).then(|| TimeDelta::from_millis(seconds.saturating_mul(1_000)))
}

fn text_header(response: &Response<Incoming>, name: HeaderName) -> Option<&str> {
    response.headers().get(name)?.to_str().ok()
}

/// Why a body could not be copied to its end.
enum CopyError {
    /// The connection failed.
    Receive(hyper::Error),
    /// Decompressing or handling the bytes failed.
    Write(io::Error),
}

async fn copy_body(response: &mut Response<Incoming>, writer: &mut impl Write) -> Result<(), CopyError> {
    while let Some(frame) = response.frame().await {
        if let Ok(data) = frame.map_err(CopyError::Receive)?.into_data() {
            writer.write_all(&data).map_err(CopyError::Write)?;
        }
    }
    Ok(())
}

/// Hands what is written to it to a handler, and keeps the handler's error.
struct HandlerWriter<'h> {
    handler: &'h mut dyn BodyHandler,
    error: Option<BodyError>,
}

impl HandlerWriter<'_> {
    fn finish(self, copied: Result<(), CopyError>) -> Result<(), CallError> {
        match (copied, self.error) {
            (Err(CopyError::Receive(error)), _) => Err(error.into()),
            (_, Some(error)) => Err(error.into()),
            (Err(CopyError::Write(error)), None) => Err(CallError::Decompression(error)),
            (Ok(()), None) => Ok(()),
        }
    }
}

impl Write for HandlerWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.handler.on_data(bytes) {
            Ok(()) => Ok(bytes.len()),
            Err(error) => {
                self.error = Some(error);
                Err(io::ErrorKind::InvalidData.into())
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
