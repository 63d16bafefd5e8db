//! A byte stream wrapper for tasks that share one thread: it makes a task yield after a number of operations
//! that did not have to wait.
//!
//! The executor regains control only when a task waits. Reading from a peer that sends faster than it is
//! served never waits, so without the wrapper a loop over such input would keep all other tasks from running,
//! and a time limit beside the loop would never be looked at.

use futures_lite::future::yield_now;
use futures_lite::{AsyncRead, AsyncWrite};
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The number of operations on a stream that may complete in succession before its task has to yield. A
/// response of the largest size that has arrived completely takes fewer reads.
const MAX_READY_OPERATIONS: u32 = 8;

/// Wraps a stream and returns [`Poll::Pending`] once after some reads and writes in succession that completed
/// without waiting. The task is woken at once, so that it continues after the other tasks that are ready to
/// run.
#[derive(Debug)]
pub struct CooperativeStream<S> {
    stream: S,
    budget: OperationBudget,
}

impl<S> CooperativeStream<S> {
    /// Wraps `stream`.
    pub fn new(stream: S) -> Self {
        Self { stream, budget: OperationBudget::default() }
    }

    /// Yields if the next operation would yield, so that the operation itself does not. Returns whether it
    /// yielded.
    pub async fn yield_if_due(&self) -> bool {
        let is_due = self.budget.is_exhausted();
        if is_due {
            self.budget.reset();
            yield_now().await;
        }
        is_due
    }

    /// The wrapped stream. Operations on it are not counted.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

/// Counts the operations that completed since the task last waited for the stream.
#[derive(Debug, Default)]
struct OperationBudget {
    ready_operations: Cell<u32>,
}

impl OperationBudget {
    /// Whether the task has to yield before the next operation.
    fn is_exhausted(&self) -> bool {
        self.ready_operations.get() >= MAX_READY_OPERATIONS
    }

    fn reset(&self) {
        self.ready_operations.set(0);
    }

    /// Polls an operation, or yields instead if too many operations have completed without waiting.
    fn poll<T>(
        &self,
        context: &mut Context<'_>,
        operation: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        if self.is_exhausted() {
            self.reset();
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let result = operation(context);
        if result.is_ready() {
            self.ready_operations.set(self.ready_operations.get() + 1);
        } else {
            self.reset();
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CooperativeStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, budget } = &mut *self;
        budget.poll(context, |context| Pin::new(stream).poll_read(context, bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CooperativeStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, budget } = &mut *self;
        budget.poll(context, |context| Pin::new(stream).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, budget } = &mut *self;
        budget.poll(context, |context| Pin::new(stream).poll_write_vectored(context, slices))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

impl<'a, S> AsyncRead for &'a CooperativeStream<S>
where
    &'a S: AsyncRead + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let CooperativeStream { stream, budget } = *self;
        budget.poll(context, |context| Pin::new(&mut &*stream).poll_read(context, bytes))
    }
}

impl<'a, S> AsyncWrite for &'a CooperativeStream<S>
where
    &'a S: AsyncWrite + Unpin,
{
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let CooperativeStream { stream, budget } = *self;
        budget.poll(context, |context| Pin::new(&mut &*stream).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let CooperativeStream { stream, budget } = *self;
        budget.poll(context, |context| Pin::new(&mut &*stream).poll_write_vectored(context, slices))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let CooperativeStream { stream, .. } = *self;
        Pin::new(&mut &*stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let CooperativeStream { stream, .. } = *self;
        Pin::new(&mut &*stream).poll_close(context)
    }
}
