//! A byte stream wrapper that retries I/O calls interrupted by a signal (`EINTR`).
//!
//! `async-io`, hyper and rustls pass `ErrorKind::Interrupted` on to their callers and treat it as a lost
//! connection, although the connection is intact.

use futures_lite::{AsyncRead, AsyncWrite};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Wraps a stream and repeats each of its calls that fails with `ErrorKind::Interrupted`.
#[derive(Clone, Copy, Debug)]
pub struct RetryInterrupted<S>(pub S);

/// Repeats `call` until its result is anything but `ErrorKind::Interrupted`.
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
