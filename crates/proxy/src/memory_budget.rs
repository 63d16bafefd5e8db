//! The memory that peers can make the process hold: messages that are being read, commands sent ahead, requests
//! in flight, responses and endpoint lists. One budget covers all of them, whatever the mix of connections.
//!
//! Small buffers are covered by an allowance per connection and are not counted. What a use may take depends on
//! how much all uses together hold: the less a use matters, the earlier it is denied more, so that no amount of
//! incomplete commands keeps a response from being read. Before a use is denied, memory is reclaimed from the
//! peers that have made no progress for the longest time.

use crate::latch::Latch;
use crate::metrics::Counters;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The largest allocation that is not counted, in bytes.
pub const MAX_UNCOUNTED_SIZE: usize = 4 * 1024;
/// The memory that each descriptor may need besides what is counted, in bytes: the task of a connection and its
/// uncounted buffers.
const ALLOWANCE_PER_DESCRIPTOR: usize = 16 * 1024;
/// The share of the memory limit that the allowances of all descriptors may take.
const MAX_ALLOWANCE_DIVISOR: usize = 2;
/// The share of the rest that may be counted; the other part is for the known endpoints, for state that has limits
/// of its own, and for the allocator's fragmentation.
const BUDGET_DIVISOR: usize = 2;
/// The share of the memory limit that the known endpoints may take.
const ENDPOINTS_DIVISOR: usize = 7;
/// The interval at which a waiting task looks for peers that have stalled meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
const BYTES_PER_KIB: usize = 1024;

/// What counted memory is used for, by increasing importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// Commands that a client sends while its request is in flight.
    CommandAhead,
    /// A command that a client has sent in part.
    Command,
    /// A server's message.
    Response,
    /// A list of endpoints.
    EndpointList,
}

impl MemoryUse {
    /// All uses by increasing importance, with their names in the status report.
    const NAMES: [(Self, &str); 4] = [
        (Self::CommandAhead, "command_ahead"),
        (Self::Command, "command"),
        (Self::Response, "response"),
        (Self::EndpointList, "endpoint_list"),
    ];

    /// The eighths of the budget that all uses together may hold after a reservation for this use.
    const fn limit_eighths(self) -> usize {
        match self {
            Self::CommandAhead => 4,
            Self::Command => 6,
            Self::Response => 7,
            Self::EndpointList => 8,
        }
    }

    /// The longest wait for memory to be reclaimed. A response and a list may wait until a peer that does not read
    /// counts as stalled: a response is of a request that has run.
    const fn max_wait(self) -> Duration {
        match self {
            Self::CommandAhead | Self::Command => Duration::from_millis(250),
            Self::Response | Self::EndpointList => Duration::from_millis(750),
        }
    }
}

/// Why the memory of a peer can be reclaimed; the first variant is reclaimed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stall {
    /// The peer has sent a part of a command.
    IncompleteCommand,
    /// The peer has sent a part of a command, and there is no memory yet for the rest.
    AwaitingMemory,
    /// The peer does not read its response.
    UnreadResponse,
}

impl Stall {
    const ALL: [Self; 3] = [Self::IncompleteCommand, Self::AwaitingMemory, Self::UnreadResponse];

    /// The time without progress after which a peer's memory is reclaimed if it is wanted for this use; `None` if
    /// it never is. A command that has not run gives way to a list even while its client goes on sending.
    const fn min_age(self, wanted_for: MemoryUse) -> Option<Duration> {
        match (self, wanted_for) {
            (Self::IncompleteCommand | Self::AwaitingMemory, MemoryUse::EndpointList) => Some(Duration::ZERO),
            (Self::IncompleteCommand, _) => Some(Duration::from_millis(20)),
            (Self::AwaitingMemory, MemoryUse::Response) => Some(Duration::from_millis(20)),
            (Self::AwaitingMemory, MemoryUse::Command | MemoryUse::CommandAhead) => None,
            (Self::UnreadResponse, _) => Some(Duration::from_millis(500)),
        }
    }
}

