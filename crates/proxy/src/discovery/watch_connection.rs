//! The HTTP connection of one watch on discovery.

use super::backoff::WatchEnd;
use super::http::{self, ChunkedBody, ChunkedPart, HttpError};
use super::json_stream::JsonStreamError;
use crate::buffer::{ReadBuffer, TcpConnection, write_all};
use crate::memory_budget::{MemoryUse, Reservation};
use crate::resource_exhaustion::is_resource_exhaustion;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The time limit of each read from a watch that has been answered. Discovery sends a keep-alive every 2 s, so a
/// watch that misses one is closed and reopened. A change takes effect 6 s after it would have been reported,
/// whether or not it arrived; this limit leaves time for one more call that gets no response.
pub(super) const IO_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The size of a read while the rest of a list is expected, in bytes.
const LIST_READ_SIZE: usize = 64 * 1024;

/// The error that ended a watch.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection failed, or the time limit of a read has passed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The response is not what a watch expects.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// An endpoint list can't be decoded.
    #[error("invalid endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is not a stream of endpoint lists.
    #[error("{0}")]
    Stream(#[from] JsonStreamError),
}

impl WatchError {
    /// How the error ended the watch.
    pub(super) fn watch_end(&self) -> WatchEnd {
        match self {
            Self::Http(HttpError::Status(_)) => WatchEnd::Rejected,
            Self::Io(error) if is_resource_exhaustion(error) => WatchEnd::NotSent,
            _ => WatchEnd::Lost,
        }
    }

    /// Whether the error is logged: invalid responses and a lack of memory are, lost connections are not.
    pub(super) fn is_logged(&self) -> bool {
        !matches!(self, Self::Io(error) if error.kind() != io::ErrorKind::OutOfMemory)
    }
}

/// The HTTP connection of a watch that discovery has answered.
pub(super) struct WatchConnection {
    stream: TcpConnection,
    buffer: ReadBuffer,
    /// `None` if the body is not chunked.
    chunks: Option<ChunkedBody>,
}

impl WatchConnection {
    /// Connects to discovery, requests the changes since `generation`, and waits for the first bytes of the
    /// response's body, for as long as discovery takes.
    ///
    /// # Errors
    ///
    /// When the connection fails or is closed before that, or the response is not a successful one.
    pub(super) async fn open(
        address: SocketAddr,
        generation: u64,
        reservation: Reservation,
    ) -> Result<Self, WatchError> {
        let stream = TcpConnection::new(Async::<TcpStream>::connect(address).await?);
        let request = format!(
            "GET /discovery/hosts?follow=1&since={generation} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        write_all(&stream, &[request.as_bytes()]).await?;
        let mut buffer = ReadBuffer::new(reservation, MemoryUse::EndpointList);
        let head = loop {
            match http::parse_head(buffer.data())? {
                Some(head) if buffer.data().len() > head.size => break head,
                _ => {}
            }
            if buffer.fill(&stream).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        };
        buffer.consume(head.size);
        Ok(Self { stream, buffer, chunks: head.chunked.then(ChunkedBody::default) })
    }

    /// The bytes that have been read and not consumed.
    pub(super) fn data(&self) -> &[u8] {
        self.buffer.data()
    }

    /// The next part of the body in the data.
    ///
    /// # Errors
    ///
    /// When the body is malformed.
    pub(super) fn next_body_part(&mut self) -> Result<ChunkedPart, HttpError> {
        let data = self.buffer.data();
        match &mut self.chunks {
            Some(chunks) => chunks.next_part(data),
            None if data.is_empty() => Ok(ChunkedPart::Incomplete),
            None => Ok(ChunkedPart::Content(0..data.len())),
        }
    }

    /// Consumes the first `size` bytes that have been read.
    pub(super) fn consume(&mut self, size: usize) {
        self.buffer.consume(size);
    }

    /// Reads once and returns the number of bytes read, which is 0 at the end of the stream. Reads much at once if
    /// the rest of a list is expected.
    ///
    /// # Errors
    ///
    /// When reading fails, or takes longer than [`IO_TIMEOUT`], or there is no memory for it.
    pub(super) async fn fill(&mut self, is_within_list: bool) -> io::Result<usize> {
        if is_within_list {
            self.buffer.extend_to(LIST_READ_SIZE).await?;
        } else {
            self.buffer.shrink_if_empty();
        }
        with_io_timeout(self.buffer.fill(&self.stream)).await
    }
}

/// Returns the result of `work`, or an error if it takes longer than the I/O timeout.
async fn with_io_timeout<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let expired = async {
        Timer::after(IO_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(work, expired).await
}
