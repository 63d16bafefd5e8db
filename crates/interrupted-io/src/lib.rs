//! A byte stream whose calls are repeated when a signal interrupted them (`EINTR`).
//!
//! `async-io` hands `ErrorKind::Interrupted` on to the caller, and so do hyper and rustls. To all of them it looks like
//! the end of the connection, though nothing has happened to it.

use futures_lite::{AsyncRead, AsyncWrite};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream that repeats interrupted calls.
#[derive(Clone, Copy, Debug)]
pub struct Resuming<S>(pub S);

/// Makes a call until it was not interrupted.
fn resume<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Resuming<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        resume(|| Pin::new(&mut self.0).poll_read(context, bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Resuming<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        resume(|| Pin::new(&mut self.0).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        resume(|| Pin::new(&mut self.0).poll_write_vectored(context, slices))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        resume(|| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        resume(|| Pin::new(&mut self.0).poll_close(context))
    }
}
