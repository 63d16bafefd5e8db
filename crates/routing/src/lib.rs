//! Routing decisions of the pooler, which routes reads and writes to replicated databases.
//!
//! [`Router`] is a pure state machine: the host reports [`Event`]s with the time at which they happened, and
//! carries out the [`Action`]s that the router appends. [`membership`] resolves the endpoints from the claims
//! of several sources. This crate performs no I/O, reads no clock and starts no thread; the same events and
//! seed produce the same actions.
//!
//! The hosts are the packages `pooler-proxy`, which uses real sockets, and `simulator-adapter`; both decode
//! [`settings`] with the same code. The README contains an example that runs as a documentation test.

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;

mod action;
mod event;
mod identifiers;
pub mod membership;
pub mod primary_search;
mod router;
pub mod settings;
mod time;

pub use action::Action;
pub use event::{
    AttemptCompletion, AttemptOutcome, EndpointEntry, EndpointUpdate, Event, Lifecycle, Request,
    ResponseMetadata, Role,
};
pub use identifiers::{AttemptNumber, ClassId, EndpointId, GroupId, RequestId, SessionKey, TenantId};
pub use router::Router;
pub use settings::{
    Consistency, Discovery, Idempotency, LoadReportField, ObjectiveWeights, Operation, RequestClass,
    SessionTokenSource, Settings, StaleReadPolicy, Tenant,
};
pub use time::{TimeDelta, Timestamp};
