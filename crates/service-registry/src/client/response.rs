//! Reads a response and streams its decompressed body to a [`BodyHandler`].

use super::error::CallError;
use crate::eureka::body::BodyError;
use flate2::write::GzDecoder;
use futures_lite::future::yield_now;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{self, HeaderName};
use pooler_routing::TimeDelta;
use std::io::{self, Write};

/// The size of the parts in which a received frame is processed, in bytes. Decompression makes a part up to a
/// thousand times as large.
const FRAME_PART_SIZE: usize = 512;
/// A longer content type is cut in error messages.
const MAX_CONTENT_TYPE_CHARS: usize = 80;

/// Receives the body of a successful response.
pub trait BodyHandler {
    /// Called with the `Content-Type` header of a successful response, before any data; empty without one.
    ///
    /// # Errors
    ///
    /// When the content type is not supported. The error aborts the call.
    fn on_content_type(&mut self, content_type: &str) -> Result<(), UnsupportedContentType>;

    /// Called with the next bytes of the body, decompressed.
    ///
    /// # Errors
    ///
    /// When the body can't be decoded. The error aborts the call.
    fn on_data(&mut self, data: &[u8]) -> Result<(), BodyError>;
}

/// The handler does not support the content type of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unsupported content type")]
pub struct UnsupportedContentType;

/// Accepts any content type and discards the body.
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

/// Forwards a body to another handler, and records whether a successful response has begun to arrive.
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

/// Reads a response to its end and passes its body to `handler`. A status other than 2xx is an error.
pub(super) async fn read_response(
    mut response: Response<Incoming>,
    handler: &mut dyn BodyHandler,
) -> Result<(), CallError> {
    let status = response.status();
    if !status.is_success() {
        return Err(CallError::Status { status: status.as_u16(), retry_after: retry_after(&response) });
    }
    let content_type = header_text(&response, header::CONTENT_TYPE).unwrap_or_default();
    handler.on_content_type(content_type).map_err(|UnsupportedContentType| {
        CallError::UnsupportedContentType {
            content_type: content_type.chars().take(MAX_CONTENT_TYPE_CHARS).collect(),
        }
    })?;
    let encoding = header_text(&response, header::CONTENT_ENCODING);
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

/// The delay of a `Retry-After` header that is given in seconds; HTTP dates and negative numbers are ignored.
fn retry_after(response: &Response<Incoming>) -> Option<TimeDelta> {
    let seconds: i64 = header_text(response, header::RETRY_AFTER)?.trim().parse().ok()?;
    (seconds >= 0).then(|| TimeDelta::from_millis(seconds.saturating_mul(1_000)))
}

fn header_text(response: &Response<Incoming>, name: HeaderName) -> Option<&str> {
    response.headers().get(name)?.to_str().ok()
}

/// Why a body was not copied to its end.
enum CopyError {
    /// Receiving a frame failed.
    Receive(hyper::Error),
    /// Decompressing the data failed, or the handler rejected it.
    Write(io::Error),
}

async fn copy_body(response: &mut Response<Incoming>, writer: &mut impl Write) -> Result<(), CopyError> {
    while let Some(frame) = response.frame().await {
        let Ok(data) = frame.map_err(CopyError::Receive)?.into_data() else { continue };
        for part in data.chunks(FRAME_PART_SIZE) {
            writer.write_all(part).map_err(CopyError::Write)?;
            // Other tasks must not wait until the whole frame is processed.
            yield_now().await;
        }
    }
    Ok(())
}

/// Passes written bytes to a handler, and keeps its error, as [`Write`] can only return an [`io::Error`].
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
