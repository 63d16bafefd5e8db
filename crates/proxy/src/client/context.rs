//! What all client sessions share.

use crate::client::cancellation::CancellationKeys;
use crate::client::connection_slots::ConnectionSlots;
use crate::client::in_doubt_writes::InDoubtWrites;
use crate::client::open_request_ids::OpenRequestIds;
use crate::client::read_ahead::ReadAheadBudget;
use crate::lifecycle::stages::ShutdownStages;
use crate::metrics::Counters;
use crate::router_handle::RouterHandle;
use crate::server::pool::Pool;
use async_executor::LocalExecutor;
use pooler_routing::{ClassId, Operation, TimeDelta};
use std::rc::Rc;
use std::time::Duration;

/// A request class of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct RequestClass {
    /// The name by which requests ask for it.
    pub(crate) name: String,
    /// What its requests do.
    pub(crate) operation: Operation,
}

/// What the accept loop and all client sessions share.
pub(crate) struct ClientContext {
    /// Runs the sessions' tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The router.
    pub(crate) router: Rc<RouterHandle>,
    /// The connections to the servers.
    pub(crate) pool: Rc<Pool>,
    /// The metrics.
    pub(crate) counters: Rc<Counters>,
    /// The stages of the shutdown.
    pub(crate) shutdown_stages: Rc<ShutdownStages>,
    /// The slots of the client connections.
    pub(crate) slots: Rc<ConnectionSlots>,
    /// The request classes, in the order of their ids.
    pub(crate) classes: Vec<RequestClass>,
    /// The writes whose outcome is unknown.
    pub(crate) in_doubt_writes: Rc<InDoubtWrites>,
    /// The longest deadline of any class.
    pub(crate) longest_deadline: Duration,
    /// The ids of the requests in flight, at most one a connection.
    pub(crate) open_request_ids: OpenRequestIds,
    /// The keys with which clients cancel their requests.
    pub(crate) cancellation_keys: CancellationKeys,
    /// When clients that exceed the connection limit should retry; `None` where clients are not told.
    pub(crate) full_retry_after: Option<TimeDelta>,
    /// The memory that clients share for commands sent ahead.
    pub(crate) read_ahead: Rc<ReadAheadBudget>,
}

impl ClientContext {
    /// The id of the class with this name.
    pub(crate) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class.name == name).map(ClassId)
    }

    /// The class with this id.
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[id.0]
    }
}
