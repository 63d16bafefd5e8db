//! What a host reports to the router.

use crate::{
    AttemptNumber, ClassId, EndpointId, GroupId, RequestId, SessionKey, TenantId, TimeDelta, Timestamp,
};

/// The state of an endpoint in the discovery service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    #[default]
    Active,
    /// Completes the work that it has; it must be sent nothing new.
    Draining,
    /// Removed from the endpoint list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its replication group.
    pub group: GroupId,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// Whether the discovery service believes it to be the primary.
    pub primary: bool,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Timestamp>,
    /// Its zone.
    pub zone: String,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list.
    Snapshot(Vec<EndpointEntry>),
    /// Changed entries only.
    Delta(Vec<EndpointEntry>),
    /// Polling the list failed, or the subscription was lost.
    PollFailed,
    /// Endpoints that were removed so long ago that nothing needs to be remembered of them.
    Evicted(Vec<EndpointId>),
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<SessionKey>,
    /// The time left until the client gives up.
    pub time_remaining: TimeDelta,
    /// The replication group that holds its data.
    pub group: GroupId,
    /// How long before its arrival its session last committed, where requests carry session tokens.
    pub since_last_write: Option<TimeDelta>,
    /// The work that it is expected to take, where that is known.
    pub expected_work: Option<TimeDelta>,
}

/// The role of an endpoint in its replication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It applies the primary's log.
    Replica,
}

/// What the response to an attempt says of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The role; `None` if the metadata is unreadable.
    pub role: Option<Role>,
    /// The log position up to which the endpoint has applied, or for a write the position of its commit;
    /// `None` where the response has none.
    pub position: Option<Timestamp>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It succeeded.
    Ok,
    /// The endpoint returned an error; the request may have run.
    Error,
    /// The endpoint rejected it for lack of capacity; it never ran.
    Rejected,
    /// No response in time; it may have run.
    Timeout,
    /// Nothing listens at the address; it never ran.
    ConnectionRefused,
    /// Nothing answers at the address, because the endpoint or the path to it is gone; it never ran.
    ConnectTimeout,
    /// The connection to a live endpoint broke before the request was sent completely; it never ran.
    ConnectionLostBeforeSend,
    /// The connection broke after the request was sent; it may have run.
    ConnectionReset,
    /// The router cancelled it; it may have run.
    Cancelled,
    /// The host did not send it.
    NotSent,
    /// The endpoint rejected it untouched: it is not the primary, or its data is too old.
    NotEligible,
}

impl AttemptOutcome {
    /// Whether the outcome proves that nothing ran.
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
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// What the response says of the endpoint.
    pub metadata: Option<ResponseMetadata>,
    /// The time since the attempt was sent.
    pub elapsed: TimeDelta,
    /// Whether the client has received its final response.
    pub request_closed: bool,
    /// The endpoint's load report, in the order of
    /// [`Settings::load_report_fields`](crate::Settings::load_report_fields).
    pub load_report: Option<Vec<f64>>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed. The first update after the start is the list cached last, possibly old.
    EndpointUpdate(EndpointUpdate),
    /// A request arrived.
    Request(Request),
    /// The client left, or the response is overdue.
    RequestAbandoned(RequestId),
    /// The timer set by [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired,
    /// A streamed response has begun; the router is no longer concerned with the request.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptCompleted(AttemptCompletion),
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The time since it was sent.
        elapsed: TimeDelta,
        /// The endpoint's load report.
        load_report: Option<Vec<f64>>,
    },
}
