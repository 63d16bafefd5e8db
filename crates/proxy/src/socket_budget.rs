//! How the descriptors of the process are shared out.

/// Of the descriptors so many at most are kept for the process itself, and for clients that are accepted only to be told
/// to go away.
const MAX_RESERVE: usize = 40;
/// The least number of clients that can be rejected at a time, where there are descriptors enough.
const MIN_REJECTED_CLIENTS: usize = 8;

/// How many connections of each kind there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    /// Connections of clients that are served.
    pub clients: usize,
    /// Connections of clients that are rejected, beyond these.
    pub rejected_clients: usize,
    /// Clients that have made a request, beyond which the idle among them make room.
    pub established_clients: usize,
    /// Connections to servers.
    pub servers: usize,
}

impl SocketBudget {
    /// The budget of a process that may hold so many descriptors.
    #[must_use]
    pub fn new(sockets: usize) -> Self {
        let reserve = (sockets / 4).min(MAX_RESERVE);
        let shared = sockets - reserve;
        let rejected_clients = (shared / 24).max(MIN_REJECTED_CLIENTS).min(shared / 4);
        let servers = shared * 3 / 8;
        Self {
            clients: shared - servers - rejected_clients,
            rejected_clients,
            established_clients: sockets / 4,
            servers,
        }
    }
}
