//! The distribution of the process's file descriptors among its uses.

/// The most descriptors that are reserved for the process itself.
const MAX_RESERVE: usize = 40;
/// The least number of clients that can be rejected at a time, if there are enough descriptors.
const MIN_REJECTED_CLIENTS: usize = 8;

/// The limits on the number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    /// Clients that are served.
    pub clients: usize,
    /// Clients beyond these that are accepted only to be rejected.
    pub rejected_clients: usize,
    /// Clients that have made a request, beyond which idle ones are evicted.
    pub established_clients: usize,
    /// Connections to servers.
    pub servers: usize,
}

impl SocketBudget {
    /// The budget of a process that may open so many descriptors.
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
