//! The slots of client connections: how many there are, and which connection is evicted to make room for a new one.
//!
//! A client with a request in flight keeps its slot. Of the others, those whose connections are closing anyway are
//! evicted first, then those that have made no request yet, oldest first, then those that have been idle longest.
//! Clients that have made no request share a part of the slots among themselves, so that a flood of connections without
//! a request evicts none but its own. Clients that have made requests are limited as well: where each client may hold
//! only so many connections, those that make one request and keep their connections would leave none for others.

use crate::latch::Latch;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The part of the slots that clients without a request may occupy.
const AWAITING_FIRST_REQUEST_DIVISOR: usize = 4;

/// How readily the connection of a client without a request in flight is evicted, the readiest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// The pooler has already told the client that it closes the connection.
    Closing,
    /// The client has made no request yet.
    AwaitingFirstRequest,
    /// The client is between two requests.
    Idle,
}

impl EvictionClass {
    /// In the order of eviction.
    const ALL: [Self; 3] = [Self::Closing, Self::AwaitingFirstRequest, Self::Idle];

    /// The age from which a connection may be evicted: the client of a younger one may be about to send.
    const fn min_age(self) -> Duration {
        match self {
            Self::Closing | Self::AwaitingFirstRequest => Duration::from_millis(5),
            Self::Idle => Duration::from_millis(20),
        }
    }
}

/// Orders evictable connections by class and age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    class: EvictionClass,
    since: Instant,
    slot_number: u64,
}

/// Whether a client that connects is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has room.
    Admitted,
    /// It is accepted only to be told that there is no room: all other clients are being served.
    Rejected,
}

/// The limits on the number of client connections.
#[derive(Clone, Copy, Debug)]
pub struct SlotLimits {
    /// Clients that are served.
    pub clients: usize,
    /// Clients beyond those that are accepted only to be told that there is no room.
    pub rejected: usize,
    /// Clients that have made a request, beyond which idle ones are evicted.
    pub established: usize,
}

/// All slots.
#[derive(Debug)]
pub struct ConnectionSlots {
    limits: SlotLimits,
    max_awaiting_first_request: usize,
    in_use: Cell<usize>,
    last_number: Cell<u64>,
    freed: Event,
    /// The connections that can be evicted; the latch tells their tasks.
    evictable: RefCell<BTreeMap<EvictionKey, Rc<Latch>>>,
    /// How many of them await their first request.
    awaiting_first_request: Cell<usize>,
    /// No connection is older than this.
    created_at: Instant,
}

