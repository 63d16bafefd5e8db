//! The directory of the endpoints that all sources report, and the entry point for the events of the sources.

use crate::router_handle::RouterHandle;
use pooler_routing::membership::{Membership, MergeResult, SelfPreservation, SourceId, WatchEvent};
use pooler_routing::{EndpointId, EndpointUpdate, Event, TimeDelta, Timestamp};
use std::cell::RefCell;
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
pub struct EndpointDirectory(RefCell<Membership>);

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self(RefCell::new(Membership::new(REMOVED_RETENTION, MAX_REMOVED)))
    }
}

impl EndpointDirectory {
    /// The address of an endpoint, if the endpoint and its address are known.
    #[must_use]
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.0.borrow().get(endpoint).and_then(|resolved| resolved.address)
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
        self.directory.0.borrow_mut().set_self_preservation(source, self_preservation);
    }

    /// The current time on the router's clock: Unix time in microseconds.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.router.now()
    }

    /// Merges a source's event into the directory and dispatches the resulting changes to the router at once.
    pub fn apply(&self, source: SourceId, event: WatchEvent) -> MergeResult {
        let result = self.directory.0.borrow_mut().merge(self.now(), source, event);
        if !result.changed.is_empty() {
            self.router.dispatch(Event::EndpointUpdate(EndpointUpdate::Delta(result.changed.clone())));
        }
        if !result.evicted.is_empty() {
            self.router.dispatch(Event::EndpointUpdate(EndpointUpdate::Evicted(result.evicted.clone())));
        }
        result
    }
}
