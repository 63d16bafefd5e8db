//! Calls that are repeated while earlier ones are unanswered: an answer that comes late is still heard, and a call
//! that gets none does not keep the next one waiting.

use async_io::Timer;
use futures_lite::future::poll_fn;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// The number of calls that are made at the same time. The oldest one is given up for a further one.
const MAX_PENDING_CALLS: usize = 3;

/// Calls that have not been answered.
struct PendingCalls<F> {
    calls: VecDeque<Pin<Box<F>>>,
}

impl<T, E, F: Future<Output = Result<T, E>>> PendingCalls<F> {
    fn add(&mut self, call: F) {
        if self.calls.len() == MAX_PENDING_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(Box::pin(call));
    }

    /// Returns the first success, or the last error once no call is pending.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Result<T, E>> {
        let mut failure = None;
        let mut index = 0;
        while let Some(call) = self.calls.get_mut(index) {
            match call.as_mut().poll(context) {
                Poll::Ready(Ok(answer)) => return Poll::Ready(Ok(answer)),
                Poll::Ready(Err(error)) => {
                    self.calls.remove(index);
                    failure = Some(error);
                }
                Poll::Pending => index += 1,
            }
        }
        match failure {
            Some(error) if self.calls.is_empty() => Poll::Ready(Err(error)),
            _ => Poll::Pending,
        }
    }
}

/// Makes a call, and another one each time that `next_delay` has passed without an answer. Returns the first
/// success.
///
/// # Errors
///
/// When all calls that were made have failed; returns the error of the last one.
pub async fn first_success<T, E, F>(
    mut call: impl FnMut() -> F,
    mut next_delay: impl FnMut() -> Duration,
) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let mut pending = PendingCalls { calls: VecDeque::new() };
    pending.add(call());
    let mut timer = Timer::after(next_delay());
    poll_fn(|context| {
        loop {
            if let Poll::Ready(result) = pending.poll(context) {
                return Poll::Ready(result);
            }
            if Pin::new(&mut timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            pending.add(call());
            timer = Timer::after(next_delay());
        }
    })
    .await
}