/// The division of the process's memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The number of file descriptors that the memory suffices for.
    pub descriptors: usize,
    /// The budget for counted memory, in bytes.
    pub counted: usize,
    /// The memory that the known endpoints may take up, in bytes.
    pub endpoints: usize,
}

impl MemoryLimits {
    /// Divides a limit in bytes for a process that may open at most `descriptors` file descriptors.
    #[must_use]
    pub fn new(limit: usize, descriptors: usize) -> Self {
        let descriptors = descriptors.min(limit / MAX_ALLOWANCE_DIVISOR / ALLOWANCE_PER_DESCRIPTOR);
        let rest = limit - descriptors * ALLOWANCE_PER_DESCRIPTOR;
        Self { descriptors, counted: rest / BUDGET_DIVISOR, endpoints: limit / ENDPOINTS_DIVISOR }
    }
}

/// The sort key of the peers whose memory can be reclaimed: by the kind of stall, then by the time of the last
/// progress, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderKey {
    stall: Stall,
    since: Instant,
    number: u64,
}

/// The memory that a stalled peer holds, and the request to release it.
#[derive(Debug)]
struct Holder {
    size: usize,
    released: Rc<Latch>,
}

/// What one use holds and waits for, in bytes.
#[derive(Debug, Default)]
struct UseStatistics {
    held: Cell<usize>,
    peak: Cell<usize>,
    /// The bytes that tasks wait for.
    wanted: Cell<usize>,
    denials: Cell<u64>,
}

