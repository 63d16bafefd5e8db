//! Connection slots: limits the number of clients that are served, and selects the connection to evict when a
//! new client needs a slot.
//!
//! Every open connection counts against one limit, including those that are being rejected or closed. A
//! client that is served holds a slot from its admission until its session is over. Eviction is cooperative:
//! the connection's task is asked to release the slot and refuses if bytes can be read, and the slot is free
//! only once the task has released it.
//!
//! A client with a request in flight keeps its slot. Of the other served clients, those that have made no
//! request yet are evicted first, oldest first, then those that have stopped in the middle of a command, and then
//! those that have been idle longest. Clients that have made no request share a limited part of the slots, so that a flood of connections without requests evicts
//! only connections of the same kind. The number of clients that have made requests is limited as well: where
//! each client may hold only a limited number of connections, clients that make one request and keep their
//! connections would otherwise leave none for others.

use crate::latch::Latch;
use crate::metrics::Counters;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The divisor for the share of the slots that clients without a request may occupy: a quarter.
const AWAITING_FIRST_REQUEST_DIVISOR: usize = 4;

/// The number of connections that are evicted at once when the limit on open connections is reached.
const MAX_EVICTIONS_AT_ONCE: u32 = 8;

/// The eviction priority of the connection of a client without a request in flight; the first variant is
/// evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// The client holds no slot: it is being rejected, or its session is over.
    Unserved,
    /// The client has made no request yet.
    AwaitingFirstRequest,
    /// The client has made requests, and has stopped in the middle of the next command.
    Stalled,
    /// The client is between two requests.
    Idle,
}

impl EvictionClass {
    /// All classes in the order of eviction, with their names in the status report.
    pub const NAMES: [(Self, &str); 4] = [
        (Self::Unserved, "unserved"),
        (Self::AwaitingFirstRequest, "awaiting_first_request"),
        (Self::Stalled, "stalled"),
        (Self::Idle, "idle"),
    ];

    /// The least age at which a connection may be evicted; the client of a younger connection may be about to
    /// send. The operators' clients count on an idle connection for as long as this.
    const fn min_age(self) -> Duration {
        match self {
            Self::Unserved | Self::AwaitingFirstRequest => Duration::from_millis(5),
            Self::Stalled => Duration::from_millis(100),
            Self::Idle => Duration::from_secs(2),
        }
    }
}

/// The sort key of evictable connections: by class, then by age, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    class: EvictionClass,
    since: Instant,
    slot_number: u64,
}

/// The eviction request to the task of a connection.
#[derive(Debug, Default)]
struct EvictionRequest {
    requested: Latch,
    /// Set once the task has released the slot or refused to.
    answered: Latch,
}

/// The decision whether a client that has connected is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The client holds a slot.
    Admitted,
    /// The client receives only an error: all slots are in use by other clients, and none could be freed.
    Rejected,
}

/// The limits on the number of client connections.
#[derive(Clone, Copy, Debug)]
pub struct SlotLimits {
    /// The number of clients that may be served at a time.
    pub clients: usize,
    /// The number of further connections that may be open at a time while they are rejected or closed.
    pub rejected: usize,
    /// The limit on clients that have made a request; once it is reached, a stalled or idle one is evicted for
    /// each new client, if there is any.
    pub established: usize,
}

/// The slots of all client connections.
#[derive(Debug)]
pub struct ConnectionSlots {
    limits: SlotLimits,
    counters: Rc<Counters>,
    max_awaiting_first_request: usize,
    /// The number of open connections.
    open: Cell<usize>,
    /// The number of open connections whose clients hold a slot.
    served: Cell<usize>,
    last_number: Cell<u64>,
    freed: Event,
    /// The connections that can be evicted and have no eviction request yet.
    evictable: RefCell<BTreeMap<EvictionKey, Rc<EvictionRequest>>>,
    /// The number of evictable connections whose clients have not made their first request.
    awaiting_first_request: Cell<usize>,
    /// The creation time of the slots; no connection is older.
    created_at: Instant,
}

