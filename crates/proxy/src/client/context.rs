//! The state that the accept loop and all client sessions share.

use crate::client::cancellation::CancellationKeys;
use crate::client::connection_slots::ConnectionSlots;
use crate::client::discarding::Discarder;
use crate::client::in_doubt_writes::InDoubtWrites;
use crate::client::open_request_ids::OpenRequestIds;
use crate::lifecycle::stages::ShutdownStages;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Counters;
use crate::router_handle::RouterHandle;
use crate::server::pool::Pool;
use async_executor::LocalExecutor;
use pooler_routing::settings::Idempotency;
use pooler_routing::{ClassId, Operation, TimeDelta};
use std::rc::Rc;
use std::time::Duration;

/// The properties of a configured request class that the client side uses.
#[derive(Clone, Debug)]
pub(crate) struct RequestClass {
    /// The name that requests give as their class.
    pub(crate) name: String,
    /// The operation of the class's requests: a write, or a read with its consistency.
    pub(crate) operation: Operation,
    /// Whether the class's requests may run more than once.
    pub(crate) idempotency: Idempotency,
}

impl RequestClass {
    /// Whether a request of this class that may have run must not run again under the same id. The reads that
    /// may run any number of times are the only ones that may.
    pub(crate) fn retains_ids(&self) -> bool {
        self.operation == Operation::Write || self.idempotency != Idempotency::Idempotent
    }
}

/// The state that the accept loop and all client sessions share.
pub(crate) struct ClientContext {
    /// The executor that runs the sessions' tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The handle through which requests reach the router.
    pub(crate) router: Rc<RouterHandle>,
    /// The pool of connections to the servers.
    pub(crate) pool: Rc<Pool>,
    /// The pooler's counters.
    pub(crate) counters: Rc<Counters>,
    /// The stages of the graceful shutdown.
    pub(crate) shutdown_stages: Rc<ShutdownStages>,
    /// The slots of the client connections.
    pub(crate) slots: Rc<ConnectionSlots>,
    /// The request classes, in the order of their ids.
    pub(crate) classes: Vec<RequestClass>,
    /// The record of writes whose outcome is unknown.
    pub(crate) in_doubt_writes: Rc<InDoubtWrites>,
    /// The longest deadline of any request class, which limits the timeouts of clients.
    pub(crate) longest_deadline: Duration,
    /// The ids of the requests in flight, at most one per connection, and of those that must not run again.
    pub(crate) open_request_ids: OpenRequestIds,
    /// The keys by which clients cancel their requests.
    pub(crate) cancellation_keys: CancellationKeys,
    /// The retry-after for clients rejected for lack of a free slot; `None` if clients are given none.
    pub(crate) no_slot_retry_after: Option<TimeDelta>,
    /// Reads what is only to be discarded.
    pub(crate) discarder: Rc<Discarder>,
    /// The budget for the memory that peers make the process hold.
    pub(crate) memory: Rc<MemoryBudget>,
}

impl ClientContext {
    /// The id of the request class with this name; `None` if no such class is configured.
    pub(crate) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class.name == name).map(ClassId)
    }

    /// The request class with this id.
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[id.0]
    }
}
