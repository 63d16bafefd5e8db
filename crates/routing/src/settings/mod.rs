//! Settings that a router is started with, and their decoding from the formats of both hosts.

mod decode;
mod error;

pub use decode::{SettingsMap, duration_from_millis};
pub use error::SettingsError;

use crate::{TimeDelta, Timestamp};

/// Whether a request is safe to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries an idempotency key, with which the server discards duplicates for a limited time.
    Keyed,
    /// The request must never run twice.
    NonIdempotent,
}

/// The operation that the requests of a class perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A read, with a guarantee on the freshness of the data.
    Read(Consistency),
    /// A write, which only the primary accepts.
    Write,
}

/// The required freshness of the data that a read returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Any replica may serve the read.
    Eventual,
    /// The data is no older than this at the time when the request is sent.
    BoundedStaleness(TimeDelta),
    /// The data includes all writes of the client's session.
    ReadYourWrites,
    /// The data includes all writes that were made before the request arrived.
    Strong,
}

/// A class of requests that share their semantics, latency objective and weight.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name of the class. The router uses it in log lines only.
    pub name: String,
    /// Whether requests of the class are safe to repeat.
    pub idempotency: Idempotency,
    /// The operation that requests of the class perform.
    pub operation: Operation,
    /// The time within which a response has the full weight of its request.
    pub latency_objective: TimeDelta,
    /// The multiple of a request's expected work that is added to its latency objective.
    pub objective_work_multiple: f64,
    /// The weight of one request.
    pub priority_weight: f64,
    /// The fraction of the weight that a response after the latency objective still has.
    pub late_weight: f64,
}

/// The behaviour of an endpoint on a read for which its data is too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// The endpoint serves the data that it has.
    Serve,
    /// The endpoint rejects the read without running it, at once or after a wait.
    Reject,
}

/// The source of the session token of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTokenSource {
    /// The request carries the time since the last write of its session.
    Request,
    /// The router records the commits that it has observed for each session.
    Router,
}

/// The way in which the router receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The discovery service pushes the list.
    Push,
    /// The host polls the list when the router requests it with
    /// [`Action::Subscribe`](crate::Action::Subscribe).
    Poll,
}

/// The meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// The log position of the endpoint, in seconds after [`Settings::position_epoch`].
    Position,
    /// The role of the endpoint: 1 for a primary, 0 for a replica.
    Primary,
    /// Any other value, which no routing decision uses.
    Other,
}

impl LoadReportField {
    /// Returns the field that has this name in load reports.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        match name {
            "x0" => Self::Position,
            "x1" => Self::Primary,
            _ => Self::Other,
        }
    }
}

/// A tenant, whose requests are subject to a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant. The router uses it in log lines only.
    pub name: String,
    /// The quota in requests per second, over all routers.
    pub quota: f64,
}

/// The weights that the operators give to the objectives of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// The weight of all requests together.
    pub overall: f64,
    /// The weight of the request class that is served worst.
    pub worst_class: f64,
}

/// The settings of a router, which do not change during its lifetime.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes, indexed by [`ClassId`](crate::ClassId).
    pub classes: Vec<RequestClass>,
    /// The tenants, indexed by [`TenantId`](crate::TenantId).
    pub tenants: Vec<Tenant>,
    /// The number of routers that share the endpoints.
    pub router_count: u32,
    /// The zone in which this router runs.
    pub zone: String,
    /// The way in which the endpoint list arrives.
    pub discovery: Discovery,
    /// The behaviour of endpoints on a read for which their data is too old.
    pub stale_read_policy: StaleReadPolicy,
    /// The source of session tokens.
    pub session_token_source: SessionTokenSource,
    /// The time on the host's clock of log position zero in response metadata and load reports.
    pub position_epoch: Timestamp,
    /// The fields of a load report, in order.
    pub load_report_fields: Vec<LoadReportField>,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Whether [`Action::HealthCheck`](crate::Action::HealthCheck) is allowed.
    pub health_checks_allowed: bool,
    /// The cost of one health check per request, in points deducted from the service result; 0 if health
    /// checks are free. The service result is the figure by which the operators judge the service.
    pub health_check_cost: f64,
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancellation_allowed: bool,
    /// Whether rejections may carry a retry-after.
    pub retry_after_allowed: bool,
    /// The longest retry-after that clients respect.
    pub max_retry_after: TimeDelta,
    /// The time for which an endpoint may still be sent new work after it was listed as draining or removed.
    pub drain_grace: TimeDelta,
    /// Whether new work is forbidden only for endpoints that were seen draining. If so, endpoints that were
    /// removed without a drain may still be used.
    pub soft_removal: bool,
    /// The minimum capacity of an endpoint that has just started, as a fraction of its full capacity.
    pub slow_start_floor: f64,
    /// The time that an endpoint takes to warm up after its start.
    pub slow_start_window: TimeDelta,
    /// A warming endpoint fails if it is sent more than this multiple of its capacity for
    /// [`Self::overload_window`].
    pub overload_multiple: f64,
    /// The time for which a warming endpoint withstands overload.
    pub overload_window: TimeDelta,
    /// The weight of requests over their tenant's quota, as a fraction of the regular weight.
    pub over_quota_weight: f64,
    /// The weights of the objectives by which the operators measure the service.
    pub objective_weights: ObjectiveWeights,
}

impl Default for Settings {
    /// The most conservative value of every setting: no classes, and no optional feature allowed.
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
