//! Events that a host reports to the router.

use crate::{
    AttemptNumber, ClassId, EndpointId, GroupId, RequestId, SessionKey, TenantId, TimeDelta, Timestamp,
};

/// The lifecycle state of an endpoint in the discovery service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// The endpoint is in service.
    #[default]
    Active,
    /// The endpoint completes the work that it has; new work must not be sent to it.
    Draining,
    /// The endpoint was removed from the endpoint list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The replication group of the endpoint.
    pub group: GroupId,
    /// The lifecycle state of the endpoint.
    pub lifecycle: Lifecycle,
    /// Whether the discovery service believes that the endpoint is the primary of its group.
    pub primary: bool,
    /// When the endpoint last started; `None` if that was long ago or is unknown.
    pub started_at: Option<Timestamp>,
    /// The zone of the endpoint.
    pub zone: String,
}

/// A change of the endpoint list, or a failure to obtain it.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list; endpoints that it lacks are removed.
    Snapshot(Vec<EndpointEntry>),
    /// Only the entries that changed.
    Delta(Vec<EndpointEntry>),
    /// The poll of the list failed, or the subscription was lost.
    PollFailed,
    /// Endpoints that were removed so long ago that the router can discard their state.
    Evicted(Vec<EndpointId>),
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The identifier of the request.
    pub id: RequestId,
    /// The request class.
    pub class: ClassId,
    /// The tenant that sent the request, if it is known.
    pub tenant: Option<TenantId>,
    /// The session of the client, if it has one.
    pub session: Option<SessionKey>,
    /// The time left until the client stops waiting.
    pub time_remaining: TimeDelta,
    /// The replication group that holds the requested data.
    pub group: GroupId,
    /// The time from the last commit of the session to the arrival of the request, where requests carry
    /// session tokens.
    pub since_last_write: Option<TimeDelta>,
    /// The expected duration of the work for the request, where it is known.
    pub expected_work: Option<TimeDelta>,
}

/// The role of an endpoint in its replication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The endpoint accepts writes.
    Primary,
    /// The endpoint applies the primary's log.
    Replica,
}

/// The role and log position that an endpoint reports in the response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The role of the endpoint; `None` if the metadata states no valid role.
    pub role: Option<Role>,
    /// The log position up to which the endpoint has applied, or the position of the commit if the request
    /// was a write; `None` if the response has no position.
    pub position: Option<Timestamp>,
}

/// The result of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt succeeded.
    Ok,
    /// The endpoint returned an error; the request may have run.
    Error,
    /// The endpoint rejected the request for lack of capacity; the request never ran.
    Rejected,
    /// No response arrived in time; the request may have run.
    Timeout,
    /// Nothing listens at the address; the request never ran.
    ConnectionRefused,
    /// Connecting timed out, because the endpoint or the network path to it is down; the request never ran.
    ConnectTimeout,
    /// The connection to a live endpoint broke before the complete request was sent; the request never ran.
    ConnectionLostBeforeSend,
    /// The connection broke after the request was sent; the request may have run.
    ConnectionReset,
    /// The router cancelled the attempt; the request may have run.
    Cancelled,
    /// The host did not send the attempt; the request never ran.
    NotSent,
    /// The endpoint rejected the request without running it, because the endpoint is not the primary or its
    /// data is too old.
    NotEligible,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the request never ran on the endpoint.
    #[must_use]
    pub const fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected
                | Self::ConnectionRefused
                | Self::ConnectTimeout
                | Self::ConnectionLostBeforeSend
                | Self::NotSent
                | Self::NotEligible
        )
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptCompletion {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// The result of the attempt.
    pub outcome: AttemptOutcome,
    /// The role and position that the response reports; `None` if there was no response or no metadata.
    pub metadata: Option<ResponseMetadata>,
    /// The time from the sending of the attempt to its end.
    pub elapsed: TimeDelta,
    /// Whether the request is closed: the client received its final response, or the host no longer serves
    /// the request.
    pub request_closed: bool,
    /// The values of the endpoint's load report, in the order of
    /// [`Settings::load_report_fields`](crate::Settings::load_report_fields); `None` if there is no report.
    pub load_report: Option<Vec<f64>>,
}

/// An event that a host reports to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed. The first update after a start is the list that was cached last; it may be
    /// out of date.
    EndpointUpdate(EndpointUpdate),
    /// A client request arrived.
    Request(Request),
    /// The client stopped waiting for the response, or the response is overdue.
    RequestAbandoned(RequestId),
    /// The timer set by [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired,
    /// A streamed response began; the router has no further decision to make about the request.
    ResponseStarted(RequestId),
    /// An attempt of a request ended.
    AttemptCompleted(AttemptCompletion),
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The result of the health check.
        outcome: AttemptOutcome,
        /// The time from the sending of the health check to its end.
        elapsed: TimeDelta,
        /// The values of the endpoint's load report, in the order of
        /// [`Settings::load_report_fields`](crate::Settings::load_report_fields); `None` if there is no
        /// report.
        load_report: Option<Vec<f64>>,
    },
}