impl ConnectionSlots {
    /// Free slots within these limits.
    #[must_use]
    pub fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            max_awaiting_first_request: (limits.clients / AWAITING_FIRST_REQUEST_DIVISOR).max(1),
            in_use: Cell::new(0),
            last_number: Cell::new(0),
            freed: Event::new(),
            evictable: RefCell::default(),
            awaiting_first_request: Cell::new(0),
            created_at: Instant::now(),
        }
    }

    /// How many slots are in use, those of evicted connections that are still open left out.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Waits until one more client can be accepted, evicting another if need be.
    pub async fn wait_for_room(&self) -> Admission {
        loop {
            if self.established() >= self.limits.established {
                self.evict_one(EvictionClass::Idle..=EvictionClass::Idle);
            }
            let awaiting_is_full = self.awaiting_first_request.get() >= self.max_awaiting_first_request;
            let is_full = self.in_use.get() >= self.limits.clients;
            if !(awaiting_is_full || is_full) {
                return Admission::Admitted;
            }
            let last_class = if is_full { EvictionClass::Idle } else { EvictionClass::AwaitingFirstRequest };
            if self.evict_one(EvictionClass::Closing..=last_class) {
                return Admission::Admitted;
            }
            if !awaiting_is_full && self.in_use.get() < self.limits.clients + self.limits.rejected {
                return Admission::Rejected;
            }
            // These connections are too young to be told from clients that are about to send.
            let freed = self.freed.listen();
            or(freed, async {
                let _ = Timer::after(EvictionClass::AwaitingFirstRequest.min_age()).await;
            })
            .await;
        }
    }

    /// How many slots belong to clients that have made a request, those with one in flight included.
    fn established(&self) -> usize {
        let first_idle = self.first_key(EvictionClass::Idle);
        let not_established = self.evictable.borrow().range(..first_idle).count();
        self.in_use.get().saturating_sub(not_established)
    }

    /// Evicts one connection of these classes; false if none of them can be evicted.
    pub fn evict_one(&self, classes: RangeInclusive<EvictionClass>) -> bool {
        let classes = EvictionClass::ALL.into_iter().filter(|class| classes.contains(class));
        let is_old_enough = |key: &EvictionKey| key.since.elapsed() >= key.class.min_age();
        let oldest = classes.filter_map(|class| self.oldest(class)).find(is_old_enough);
        let Some(key) = oldest else { return false };
        if let Some(evicted) = self.remove_evictable(key) {
            self.in_use.set(self.in_use.get() - 1);
            evicted.set();
        }
        true
    }

    /// The connection of this class that has been evictable longest.
    fn oldest(&self, class: EvictionClass) -> Option<EvictionKey> {
        let evictable = self.evictable.borrow();
        let (key, _) = evictable.range(self.first_key(class)..).next()?;
        (key.class == class).then_some(*key)
    }

    /// A key that sorts before all connections of this class.
    fn first_key(&self, class: EvictionClass) -> EvictionKey {
        EvictionKey { class, since: self.created_at, slot_number: 0 }
    }

    fn insert_evictable(&self, key: EvictionKey, evicted: Rc<Latch>) {
        self.evictable.borrow_mut().insert(key, evicted);
        if key.class == EvictionClass::AwaitingFirstRequest {
            self.awaiting_first_request.set(self.awaiting_first_request.get() + 1);
        }
    }

    fn remove_evictable(&self, key: EvictionKey) -> Option<Rc<Latch>> {
        let evicted = self.evictable.borrow_mut().remove(&key);
        if evicted.is_some() && key.class == EvictionClass::AwaitingFirstRequest {
            self.awaiting_first_request.set(self.awaiting_first_request.get() - 1);
        }
        evicted
    }

    /// Occupies a slot for a new client, whether or not there is room.
    pub fn occupy(&self) -> Slot<'_> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.in_use.set(self.in_use.get() + 1);
        Slot { slots: self, number, evicted: Cell::new(false) }
    }
}

/// The slot of one client, freed when it is dropped.
#[derive(Debug)]
pub struct Slot<'a> {
    slots: &'a ConnectionSlots,
    number: u64,
    /// The connection was evicted: the slot no longer counts as in use.
    evicted: Cell<bool>,
}

impl Slot<'_> {
    /// The slot's number, which is never used again.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Runs `work` while the connection can be evicted; `None` if it was evicted before `work` completed. Completed work
    /// takes precedence: a client whose request can be read is not evicted.
    pub async fn while_evictable<T>(
        &self,
        class: EvictionClass,
        since: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        // An evicted client that is still here, to close in order, holds a descriptor until it is evicted again.
        self.reclaim();
        let key = EvictionKey { class, since, slot_number: self.number };
        let evicted = Rc::new(Latch::default());
        self.slots.insert_evictable(key, evicted.clone());
        let guard = EvictableGuard { slot: self, key, evicted };
        let work = or(async { Some(work.await) }, async {
            guard.evicted.wait().await;
            None
        });
        let result = work.await;
        drop(guard);
        if result.is_some() {
            self.reclaim();
        }
        result
    }

    /// Counts the slot as in use again, if its connection was evicted.
    fn reclaim(&self) {
        if self.evicted.replace(false) {
            self.slots.in_use.set(self.slots.in_use.get() + 1);
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if !self.evicted.get() {
            self.slots.in_use.set(self.slots.in_use.get() - 1);
        }
        self.slots.freed.notify(1);
    }
}

/// Keeps a connection evictable until it is dropped.
struct EvictableGuard<'a> {
    slot: &'a Slot<'a>,
    key: EvictionKey,
    evicted: Rc<Latch>,
}

impl Drop for EvictableGuard<'_> {
    fn drop(&mut self) {
        self.slot.slots.remove_evictable(self.key);
        self.slot.evicted.set(self.evicted.is_set());
    }
}