impl ConnectionSlots {
    /// Creates free slots with these limits.
    #[must_use]
    pub fn new(limits: SlotLimits, counters: Rc<Counters>) -> Self {
        Self {
            limits,
            counters,
            max_awaiting_first_request: (limits.clients / AWAITING_FIRST_REQUEST_DIVISOR).max(1),
            open: Cell::new(0),
            served: Cell::new(0),
            last_number: Cell::new(0),
            freed: Event::new(),
            evictable: RefCell::default(),
            awaiting_first_request: Cell::new(0),
            created_at: Instant::now(),
        }
    }

    /// The number of open connections, served or not.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// The number of clients that are served.
    #[must_use]
    pub fn served_clients(&self) -> usize {
        self.served.get()
    }

    /// Whether a connection has to be closed before another one may be opened.
    #[must_use]
    pub fn is_open_limit_reached(&self) -> bool {
        self.open.get() >= self.limits.clients + self.limits.rejected
    }

    /// Waits until another connection may be opened; evicts connections that are not served if necessary.
    /// Must be called only when a client is waiting to be accepted.
    pub async fn wait_for_open_capacity(&self) {
        while self.is_open_limit_reached() {
            // More than one, since each eviction takes a turn of the connection's task.
            for _ in 0..MAX_EVICTIONS_AT_ONCE {
                self.request_eviction(EvictionClass::Unserved..=EvictionClass::Unserved);
            }
            self.wait_for_change().await;
        }
    }

    /// Registers an open connection whose client is not served yet.
    #[must_use]
    pub fn open(self: &Rc<Self>) -> Slot {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.open.set(self.open.get() + 1);
        Slot { slots: self.clone(), number, is_served: Cell::new(false) }
    }

    fn is_full(&self) -> bool {
        self.served.get() >= self.limits.clients
    }

    fn is_awaiting_first_request_full(&self) -> bool {
        self.awaiting_first_request.get() >= self.max_awaiting_first_request
    }

    /// The number of slots held by clients that have made a request, including those with a request in
    /// flight.
    fn established(&self) -> usize {
        self.served.get().saturating_sub(self.awaiting_first_request.get())
    }

    /// Waits until a connection is closed, a slot is freed, or another connection may have become old enough
    /// for eviction.
    async fn wait_for_change(&self) {
        let freed = self.freed.listen();
        or(freed, async {
            let _ = Timer::after(EvictionClass::AwaitingFirstRequest.min_age()).await;
        })
        .await;
    }

    /// Requests the eviction of one connection of these classes and waits for the answer. The connection's
    /// task may refuse because its client has sent something. Returns false if no connection can be evicted.
    pub async fn evict_one(&self, classes: RangeInclusive<EvictionClass>) -> bool {
        let Some(request) = self.request_eviction(classes) else { return false };
        request.answered.wait().await;
        true
    }

    /// Requests the eviction of one connection of these classes; `None` if no connection can be evicted.
    fn request_eviction(&self, classes: RangeInclusive<EvictionClass>) -> Option<Rc<EvictionRequest>> {
        let all = EvictionClass::NAMES.into_iter().map(|(class, _)| class);
        let classes = all.filter(|class| classes.contains(class));
        let is_old_enough = |key: &EvictionKey| key.since.elapsed() >= key.class.min_age();
        let oldest = classes.filter_map(|class| self.oldest(class)).find(is_old_enough);
        let request = oldest.and_then(|key| self.remove_evictable(key))?;
        request.requested.set();
        Some(request)
    }

    /// The oldest evictable connection of this class.
    fn oldest(&self, class: EvictionClass) -> Option<EvictionKey> {
        let evictable = self.evictable.borrow();
        let (key, _) = evictable.range(self.first_key(class)..).next()?;
        (key.class == class).then_some(*key)
    }

    /// A key that sorts before the keys of all connections of this class.
    fn first_key(&self, class: EvictionClass) -> EvictionKey {
        EvictionKey { class, since: self.created_at, slot_number: 0 }
    }

