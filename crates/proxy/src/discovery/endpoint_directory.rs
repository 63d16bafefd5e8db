//! The directory of all endpoints, merged from all sources, and the entry point for what the sources report.

use crate::router_handle::RouterHandle;
use pooler_routing::membership::{Membership, MergeResult, SelfPreservation, SourceId, WatchEvent};
use pooler_routing::{EndpointId, EndpointUpdate, Event, TimeDelta, Timestamp};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The platform's discovery.
pub const PLATFORM: SourceId = SourceId(0);
/// A service registry.
pub const REGISTRY: SourceId = SourceId(1);

/// How long a removed endpoint is remembered. An older claim for a forgotten endpoint would count as new.
const REMOVED_RETENTION: TimeDelta = TimeDelta::from_millis(15 * 60 * 1_000);
/// The number of removed endpoints that are remembered; beyond it the earliest are forgotten.
const MAX_REMOVED: usize = 16 * 1024;

/// The endpoints by id.
#[derive(Debug)]
pub struct EndpointDirectory(RefCell<Membership>);

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self(RefCell::new(Membership::new(REMOVED_RETENTION, MAX_REMOVED)))
    }
}

impl EndpointDirectory {
    /// The address of an endpoint, if it is known.
    #[must_use]
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.0.borrow().get(endpoint).and_then(|resolved| resolved.address)
    }
}

/// Applies what the sources report to the directory and then to the router, so that nothing is sent to an
/// endpoint that has just begun to drain.
#[derive(Clone)]
pub struct EndpointUpdates {
    directory: Rc<EndpointDirectory>,
    router: Rc<RouterHandle>,
}

impl EndpointUpdates {
    /// Applies updates to this directory and this router.
    #[must_use]
    pub fn new(directory: Rc<EndpointDirectory>, router: Rc<RouterHandle>) -> Self {
        Self { directory, router }
    }

    /// Sets the conditions under which a source's snapshots are distrusted.
    pub fn set_self_preservation(&self, source: SourceId, self_preservation: SelfPreservation) {
        self.directory.0.borrow_mut().set_self_preservation(source, self_preservation);
    }

    /// The current time on the router's clock: Unix time in microseconds.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.router.now()
    }

    /// Merges a source's event into the directory, and dispatches the changes to the router at once.
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
