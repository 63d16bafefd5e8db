//! Accepting clients within the limits of their number; each session runs in a task of its own.

use crate::client::connection_slots::{Admission, EvictionClass, Slot};
use crate::client::context::ClientContext;
use crate::client::session::ClientSession;
use crate::resource_exhaustion::is_resource_exhaustion;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The number of connections that may wait to be accepted; a burst after a restart must not overflow it.
const BACKLOG: i32 = 1_024;
/// The pause in accepting when file descriptors have run out.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(20);
/// The pause after any other error, which must not be retried in a busy loop should it last.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Opens the listening socket.
///
/// # Errors
///
/// When the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Async::new(listener)
}

/// Accepts clients until the shutdown closes the listener.
pub(crate) async fn run(context: Rc<ClientContext>, listener: Async<TcpListener>) {
    loop {
        let accepted = async { Some(accept_one(&context, &listener).await) };
        match or(accepted, not_accepting(&context, None)).await {
            None => return,
            Some(Ok((stream, slot))) => {
                // A client that was accepted is answered, even if the shutdown comes first.
                let admission = or(slot.admit(), not_accepting(&context, Admission::Rejected)).await;
                spawn_session(&context, stream, slot, admission);
                // A flood of connections must not hold up the clients that are connected.
                yield_now().await;
            }
            Some(Err(error)) => {
                or(pause_after_error(&context, &listener, &error), not_accepting(&context, ())).await;
            }
        }
    }
}

/// Gives `result` once the shutdown closes the listener.
async fn not_accepting<T>(context: &ClientContext, result: T) -> T {
    context.shutdown_stages.not_accepting.wait().await;
    result
}

/// Accepts one client, once one more connection may be open. This is the only place that opens any, so that it may be
/// still when the client has come.
async fn accept_one(
    context: &ClientContext,
    listener: &Async<TcpListener>,
) -> io::Result<(Async<TcpStream>, Slot)> {
    if context.slots.is_open_limit_reached() {
        // Others are closed only for a client that is there.
        listener.readable().await?;
        context.slots.wait_until_one_more_may_open().await;
    }
    let (stream, _) = listener.accept().await?;
    Ok((stream, context.slots.open()))
}

/// Pauses after an error, so that one that lasts keeps the accept loop neither busy nor from going on.
async fn pause_after_error(context: &ClientContext, listener: &Async<TcpListener>, error: &io::Error) {
    if !is_resource_exhaustion(error) {
        // The client gave up before it was accepted.
        Timer::after(ERROR_PAUSE).await;
        return;
    }
    context.counters.resource_waits.increment();
    // Without descriptors accepting fails even while no client is there, for whom others might be closed.
    if listener.readable().await.is_ok() && !context.pool.close_one_idle() {
        context.slots.evict_one(EvictionClass::Unserved..=EvictionClass::Idle).await;
    }
    Timer::after(EXHAUSTED_PAUSE).await;
}

fn spawn_session(context: &Rc<ClientContext>, stream: Async<TcpStream>, slot: Slot, admission: Admission) {
    context.counters.client_connections.increment();
    // With Nagle's algorithm, a response held back until the one before is acknowledged would be lost with a connection
    // that breaks. Where the option can't be set the connection is closed already, which its first read reports.
    let _ = stream.get_ref().set_nodelay(true);
    let session_context = context.clone();
    let task = async move {
        // An error on one client's connection concerns no other: the connection is closed.
        let _ = ClientSession::new(&session_context, stream, slot).run(admission).await;
    };
    context.executor.spawn(task).detach();
}
