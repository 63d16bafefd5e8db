//! The directory of the endpoints that all sources report, and the entry point for the events of the sources.

use crate::router_handle::RouterHandle;
use pooler_routing::membership::{Membership, MergeResult, SelfPreservation, SourceId, WatchEvent};
use pooler_routing::{EndpointId, EndpointUpdate, Event, TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The source id of the platform's discovery.
pub const PLATFORM: SourceId = SourceId(0);
/// The source id of a service registry.
pub const REGISTRY: SourceId = SourceId(1);

/// How long a removed endpoint is remembered. An older claim for an endpoint that is no longer remembered
/// would count as new.
const REMOVED_RETENTION: TimeDelta = TimeDelta::from_millis(15 * 60 * 1_000);
/// The maximum number of removed endpoints that are remembered; beyond it, those removed first are dropped.
const MAX_REMOVED: usize = 16 * 1024;

/// The endpoints and their addresses, by id.
#[derive(Debug)]
pub struct EndpointDirectory {
    membership: RefCell<Membership>,
    /// Whether a refusal of endpoints has been logged, which happens once.
    has_logged_refusal: Cell<bool>,
}

impl EndpointDirectory {
    /// Creates an empty directory of endpoints that may take up `max_memory` bytes, here and in the router.
    #[must_use]
    pub fn new(max_memory: usize) -> Self {
        let membership = Membership::new(REMOVED_RETENTION, MAX_REMOVED).with_max_memory(max_memory);
        Self { membership: RefCell::new(membership), has_logged_refusal: Cell::new(false) }
    }

    /// The memory that the endpoints take up, here and in the router, in bytes.
    #[must_use]
    pub fn memory_used(&self) -> usize {
        self.membership.borrow().memory_used()
    }

    /// The address of an endpoint, if the endpoint and its address are known.
    #[must_use]
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.membership.borrow().get(endpoint).and_then(|resolved| resolved.address)
    }
}

/// Applies the events of the sources to the directory and, at once, to the router, so that no request is sent
/// to an endpoint that has just begun to drain.
#[derive(Clone)]
pub struct EndpointUpdates {
    directory: Rc<EndpointDirectory>,
    router: Rc<RouterHandle>,
}

impl EndpointUpdates {
    /// Creates the entry point for events that change this directory and this router.
    #[must_use]
    pub fn new(directory: Rc<EndpointDirectory>, router: Rc<RouterHandle>) -> Self {
        Self { directory, router }
    }

    /// Sets the conditions under which self-preservation treats a source's snapshots as suspect.
    pub fn set_self_preservation(&self, source: SourceId, self_preservation: SelfPreservation) {
        self.directory.membership.borrow_mut().set_self_preservation(source, self_preservation);
    }

    /// The current time on the router's clock: Unix time in microseconds.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.router.now()
    }

    /// Merges a source's event into the directory and dispatches the resulting changes to the router at once. The
    /// changed and evicted endpoints are moved to the router, and missing in the result.
    pub fn apply(&self, source: SourceId, event: WatchEvent) -> MergeResult {
        let mut result = self.directory.membership.borrow_mut().merge(self.now(), source, event);
        let (changed, evicted) = (std::mem::take(&mut result.changed), std::mem::take(&mut result.evicted));
        if !changed.is_empty() {
            self.router.dispatch(Event::EndpointUpdate(EndpointUpdate::Delta(changed)));
        }
        if !evicted.is_empty() {
            self.router.dispatch(Event::EndpointUpdate(EndpointUpdate::Evicted(evicted)));
        }
        self.record_refused(result.refused_endpoints);
        result
    }

    /// Counts endpoints for which there is no memory, and logs the first time that there are any.
    fn record_refused(&self, refused: usize) {
        self.router.counters().refused_endpoints.add(refused);
        if refused > 0 && !self.directory.has_logged_refusal.replace(true) {
            tracing::warn!("no memory for {refused} more endpoints of a list; they get no requests");
        }
    }
}