/// The budget of counted memory.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    counters: Rc<Counters>,
    used: Cell<usize>,
    /// The part of `used` whose release has been requested.
    releasing: Cell<usize>,
    uses: [UseStatistics; MemoryUse::NAMES.len()],
    freed: Event,
    holders: RefCell<BTreeMap<HolderKey, Holder>>,
    last_holder: Cell<u64>,
    created_at: Instant,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, none of which is used.
    #[must_use]
    pub fn new(limit: usize, counters: Rc<Counters>) -> Self {
        Self {
            limit,
            counters,
            used: Cell::new(0),
            releasing: Cell::new(0),
            uses: Default::default(),
            freed: Event::new(),
            holders: RefCell::default(),
            last_holder: Cell::new(0),
            created_at: Instant::now(),
        }
    }

    /// The number of bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }

    fn limit_of(&self, memory_use: MemoryUse) -> usize {
        self.limit / 8 * memory_use.limit_eighths()
    }

    /// Whether `size` more bytes may be reserved for this use, and leave as much as is waited for by more
    /// important uses.
    fn has_room(&self, memory_use: MemoryUse, size: usize) -> bool {
        let used = self.used.get().saturating_add(size);
        let leaves_wanted = |other: &MemoryUse| {
            let wanted = self.statistics(*other).wanted.get();
            wanted == 0 || used + wanted <= self.limit_of(*other)
        };
        let mut more_important =
            MemoryUse::NAMES.iter().map(|(other, _)| other).filter(|other| **other > memory_use);
        used <= self.limit_of(memory_use) && more_important.all(leaves_wanted)
    }

    fn statistics(&self, memory_use: MemoryUse) -> &UseStatistics {
        &self.uses[memory_use as usize]
    }

    /// Replaces the bytes that a reservation holds by others.
    fn replace(&self, old: ReservedSize, new: ReservedSize) {
        let used = self.used.get() - old.bytes + new.bytes;
        self.used.set(used);
        self.counters.peak_counted_memory_kib.raise_to((used / BYTES_PER_KIB) as u64);
        if let Some(memory_use) = old.memory_use {
            let held = &self.statistics(memory_use).held;
            held.set(held.get() - old.bytes);
        }
        if let Some(memory_use) = new.memory_use {
            let UseStatistics { held, peak, .. } = self.statistics(memory_use);
            held.set(held.get() + new.bytes);
            peak.set(peak.get().max(held.get()));
        }
        if new.bytes < old.bytes {
            self.freed.notify(usize::MAX);
        }
    }

    fn record_denial(&self, memory_use: MemoryUse) {
        self.counters.memory_denials.increment();
        let denials = &self.statistics(memory_use).denials;
        denials.set(denials.get() + 1);
        tracing::debug!("no memory for a use as {memory_use:?}: {self}");
    }

    /// Waits until `size` more bytes may be reserved for this use, and reclaims memory from stalled peers for
    /// them. Returns false if there is none to reclaim in time.
    async fn wait_for_room(&self, memory_use: MemoryUse, size: usize) -> bool {
        let give_up_at = Instant::now() + memory_use.max_wait();
        let _wanted = Wanted::new(&self.statistics(memory_use).wanted, size);
        while !self.has_room(memory_use, size) {
            if Instant::now() >= give_up_at || size > self.limit_of(memory_use) {
                self.record_denial(memory_use);
                return false;
            }
            let freed = self.freed.listen();
            self.request_release(memory_use, size);
            or(freed, async {
                Timer::after(RETRY_INTERVAL).await;
            })
            .await;
        }
        true
    }

    /// Requests stalled peers to release their memory until `size` more bytes will fit.
    fn request_release(&self, memory_use: MemoryUse, size: usize) {
        let needed = (self.used.get() + size).saturating_sub(self.limit_of(memory_use));
        while self.releasing.get() < needed {
            let Some(holder) = self.take_most_stalled(memory_use) else { return };
            self.counters.memory_reclaims.increment();
            self.releasing.set(self.releasing.get() + holder.size);
            holder.released.set();
        }
    }

    /// Removes the peer that has stalled the longest, by kind of stall, if its memory is wanted for this use.
    fn take_most_stalled(&self, wanted_for: MemoryUse) -> Option<Holder> {
        let mut holders = self.holders.borrow_mut();
        let oldest = |stall: Stall| {
            let first = HolderKey { stall, since: self.created_at, number: 0 };
            let (key, _) = holders.range(first..).next()?;
            let min_age = stall.min_age(wanted_for)?;
            (key.stall == stall && key.since.elapsed() >= min_age).then_some(*key)
        };
        let key = Stall::ALL.into_iter().find_map(oldest)?;
        holders.remove(&key)
    }

    /// Runs `work`, which waits for a peer that holds `size` bytes of counted memory, and during which that
    /// memory can be reclaimed. Returns `None` if it is reclaimed; the caller has to release it at once.
    pub async fn while_reclaimable<T>(
        &self,
        stall: Stall,
        size: usize,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        if size == 0 {
            return Some(work.await);
        }
        let registration = HolderRegistration::new(self, stall, size);
        let reclaimed = async {
            registration.released.wait().await;
            None
        };
        let work = async { Some(work.await) };
        match stall {
            // Reading more of a command releases nothing, and a client that goes on sending would keep the memory.
            Stall::IncompleteCommand | Stall::AwaitingMemory => or(reclaimed, work).await,
            Stall::UnreadResponse => or(work, reclaimed).await,
        }
    }
}

/// Counts the bytes that a task waits for until it is dropped.
struct Wanted<'a> {
    wanted: &'a Cell<usize>,
    size: usize,
}

impl<'a> Wanted<'a> {
    fn new(wanted: &'a Cell<usize>, size: usize) -> Self {
        wanted.set(wanted.get() + size);
        Self { wanted, size }
    }
}

impl Drop for Wanted<'_> {
    fn drop(&mut self) {
        self.wanted.set(self.wanted.get() - self.size);
    }
}

