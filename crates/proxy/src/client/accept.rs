//! Accepts client connections within the configured limits; each session runs in a task of its own.

use crate::buffer::TcpConnection;
use crate::client::accept_queue::AcceptQueue;
use crate::client::connection_slots::{Admission, EvictionClass};
use crate::client::context::ClientContext;
use crate::client::session::ClientSession;
use crate::resource_exhaustion::is_resource_exhaustion;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The length of the queue of connections that wait to be accepted. A burst of connections after a restart
/// must not overflow the queue.
const BACKLOG: i32 = 1_024;
/// The number of connections that are accepted before the other tasks have their turn.
const MAX_ACCEPTED_IN_TURN: u32 = 16;
/// The pause of the accept loop when file descriptors have run out.
const RESOURCE_EXHAUSTION_PAUSE: Duration = Duration::from_millis(20);
/// The pause of the accept loop after any other error, so that a persistent error causes no busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Opens the listening socket.
///
/// # Errors
///
/// When the socket can't be bound to the address, or listening on it fails.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Async::new(listener)
}

/// Accepts clients until the shutdown closes the listener.
pub(crate) async fn run(context: Rc<ClientContext>, listener: Async<TcpListener>) {
    let mut queue = AcceptQueue::new(BACKLOG as usize, Instant::now());
    let mut accepted_in_turn = 0;
    loop {
        let accepted = async { Some(accept_one(&listener, &mut queue).await) };
        match or(accepted, wait_for_end_of_accepting(&context, None)).await {
            None => return,
            Some(Ok(client)) => {
                // Other connections are closed only for a client that has come.
                or(context.slots.wait_for_open_capacity(), wait_for_end_of_accepting(&context, ())).await;
                spawn_session(&context, client);
                accepted_in_turn += 1;
                // A flood of new connections must not delay the clients that are already connected. Nor must
                // those keep the new ones waiting, each of which may be behind hundreds of others.
                if accepted_in_turn == MAX_ACCEPTED_IN_TURN {
                    accepted_in_turn = 0;
                    yield_now().await;
                }
            }
            Some(Err(error)) => {
                or(pause_after_error(&context, &listener, &error), wait_for_end_of_accepting(&context, ()))
                    .await;
            }
        }
    }
}

/// Waits until the shutdown ends accepting, and returns `result`.
async fn wait_for_end_of_accepting<T>(context: &ClientContext, result: T) -> T {
    context.shutdown_stages.not_accepting.wait().await;
    result
}

/// A client that has been accepted.
struct AcceptedClient {
    stream: Async<TcpStream>,
    /// The earliest time at which it can have come.
    queued_since: Instant,
}

/// Accepts one client.
async fn accept_one(listener: &Async<TcpListener>, queue: &mut AcceptQueue) -> io::Result<AcceptedClient> {
    loop {
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                let queued_since = queue.record_accepted(Instant::now());
                return Ok(AcceptedClient { stream: Async::new(stream)?, queued_since });
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                listener.readable().await?;
                queue.record_empty(Instant::now());
            }
            Err(error) => return Err(error),
        }
    }
}

/// Pauses after an error, so that a persistent error neither makes the accept loop busy nor ends it.
async fn pause_after_error(context: &ClientContext, listener: &Async<TcpListener>, error: &io::Error) {
    if !is_resource_exhaustion(error) {
        // The client closed its connection before it was accepted.
        Timer::after(ERROR_PAUSE).await;
        return;
    }
    context.counters.resource_waits.increment();
    // Without free descriptors, accepting fails even while no client is waiting. Other connections are closed
    // only if one is waiting.
    if listener.readable().await.is_ok() && !context.pool.close_one_idle() {
        context.slots.evict_one(EvictionClass::Unserved..=EvictionClass::Idle).await;
    }
    Timer::after(RESOURCE_EXHAUSTION_PAUSE).await;
}

fn spawn_session(context: &Rc<ClientContext>, client: AcceptedClient) {
    let AcceptedClient { stream, queued_since } = client;
    let slot = context.slots.open();
    context.counters.client_connections.increment();
    // Nagle's algorithm would hold a response back until the previous one is acknowledged, and the response
    // would be lost if the connection broke in the meantime. If the option can't be set, the connection is
    // already closed, and its first read reports that.
    let _ = stream.get_ref().set_nodelay(true);
    let session_context = context.clone();
    let task = async move {
        // A client that was accepted gets a response even if the shutdown begins before its admission.
        let admission =
            or(slot.admit(), wait_for_end_of_accepting(&session_context, Admission::Rejected)).await;
        // An error on one client's connection closes only that connection.
        let stream = TcpConnection::new(stream);
        let _ = ClientSession::new(&session_context, stream, slot, queued_since).run(admission).await;
    };
    context.executor.spawn(task).detach();
}
