//! Cancelling requests: each session has a key that a CancelRequest on another connection can name.

use crate::protocol::BackendKeyData;
use event_listener::{Event, EventListener};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// The keys of all open sessions.
#[derive(Debug, Default)]
pub(crate) struct CancellationKeys {
    /// Generates secrets that cannot be guessed.
    secrets: RandomState,
    sessions: RefCell<HashMap<BackendKeyData, Rc<Event>>>,
}

impl CancellationKeys {
    /// Registers the session with this number until the guard is dropped.
    pub(crate) fn register(&self, session_number: u64) -> CancellableSession<'_> {
        let (_, process_id) = split_halves(session_number);
        let (secret_key, _) = split_halves(self.secrets.hash_one(session_number));
        let key = BackendKeyData { process_id, secret_key };
        let cancelled = Rc::new(Event::new());
        self.sessions.borrow_mut().insert(key, cancelled.clone());
        CancellableSession { keys: self, key, cancelled }
    }

    /// Cancels the request that the session with this key has in flight, if there is one.
    pub(crate) fn cancel(&self, key: BackendKeyData) {
        if let Some(cancelled) = self.sessions.borrow().get(&key) {
            cancelled.notify(usize::MAX);
        }
    }
}

/// The upper and the lower half of a number.
fn split_halves(number: u64) -> (u32, u32) {
    ((number >> u32::BITS) as u32, number as u32)
}

/// A session that can be cancelled by its key until this is dropped.
pub(crate) struct CancellableSession<'a> {
    keys: &'a CancellationKeys,
    key: BackendKeyData,
    cancelled: Rc<Event>,
}

impl CancellableSession<'_> {
    /// The session's key.
    pub(crate) fn key(&self) -> BackendKeyData {
        self.key
    }

    /// Completes at the next cancellation; earlier ones have no effect on it.
    pub(crate) fn next_cancellation(&self) -> EventListener {
        self.cancelled.listen()
    }
}

impl Drop for CancellableSession<'_> {
    fn drop(&mut self) {
        self.keys.sessions.borrow_mut().remove(&self.key);
    }
}