impl fmt::Display for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counted_kib={} of_kib={}", self.used.get() / BYTES_PER_KIB, self.limit / BYTES_PER_KIB)?;
        for ((_, name), UseStatistics { held, peak, denials, .. }) in MemoryUse::NAMES.iter().zip(&self.uses)
        {
            let (held, peak) = (held.get() / BYTES_PER_KIB, peak.get() / BYTES_PER_KIB);
            write!(f, " {name}_kib={held} {name}_peak_kib={peak} {name}_denials={}", denials.get())?;
        }
        Ok(())
    }
}

/// Keeps the memory of a peer reclaimable until it is dropped.
struct HolderRegistration<'a> {
    budget: &'a MemoryBudget,
    key: HolderKey,
    size: usize,
    released: Rc<Latch>,
}

impl<'a> HolderRegistration<'a> {
    fn new(budget: &'a MemoryBudget, stall: Stall, size: usize) -> Self {
        let number = budget.last_holder.get() + 1;
        budget.last_holder.set(number);
        let key = HolderKey { stall, since: Instant::now(), number };
        let released = Rc::new(Latch::default());
        budget.holders.borrow_mut().insert(key, Holder { size, released: released.clone() });
        Self { budget, key, size, released }
    }
}

impl Drop for HolderRegistration<'_> {
    fn drop(&mut self) {
        if self.budget.holders.borrow_mut().remove(&self.key).is_none() {
            self.budget.releasing.set(self.budget.releasing.get() - self.size);
        }
    }
}

/// Bytes that are reserved in a budget; dropping the reservation releases them.
#[derive(Debug, Default)]
pub struct Reservation {
    /// `None` if the bytes are not counted at all.
    budget: Option<Rc<MemoryBudget>>,
    reserved: ReservedSize,
}

/// The bytes of a reservation, and what they are used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReservedSize {
    bytes: usize,
    /// The use that the bytes were last reserved for; `None` if there was none.
    memory_use: Option<MemoryUse>,
}

impl Reservation {
    /// A reservation of no bytes in this budget.
    #[must_use]
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        Self { budget: Some(budget), reserved: ReservedSize::default() }
    }

    /// Another reservation in the same budget, of no bytes.
    #[must_use]
    pub fn sibling(&self) -> Self {
        Self { budget: self.budget.clone(), reserved: ReservedSize { bytes: 0, ..self.reserved } }
    }

    /// The number of reserved bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.reserved.bytes
    }

    /// Changes the reservation to the counted size of an allocation. Returns false, without a change, if the
    /// budget has no room for that.
    pub fn try_resize(&mut self, memory_use: MemoryUse, allocation: usize) -> bool {
        let size = counted_size(allocation);
        let has_room = |budget: &Rc<MemoryBudget>| budget.has_room(memory_use, size - self.size());
        if size > self.size() && !self.budget.as_ref().is_none_or(has_room) {
            return false;
        }
        self.set(ReservedSize { bytes: size, memory_use: Some(memory_use) });
        true
    }

    /// Like [`try_resize`](Self::try_resize), but waits for memory to be reclaimed from stalled peers.
    pub async fn resize(&mut self, memory_use: MemoryUse, allocation: usize) -> bool {
        while !self.try_resize(memory_use, allocation) {
            let additional = counted_size(allocation) - self.size();
            let Some(budget) = &self.budget else { return true };
            if !budget.wait_for_room(memory_use, additional).await {
                return false;
            }
        }
        true
    }

    /// Changes the reservation to the size of an allocation that exists already, even beyond the budget.
    pub fn record(&mut self, allocation: usize) {
        self.set(ReservedSize { bytes: counted_size(allocation), ..self.reserved });
    }

    fn set(&mut self, reserved: ReservedSize) {
        let replaced = std::mem::replace(&mut self.reserved, reserved);
        if let Some(budget) = self.budget.as_ref().filter(|_| replaced != reserved) {
            budget.replace(replaced, reserved);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.record(0);
    }
}

/// The part of an allocation that is counted: all of it, unless it is small.
const fn counted_size(allocation: usize) -> usize {
    if allocation <= MAX_UNCOUNTED_SIZE { 0 } else { allocation }
}
