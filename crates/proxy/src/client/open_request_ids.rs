//! The ids of the requests in flight. Two requests with the same id are never in flight at the same time.

use std::cell::RefCell;
use std::collections::HashSet;

/// The ids that clients gave the requests in flight.
#[derive(Debug, Default)]
pub(crate) struct OpenRequestIds {
    ids: RefCell<HashSet<Box<str>>>,
}

impl OpenRequestIds {
    /// Reserves an id until the returned guard is dropped; `None` if a request with this id is in flight.
    pub(crate) fn reserve(&self, id: &str) -> Option<OpenRequestId<'_>> {
        let id: Box<str> = id.into();
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenRequestId { open: self, id })
    }
}

/// The reserved id of a request in flight; dropping it releases the id.
#[derive(Debug)]
pub(crate) struct OpenRequestId<'a> {
    open: &'a OpenRequestIds,
    id: Box<str>,
}

impl OpenRequestId<'_> {
    /// The reserved id as text.
    pub(crate) fn as_str(&self) -> &str {
        &self.id
    }
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open.ids.borrow_mut().remove(&self.id);
    }
}
