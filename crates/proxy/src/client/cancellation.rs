//! Cancellation of requests: each session has a key by which a CancelRequest on another connection names the
//! session.

use crate::protocol::BackendKeyData;
use event_listener::{Event, EventListener};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// The cancellation keys of all open sessions.
#[derive(Debug, Default)]
pub(crate) struct CancellationKeys {
    /// The randomly keyed hasher from which secret keys are derived, so that they can't be guessed.
    secrets: RandomState,
    sessions: RefCell<HashMap<BackendKeyData, Rc<Event>>>,
}

impl CancellationKeys {
    /// Registers the session with this number until the returned guard is dropped.
    pub(crate) fn register(&self, session_number: u64) -> CancellableSession<'_> {
        let (_, process_id) = split_halves(session_number);
        let (secret_key, _) = split_halves(self.secrets.hash_one(session_number));
        let key = BackendKeyData { process_id, secret_key };
        let cancelled = Rc::new(Event::new());
        self.sessions.borrow_mut().insert(key, cancelled.clone());
        CancellableSession { keys: self, key, cancelled }
    }

    /// Cancels the request in flight of the session with this key; without such a session or request it has
    /// no effect.
    pub(crate) fn cancel(&self, key: BackendKeyData) {
        if let Some(cancelled) = self.sessions.borrow().get(&key) {
            cancelled.notify(usize::MAX);
        }
    }
}

/// Splits a number into its upper and its lower half.
fn split_halves(number: u64) -> (u32, u32) {
    ((number >> u32::BITS) as u32, number as u32)
}

/// The registration of a session whose requests can be cancelled by its key; dropping the guard removes the
/// key.
pub(crate) struct CancellableSession<'a> {
    keys: &'a CancellationKeys,
    key: BackendKeyData,
    cancelled: Rc<Event>,
}

impl CancellableSession<'_> {
    /// The session's cancellation key.
    pub(crate) fn key(&self) -> BackendKeyData {
        self.key
    }

    /// Returns a listener that completes at the next cancellation; earlier cancellations have no effect on
    /// the listener.
    pub(crate) fn next_cancellation(&self) -> EventListener {
        self.cancelled.listen()
    }
}

impl Drop for CancellableSession<'_> {
    fn drop(&mut self) {
        self.keys.sessions.borrow_mut().remove(&self.key);
    }
}
