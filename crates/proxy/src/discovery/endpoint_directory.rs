//! The directory of all endpoints, merged from all sources, and the way in for what these sources report.

use crate::router_handle::RouterHandle;
use pooler_routing::membership::{Membership, MergeResult, SelfPreservation, SourceId, WatchEvent};
use pooler_routing::{EndpointId, EndpointUpdate, Event, TimeDelta, Timestamp};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The platform's discovery, which is watched.
pub const PLATFORM: SourceId = SourceId(0);
/// A service registry.
pub const REGISTRY: SourceId = SourceId(1);

/// For how long a removed endpoint is remembered. It bounds what is held of endpoints that came and went; a claim that
/// is staler than this would count as new.
const REMOVED_RETENTION: TimeDelta = TimeDelta::from_millis(15 * 60 * 1_000);
/// Beyond so many removed endpoints the earliest are forgotten sooner.
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
    /// Where an endpoint listens.
    #[must_use]
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.0.borrow().get(endpoint).and_then(|resolved| resolved.address)
    }
}

/// The way in for what a source reports: the directory holds it before the router hears of it, so that nothing is sent
/// to an endpoint that has just begun to drain.
#[derive(Clone)]
pub struct EndpointUpdates {
    directory: Rc<EndpointDirectory>,
    router: Rc<RouterHandle>,
}

impl EndpointUpdates {
    /// The way into this directory and this router.
    #[must_use]
    pub fn new(directory: Rc<EndpointDirectory>, router: Rc<RouterHandle>) -> Self {
        Self { directory, router }
    }

    /// Sets when a source's snapshots are not believed.
    pub fn set_self_preservation(&self, source: SourceId, self_preservation: SelfPreservation) {
        self.directory.0.borrow_mut().set_self_preservation(source, self_preservation);
    }

    /// The time on the clock that sources and router share: Unix time in microseconds.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.router.now()
    }

    /// Merges a source's event into the directory, and passes what it changes on to the router at once.
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
