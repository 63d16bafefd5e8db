//! A request of a client, and what aborts it.

use pooler_routing::{ClassId, GroupId, SessionKey, Timestamp};

/// A request as the client side submits it.
#[derive(Debug)]
pub struct ClientRequest<Q> {
    /// Its class.
    pub class: ClassId,
    /// Its session, in classes that have sessions.
    pub session: Option<SessionKey>,
    /// Its group.
    pub group: GroupId,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// When its session last committed a write, if the client reports that.
    pub last_write: Option<Timestamp>,
    /// The query for an endpoint.
    pub query: Q,
}

/// Why a request ends without a decision of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// Its client has disconnected.
    ClientDisconnected,
    /// Its client has asked to cancel it.
    CancelRequested,
    /// The process exits before the request's deadline.
    Shutdown,
}
