//! The slots of client connections: how many clients are served, and which connection is evicted to make room for a
//! client that has connected.
//!
//! Every open connection counts against one limit, those that are being rejected or closed too. A client that is served
//! holds a slot from its admission to the moment at which its session is over. A connection is evicted by asking its
//! task: the task refuses if bytes can be read, and the slot is free only once the task has given it up.
//!
//! A client with a request in flight keeps its slot. Of the others, those that have made no request yet are evicted
//! first, oldest first, then those that have been idle longest. Clients that have made no request share a part of the
//! slots among themselves, so that a flood of connections without a request evicts none but its own. Clients that have
//! made requests are limited as well: where each client may hold only so many connections, those that make one request
//! and keep their connections would leave none for others.

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

/// The part of the slots that clients without a request may occupy.
const AWAITING_FIRST_REQUEST_DIVISOR: usize = 4;

/// How readily the connection of a client without a request in flight is evicted, the readiest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// The client holds no slot: it is being rejected, or its session is over.
    Unserved,
    /// The client has made no request yet.
    AwaitingFirstRequest,
    /// The client is between two requests.
    Idle,
}

impl EvictionClass {
    /// In the order of eviction.
    const ALL: [Self; 3] = [Self::Unserved, Self::AwaitingFirstRequest, Self::Idle];

    /// The age from which a connection may be evicted: the client of a younger one may be about to send.
    const fn min_age(self) -> Duration {
        match self {
            Self::Unserved | Self::AwaitingFirstRequest => Duration::from_millis(5),
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

/// The request to the task of a connection to give it up.
#[derive(Debug, Default)]
struct EvictionRequest {
    asked: Latch,
    /// The task has given up the slot or refused to.
    answered: Latch,
}

/// Whether a client that connects is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot.
    Admitted,
    /// It is only told that there is no room: all other clients are being served.
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
    counters: Rc<Counters>,
    max_awaiting_first_request: usize,
    /// The open connections.
    open: Cell<usize>,
    /// How many of them hold a slot.
    served: Cell<usize>,
    last_number: Cell<u64>,
    freed: Event,
    /// The connections that can be evicted and were not asked to yet.
    evictable: RefCell<BTreeMap<EvictionKey, Rc<EvictionRequest>>>,
    /// How many of them await their first request.
    awaiting_first_request: Cell<usize>,
    /// No connection is older than this.
    created_at: Instant,
}

impl ConnectionSlots {
    /// Free slots within these limits.
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

    /// How many connections are open, whether they are served or not.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// How many clients are served.
    #[must_use]
    pub fn served_clients(&self) -> usize {
        self.served.get()
    }

    /// Whether no further connection may be opened before another one is closed.
    #[must_use]
    pub fn is_open_limit_reached(&self) -> bool {
        self.open.get() >= self.limits.clients + self.limits.rejected
    }

    /// Waits until one more connection may be opened, evicting one that is not served if need be. For a client that has
    /// connected only.
    pub async fn wait_until_one_more_may_open(&self) {
        while self.is_open_limit_reached() {
            if !self.evict_one(EvictionClass::Unserved..=EvictionClass::Unserved).await {
                self.wait_for_change().await;
            }
        }
    }

    /// Counts one more open connection, that of a client that is not served yet.
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

    /// How many slots belong to clients that have made a request, those with one in flight included.
    fn established(&self) -> usize {
        self.served.get().saturating_sub(self.awaiting_first_request.get())
    }

    /// Waits until a connection is closed or a slot is freed, or another connection may be old enough to be evicted.
    async fn wait_for_change(&self) {
        let freed = self.freed.listen();
        or(freed, async {
            let _ = Timer::after(EvictionClass::AwaitingFirstRequest.min_age()).await;
        })
        .await;
    }

    /// Asks one connection of these classes to be evicted, and waits for its answer, which may be that it stays since
    /// its client has sent something; false if there is none to ask.
    pub async fn evict_one(&self, classes: RangeInclusive<EvictionClass>) -> bool {
        let classes = EvictionClass::ALL.into_iter().filter(|class| classes.contains(class));
        let is_old_enough = |key: &EvictionKey| key.since.elapsed() >= key.class.min_age();
        let oldest = classes.filter_map(|class| self.oldest(class)).find(is_old_enough);
        let Some(request) = oldest.and_then(|key| self.remove_evictable(key)) else { return false };
        request.asked.set();
        request.answered.wait().await;
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

/// The place of one open connection, and the slot of its client while that is served. Dropped after the connection.
#[derive(Debug)]
pub struct Slot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    is_served: Cell<bool>,
}

impl Slot {
    /// The slot's number, which is never used again.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Admits the client if there is room, evicting others if need be.
    pub async fn admit(&self) -> Admission {
        let slots = &self.slots;
        if slots.established() >= slots.limits.established {
            slots.evict_one(EvictionClass::Idle..=EvictionClass::Idle).await;
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
            // These connections are too young to be told from clients that are about to send.
            slots.wait_for_change().await;
        }
    }

    /// Admits the client if there is room without an eviction.
    pub fn try_admit(&self) -> Admission {
        if self.slots.is_full() || self.slots.is_awaiting_first_request_full() {
            return Admission::Rejected;
        }
        self.is_served.set(true);
        self.slots.served.set(self.slots.served.get() + 1);
        Admission::Admitted
    }

    /// Frees the slot of a client whose session is over; its connection stays open until this is dropped.
    pub fn end_service(&self) {
        if self.is_served.replace(false) {
            self.slots.served.set(self.slots.served.get() - 1);
            self.slots.freed.notify(1);
        }
    }

    /// Runs `work` while the connection can be evicted; `None` if it was evicted before `work` completed, which ends the
    /// client's service. Completed work takes precedence: a client whose request can be read is not evicted.
    pub async fn while_evictable<T>(
        &self,
        class: EvictionClass,
        since: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let class = if self.is_served.get() { class } else { EvictionClass::Unserved };
        let evictable = Evictable::new(&self.slots, EvictionKey { class, since, slot_number: self.number });
        // Polled first, so that what the client has sent is read before an eviction.
        let work = async { Some(work.await) };
        let evicted = async {
            evictable.request.asked.wait().await;
            None
        };
        let result = or(work, evicted).await;
        if result.is_none() {
            self.slots.counters.evicted_connections.increment();
            self.end_service();
        }
        result
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end_service();
        self.slots.open.set(self.slots.open.get() - 1);
        self.slots.freed.notify(1);
    }
}

/// Keeps a connection evictable until it is dropped, and then answers the request to evict it.
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
