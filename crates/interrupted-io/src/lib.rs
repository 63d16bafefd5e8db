//! A byte stream that retries calls that a signal interrupted (`EINTR`).
//!
//! `async-io` passes `ErrorKind::Interrupted` on to its caller, and so do hyper and rustls. All of them treat it as the
//! loss of the connection, though nothing has happened to the connection.

use futures_lite::{AsyncRead, AsyncWrite};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream that retries interrupted calls of the stream that it wraps.
#[derive(Clone, Copy, Debug)]
pub struct RetryInterrupted<S>(pub S);

/// Repeats `call` until it ends in something other than an interruption.
fn retry_interrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RetryInterrupted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_read(context, bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryInterrupted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_write_vectored(context, slices))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_close(context))
    }
}
