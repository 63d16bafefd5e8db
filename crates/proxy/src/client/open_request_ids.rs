//! The ids of the requests in flight, and of those that must not run again. Two requests with the same id are never
//! in flight at the same time. The id of a request that may have run, and must not run twice, is reserved until
//! after the request's deadline, whether or not its client is still connected.

use crate::memory_budget::Reservation;
use pooler_routing::{TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::hash::{BuildHasher, RandomState};

/// The number of ids that may be retained. Requests whose ids would have to be retained are rejected beyond it.
const MAX_RETAINED_IDS: usize = 100_000;
/// How long after a request's deadline its id is retained: clients wait for a response for as long.
const RETENTION_AFTER_DEADLINE: TimeDelta = TimeDelta::from_millis(500);
/// The memory that one retained id takes up, in bytes.
const RETAINED_ID_SIZE: usize = 48;

/// Why an id can't be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReservationError {
    /// A request with the id is in flight, or may have run and must not run again.
    #[error("the id is in use")]
    InUse,
    /// Too many ids are retained.
    #[error("too many ids are retained")]
    TooManyRetained,
}

/// A hash that stands for an id. Two ids with the same hash would only keep each other from being used at the same
/// time.
type IdHash = u64;

/// An id that is reserved although its request is no longer in flight.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RetainedId {
    until: Timestamp,
    hash: IdHash,
}

/// The ids that clients gave the requests in flight, and the retained ids of earlier requests.
#[derive(Debug, Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<IdHash>>,
    /// The randomly keyed hasher, so that clients can't choose ids with the same hash.
    hasher: RandomState,
    /// The retained ids, the one that expires first on top.
    retained: RefCell<BinaryHeap<Reverse<RetainedId>>>,
    /// The memory of the retained ids.
    reservation: RefCell<Reservation>,
}

impl OpenRequestIds {
    /// Creates a set without ids, whose memory is counted by `reservation`.
    #[must_use]
    pub fn new(reservation: Reservation) -> Self {
        Self { reservation: RefCell::new(reservation), ..Self::default() }
    }

    /// Reserves an id until the returned guard is dropped, or longer if the guard is told to retain it.
    ///
    /// # Errors
    ///
    /// When the id is reserved already, or `may_be_retained` is set and there are too many retained ids.
    pub fn reserve(
        &self,
        id: &str,
        now: Timestamp,
        may_be_retained: bool,
    ) -> Result<OpenRequestId<'_>, ReservationError> {
        self.release_expired(now);
        if may_be_retained && self.retained.borrow().len() >= MAX_RETAINED_IDS {
            return Err(ReservationError::TooManyRetained);
        }
        let hash = self.hasher.hash_one(id);
        if !self.ids.borrow_mut().insert(hash) {
            return Err(ReservationError::InUse);
        }
        Ok(OpenRequestId { open: self, id: id.into(), hash, retained_until: Cell::new(None) })
    }

    fn release_expired(&self, now: Timestamp) {
        let mut retained = self.retained.borrow_mut();
        while let Some(Reverse(RetainedId { until, hash })) = retained.peek()
            && *until <= now
        {
            self.ids.borrow_mut().remove(hash);
            retained.pop();
        }
        self.reservation.borrow_mut().record(retained.len() * RETAINED_ID_SIZE);
    }

    fn retain(&self, hash: IdHash, until: Timestamp) {
        let mut retained = self.retained.borrow_mut();
        retained.push(Reverse(RetainedId { until, hash }));
        self.reservation.borrow_mut().record(retained.len() * RETAINED_ID_SIZE);
    }
}

/// The reserved id of a request in flight; dropping it releases the id, unless it is to be retained.
#[derive(Debug)]
pub struct OpenRequestId<'a> {
    open: &'a OpenRequestIds,
    id: Box<str>,
    hash: IdHash,
    retained_until: Cell<Option<Timestamp>>,
}

impl OpenRequestId<'_> {
    /// The reserved id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.id
    }

    /// Retains the id until after this deadline: its request may have run and must not run again.
    pub fn retain_after(&self, deadline: Timestamp) {
        self.retained_until.set(Some(deadline + RETENTION_AFTER_DEADLINE));
    }
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        match self.retained_until.get() {
            Some(until) => self.open.retain(self.hash, until),
            None => {
                self.open.ids.borrow_mut().remove(&self.hash);
            }
        }
    }
}
