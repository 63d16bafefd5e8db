//! The settings that a router is started with, and their decoding from either host's form.

mod decode;
mod error;

pub use decode::{SettingsMap, duration_from_millis};
pub use error::SettingsError;

use crate::{TimeDelta, Timestamp};

/// Whether repeating a request is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key, by which the server discards repeats for a limited time.
    Keyed,
    /// It must never run twice.
    NonIdempotent,
}

/// What a class of requests does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads, with a guarantee on how current the data is.
    Read(Consistency),
    /// Writes; only the primary accepts it.
    Write,
}

/// How current the data of a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Any replica may serve it.
    Eventual,
    /// The data is no older than this when the request is sent.
    BoundedStaleness(TimeDelta),
    /// The data includes all that the session has written.
    ReadYourWrites,
    /// The data includes all that was written before the request arrived.
    Strong,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name, for log lines only.
    pub name: String,
    /// Whether repeating it is safe.
    pub idempotency: Idempotency,
    /// What it does.
    pub operation: Operation,
    /// Answered within this time, a request has its full weight.
    pub latency_objective: TimeDelta,
    /// The objective is extended by this multiple of the request's expected work.
    pub objective_stretch: f64,
    /// The weight of one request.
    pub priority_weight: f64,
    /// The fraction of the weight that a response after the objective still has.
    pub late_weight: f64,
}

/// What an endpoint does with a read for which its data is too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// It serves the data that it has.
    Serve,
    /// It rejects the read untouched, at once or after a wait.
    Reject,
}

/// Where the session token of a read comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTokenSource {
    /// The request carries how long ago its session last wrote.
    Request,
    /// The router remembers the commits that it has seen.
    Router,
}

/// How the endpoint list reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The discovery service pushes it.
    Push,
    /// The host polls it after [`Action::Subscribe`](crate::Action::Subscribe).
    Poll,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// The log position, in seconds after [`Settings::position_epoch`].
    Position,
    /// 1 from a primary, 0 from a replica.
    Primary,
    /// Any other value; no decision uses it.
    Other,
}

impl LoadReportField {
    /// The field that load reports give this name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        match name {
            "x0" => Self::Position,
            "x1" => Self::Primary,
            _ => Self::Other,
        }
    }
}

/// A tenant, whose traffic has a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for log lines only.
    pub name: String,
    /// Requests per second within its quota, over all routers.
    pub quota: f64,
}

/// The operators' weights of what the service is measured by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// Of all requests together.
    pub overall: f64,
    /// Of the class that is served worst.
    pub worst_class: f64,
}

/// What a router is started with. It does not change while the router lives.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes, by [`ClassId`](crate::ClassId).
    pub classes: Vec<RequestClass>,
    /// The tenants, by [`TenantId`](crate::TenantId).
    pub tenants: Vec<Tenant>,
    /// How many routers share the endpoints.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: String,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// What endpoints do with a read for which their data is too old.
    pub stale_read_policy: StaleReadPolicy,
    /// Where session tokens come from.
    pub session_token_source: SessionTokenSource,
    /// Log position zero of response metadata and load reports, on the host's clock.
    pub position_epoch: Timestamp,
    /// What load reports hold, in order.
    pub load_report_fields: Vec<LoadReportField>,
    /// The number of attempts that a request may have.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight together.
    pub hedging_allowed: bool,
    /// Whether [`Action::HealthCheck`](crate::Action::HealthCheck) is allowed.
    pub health_checks_allowed: bool,
    /// What one health check per request would take off the result; 0 where health checks cost nothing.
    pub health_check_cost: f64,
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancellation_allowed: bool,
    /// Whether rejections carry a retry-after.
    pub retry_after_allowed: bool,
    /// The longest retry-after that a client heeds.
    pub max_retry_after: TimeDelta,
    /// An endpoint is sent nothing new later than this after it was listed as draining or removed.
    pub drain_grace: TimeDelta,
    /// Only endpoints that were seen draining are subject to the drain rule; removed ones may still be used.
    pub soft_removal: bool,
    /// The fraction of its capacity that an endpoint has at its start, or more.
    pub slow_start_floor: f64,
    /// How long an endpoint takes to warm up after its start.
    pub slow_start_window: TimeDelta,
    /// A warming endpoint that is sent more than this multiple of its capacity for [`Self::overload_window`] fails.
    pub overload_multiple: f64,
    /// How long a warming endpoint survives an overload.
    pub overload_window: TimeDelta,
    /// The weight of requests over their tenant's quota, as a fraction of the usual.
    pub over_quota_weight: f64,
    /// What the operators measure the service by.
    pub objective_weights: ObjectiveWeights,
}

impl Default for Settings {
    /// The most careful value of every setting: no classes, nothing optional allowed.
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            tenants: Vec::new(),
            router_count: 1,
            zone: String::new(),
            discovery: Discovery::Push,
            stale_read_policy: StaleReadPolicy::Serve,
            session_token_source: SessionTokenSource::Router,
            position_epoch: Timestamp(0),
            load_report_fields: Vec::new(),
            max_attempts: 1,
            hedging_allowed: false,
            health_checks_allowed: false,
            health_check_cost: 0.0,
            cancellation_allowed: false,
            retry_after_allowed: false,
            max_retry_after: TimeDelta(0),
            drain_grace: TimeDelta(0),
            soft_removal: false,
            slow_start_floor: 1.0,
            slow_start_window: TimeDelta(0),
            overload_multiple: 1.0,
            overload_window: TimeDelta(0),
            over_quota_weight: 1.0,
            objective_weights: ObjectiveWeights::default(),
        }
    }
}
