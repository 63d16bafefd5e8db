//! The sessions of clients, by the keys with which these can cancel what they ask.

use crate::protocol::BackendKeyData;
use event_listener::Event as Bell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// The sessions that are open, by their keys.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    /// Makes secrets that nobody can guess.
    secrets: RandomState,
    open: RefCell<HashMap<BackendKeyData, Rc<Bell>>>,
}

impl Sessions {
    /// Opens the session of this number; it is told of by the bell.
    pub(crate) fn enter(&self, number: u64) -> Session<'_> {
        let [.., process] = halves(number);
        let [secret, ..] = halves(self.secrets.hash_one(number));
        let id = BackendKeyData { process_id: process, secret_key: secret };
        let cancelled = Rc::new(Bell::new());
        self.open.borrow_mut().insert(id, cancelled.clone());
        Session { sessions: self, id, cancelled }
    }

    /// Cancels what a session asks at the moment, if it asks anything.
    pub(crate) fn cancel(&self, id: BackendKeyData) {
        if let Some(bell) = self.open.borrow().get(&id) {
            bell.notify(usize::MAX);
        }
    }
}

/// The upper and the lower half of a number.
fn halves(number: u64) -> [u32; 2] {
    let [a, b, c, d, e, f, g, h] = number.to_be_bytes();
    [u32::from_be_bytes([a, b, c, d]), u32::from_be_bytes([e, f, g, h])]
}

/// A client's session; it can be cancelled until it is dropped.
pub(crate) struct Session<'a> {
    sessions: &'a Sessions,
    pub(crate) id: BackendKeyData,
    pub(crate) cancelled: Rc<Bell>,
}

impl Drop for Session<'_> {
    fn drop(&mut self) {
        self.sessions.open.borrow_mut().remove(&self.id);
    }
}
