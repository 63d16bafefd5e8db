//! The distribution of the process's file descriptors among client connections, server connections and other
//! uses.

/// The upper limit of the descriptors that are reserved for the process itself.
const MAX_RESERVE: usize = 40;
/// The least number of clients that can be rejected at the same time, if there are enough descriptors.
const MIN_REJECTED_CLIENTS: usize = 8;

/// The limits on the numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    /// The number of clients that are served.
    pub clients: usize,
    /// The number of further clients that are accepted only to be rejected with an error.
    pub rejected_clients: usize,
    /// The number of clients that have made a request; beyond it, idle ones of them are evicted.
    pub established_clients: usize,
    /// The number of connections to servers.
    pub servers: usize,
}

impl SocketBudget {
    /// The budget of a process that may have `descriptors` file descriptors open.
    #[must_use]
    pub fn new(descriptors: usize) -> Self {
        let reserve = (descriptors / 4).min(MAX_RESERVE);
        let shared = descriptors - reserve;
        let rejected_clients = (shared / 24).max(MIN_REJECTED_CLIENTS).min(shared / 4);
        let servers = shared * 3 / 8;
        Self {
            clients: shared - servers - rejected_clients,
            rejected_clients,
            established_clients: descriptors / 4,
            servers,
        }
    }
}
