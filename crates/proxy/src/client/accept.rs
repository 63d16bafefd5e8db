//! Clients are accepted within a budget of connections, and each has a task of its own.

use crate::client::connection_slots::{Rank, Slots};
use crate::client::in_doubt_writes::Doubts;
use crate::client::read_ahead::Shared;
use crate::client::session::Client;
use crate::client::session_keys::Sessions;
use crate::lifecycle::stages::ShutdownStages;
use crate::metrics::Counters;
use crate::router_handle::RouterHandle;
use crate::server::pool::Pool;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{or, poll_once, yield_now};
use pooler_routing::*;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Connections that wait to be accepted; a burst after a restart must not overflow it.
const BACKLOG: i32 = 1_024;
/// How long accepting rests when descriptors have run out.
const SHORT_PAUSE: Duration = Duration::from_millis(20);

/// Opens the listening socket.
///
/// # Errors
///
/// When the address can't be listened on.
pub fn listen(address: std::net::SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Async::new(listener)
}

/// What those need who serve clients.
pub(crate) struct Frontend {
    /// What carries the tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The module and its mailboxes.
    pub(crate) router: Rc<RouterHandle>,
    /// The connections to the members.
    pub(crate) pool: Rc<Pool>,
    /// What is counted.
    pub(crate) counters: Rc<Counters>,
    /// How far the pooler's life has come.
    pub(crate) stages: Rc<ShutdownStages>,
    /// The slots of the connections.
    pub(crate) slots: Rc<Slots>,
    /// The classes by name.
    pub(crate) classes: Vec<(String, Operation)>,
    /// Writes whose outcome nobody knows.
    pub(crate) doubts: Rc<Doubts>,
    /// The longest deadline of any class.
    pub(crate) longest_deadline: Duration,
    /// The clients' ids of the requests that are open: at most one a connection.
    pub(crate) open_ids: RefCell<HashSet<Box<str>>>,
    /// Who can be asked to cancel.
    pub(crate) sessions: Sessions,
    /// When a client comes back for which there was no room, where clients are told.
    pub(crate) full_retry_after: Option<TimeDelta>,
    /// What clients that send ahead share.
    pub(crate) ahead: Rc<Shared>,
}

/// Accepts clients until the pooler accepts no more.
pub(crate) async fn run(frontend: Rc<Frontend>, listener: Async<TcpListener>) {
    loop {
        let accepted = async {
            let before = frontend.slots.room().await;
            let (stream, _) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => return Some(Err(error)),
            };
            // Long may have passed until somebody came.
            let room = before || poll_once(frontend.slots.room()).await.unwrap_or(false);
            Some(Ok((stream, room)))
        };
        let not_accepting = async {
            frontend.stages.not_accepting.wait().await;
            None
        };
        match or(accepted, not_accepting).await {
            None => return,
            Some(Ok((stream, room))) => {
                admit(&frontend, stream, room);
                // A flood of connections holds up nobody who is already here.
                yield_now().await;
            }
            // Out of descriptors: neither spin nor end. An idle connection is let go to make room.
            Some(Err(error)) if crate::resource_exhaustion::is_resource_exhaustion(&error) => {
                frontend.counters.resource_waits.increment();
                if !frontend.pool.close_one_idle() {
                    frontend.slots.ask_one_to_go(Rank::Parting..=Rank::Idle);
                }
                Timer::after(SHORT_PAUSE).await;
            }
            // The client gave up before it was accepted; should it be something that lasts, it must not spin.
            Some(Err(_)) => {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }
}

fn admit(frontend: &Rc<Frontend>, stream: Async<TcpStream>, room: bool) {
    frontend.counters.client_connections.increment();
    // An answer held back until the one before is acknowledged would be lost with a connection that breaks. One that
    // can't be set so has ended already, as its first read tells.
    let _ = stream.get_ref().set_nodelay(true);
    let owner = frontend.clone();
    let task = async move {
        let slot = owner.slots.take();
        let session = owner.sessions.enter(slot.number());
        // What went wrong on one client's connection concerns nobody else: it is closed.
        let _ = Client::new(&owner, session, stream, slot).run(room).await;
    };
    frontend.executor.spawn(task).detach();
}
