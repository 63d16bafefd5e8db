//! `RetryInterrupted` loses no bytes on a stream that interrupts every other call.

use futures_lite::future::block_on;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use pooler_interrupted_io::RetryInterrupted;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

/// An in-memory stream that interrupts each call once before it performs the call.
#[derive(Default)]
struct InterruptedStream {
    unread: Vec<u8>,
    written: Vec<u8>,
    calls: usize,
}

impl InterruptedStream {
    fn next_call_is_interrupted(&mut self) -> bool {
        self.calls += 1;
        self.calls % 2 == 1
    }

    fn perform<T>(&mut self, operation: impl FnOnce(&mut Self) -> T) -> Poll<io::Result<T>> {
        if self.next_call_is_interrupted() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        Poll::Ready(Ok(operation(self)))
    }
}

impl AsyncRead for InterruptedStream {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        self.perform(|stream| {
            let count = bytes.len().min(stream.unread.len()).min(3);
            bytes[..count].copy_from_slice(&stream.unread[..count]);
            stream.unread.drain(..count);
            count
        })
    }
}

impl AsyncWrite for InterruptedStream {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.perform(|stream| {
            let count = bytes.len().min(3);
            stream.written.extend_from_slice(&bytes[..count]);
            count
        })
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.perform(|stream| {
            let first = slices.iter().find(|slice| !slice.is_empty()).map_or(&[][..], |slice| slice);
            stream.written.extend_from_slice(first);
            first.len()
        })
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.perform(|_| ())
    }

    fn poll_close(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.perform(|_| ())
    }
}

#[test]
fn interrupted_calls_are_retried_without_loss_of_bytes() {
    let mut stream = RetryInterrupted(InterruptedStream {
        unread: b"all that was sent".to_vec(),
        ..InterruptedStream::default()
    });
    let mut read = Vec::new();
    block_on(async {
        stream.read_to_end(&mut read).await.unwrap();
        stream.write_all(b"all that").await.unwrap();
        assert_eq!(stream.write_vectored(&[IoSlice::new(b" is answered")]).await.unwrap(), 12);
        stream.flush().await.unwrap();
        stream.close().await.unwrap();
    });
    assert_eq!(read, b"all that was sent");
    assert_eq!(stream.0.written, b"all that is answered");
}