    fn insert_evictable(&self, key: EvictionKey, request: Rc<EvictionRequest>) {
        self.evictable.borrow_mut().insert(key, request);
        if key.class == EvictionClass::AwaitingFirstRequest {
            self.awaiting_first_request.set(self.awaiting_first_request.get() + 1);
        }
    }

    fn remove_evictable(&self, key: EvictionKey) -> Option<Rc<EvictionRequest>> {
        let request = self.evictable.borrow_mut().remove(&key);
        if request.is_some() && key.class == EvictionClass::AwaitingFirstRequest {
            self.awaiting_first_request.set(self.awaiting_first_request.get() - 1);
        }
        request
    }
}

/// The registration of one open connection, which includes a slot while the client is served. Must be dropped
/// after the connection.
#[derive(Debug)]
pub struct Slot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    is_served: Cell<bool>,
}

impl Slot {
    /// The slot's number, which is never reused.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Admits the client if a slot is free or can be freed by evicting another client.
    pub async fn admit(&self) -> Admission {
        let slots = &self.slots;
        if slots.established() >= slots.limits.established {
            slots.evict_one(EvictionClass::Stalled..=EvictionClass::Idle).await;
        }
        loop {
            if self.try_admit() == Admission::Admitted {
                return Admission::Admitted;
            }
            let last_class =
                if slots.is_full() { EvictionClass::Idle } else { EvictionClass::AwaitingFirstRequest };
            if slots.evict_one(EvictionClass::AwaitingFirstRequest..=last_class).await {
                continue;
            }
            if !slots.is_awaiting_first_request_full() {
                return Admission::Rejected;
            }
            // A connection that is too young for eviction may belong to a client that is about to send.
            slots.wait_for_change().await;
        }
    }

    /// Admits the client if a slot is free, without evicting another client.
    pub fn try_admit(&self) -> Admission {
        if self.slots.is_full() || self.slots.is_awaiting_first_request_full() {
            return Admission::Rejected;
        }
        self.is_served.set(true);
        self.slots.served.set(self.slots.served.get() + 1);
        Admission::Admitted
    }

    /// Releases the slot of a client whose session is over. The connection counts as open until `self` is
    /// dropped.
    pub fn release(&self) {
        if self.is_served.replace(false) {
            self.slots.served.set(self.slots.served.get() - 1);
            self.slots.freed.notify(1);
        }
    }

    /// Runs `work` while the connection can be evicted; `None` if the connection was evicted before `work`
    /// completed, which releases the slot. Completed work takes precedence: a client whose request can be
    /// read is not evicted.
    pub async fn while_evictable<T>(
        &self,
        class: EvictionClass,
        since: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let class = if self.is_served.get() { class } else { EvictionClass::Unserved };
        let evictable = Evictable::new(&self.slots, EvictionKey { class, since, slot_number: self.number });
        // `work` is polled first, so that bytes from the client are read before an eviction.
        let work = async { Some(work.await) };
        let evicted = async {
            evictable.request.requested.wait().await;
            None
        };
        let result = or(work, evicted).await;
        if result.is_none() {
            self.slots.counters.record_eviction(class);
            self.release();
        }
        result
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release();
        self.slots.open.set(self.slots.open.get() - 1);
        self.slots.freed.notify(1);
    }
}

/// Keeps a connection evictable until the guard is dropped, and then answers the request to evict the
/// connection.
struct Evictable<'a> {
    slots: &'a ConnectionSlots,
    key: EvictionKey,
    request: Rc<EvictionRequest>,
}

impl<'a> Evictable<'a> {
    fn new(slots: &'a ConnectionSlots, key: EvictionKey) -> Self {
        let request = Rc::new(EvictionRequest::default());
        slots.insert_evictable(key, request.clone());
        Self { slots, key, request }
    }
}

impl Drop for Evictable<'_> {
    fn drop(&mut self) {
        self.slots.remove_evictable(self.key);
        self.request.answered.set();
    }
}
