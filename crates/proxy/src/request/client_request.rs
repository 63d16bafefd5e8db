//! A client's request, and the reasons why it can be aborted.

use pooler_routing::{ClassId, GroupId, SessionKey, Timestamp};

/// A request as the client side submits it.
#[derive(Debug)]
pub struct ClientRequest<Q> {
    /// The request class.
    pub class: ClassId,
    /// The session that the request belongs to; `None` in classes without sessions.
    pub session: Option<SessionKey>,
    /// The group of endpoints that the request is for.
    pub group: GroupId,
    /// When the client stops waiting for the response.
    pub deadline: Timestamp,
    /// When the session last committed a write, if the client reports that.
    pub last_write: Option<Timestamp>,
    /// The query to forward to an endpoint.
    pub query: Q,
}

/// Why a request is ended other than by a decision of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The client has disconnected.
    ClientDisconnected,
    /// The client has sent a cancel request.
    CancelRequested,
    /// The process shuts down before the request's deadline.
    Shutdown,
}
