//! Which client connection is evicted to make room for a new one, and who holds a slot.

use futures_lite::future::{block_on, or, poll_once};
use pooler_proxy::client::connection_slots::{Admission, ConnectionSlots, EvictionClass, Slot, SlotLimits};
use std::cell::Cell;
use std::future::{pending, ready};
use std::ops::RangeInclusive;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Older than a connection of any class has to be before it is evicted.
const EVICTABLE_AGE: Duration = Duration::from_millis(30);

const LIMITS: SlotLimits = SlotLimits { clients: 8, rejected: 1, established: 8 };

const ALL_CLASSES: RangeInclusive<EvictionClass> = EvictionClass::Unserved..=EvictionClass::Idle;

fn slots_within(limits: SlotLimits) -> Rc<ConnectionSlots> {
    Rc::new(ConnectionSlots::new(limits, Rc::default()))
}

/// A client that is served.
fn served(slots: &Rc<ConnectionSlots>) -> Slot {
    let slot = slots.open();
    assert_eq!(slot.try_admit(), Admission::Admitted);
    slot
}

/// Waits until the slot's connection is evicted.
async fn wait_evictable(slot: &Slot, class: EvictionClass, since: Instant) {
    assert_eq!(slot.while_evictable(class, since, pending::<()>()).await, None);
}

/// Polls the wait once, from which on the connection is evictable; true if it was evicted.
fn is_evicted(waiting: Pin<&mut impl Future<Output = ()>>) -> bool {
    block_on(poll_once(waiting)).is_some()
}

/// Whether this connection, and no other, is evicted as the next one.
fn is_next(slots: &ConnectionSlots, waiting: Pin<&mut impl Future<Output = ()>>) -> bool {
    let mut eviction = pin!(slots.evict_one(ALL_CLASSES));
    assert_eq!(block_on(poll_once(eviction.as_mut())), None, "it is asked, and has not answered yet");
    is_evicted(waiting) && block_on(poll_once(eviction)) == Some(true)
}

/// The result of `work`, during which the connection is there to be evicted.
fn beside<T>(waiting: Pin<&mut impl Future<Output = ()>>, work: impl Future<Output = T>) -> T {
    let evicted = async {
        waiting.await;
        pending().await
    };
    block_on(or(work, evicted))
}

#[test]
fn connections_are_evicted_by_class_and_then_by_age() {
    let slots = slots_within(LIMITS);
    let (a, b, c, d) = (served(&slots), served(&slots), served(&slots), slots.open());
    let since = Instant::now();
    let later = since + Duration::from_millis(1);
    let mut idle = pin!(wait_evictable(&a, EvictionClass::Idle, since));
    let mut younger = pin!(wait_evictable(&b, EvictionClass::AwaitingFirstRequest, later));
    let mut older = pin!(wait_evictable(&c, EvictionClass::AwaitingFirstRequest, since));
    let mut unserved = pin!(wait_evictable(&d, EvictionClass::Idle, later));
    assert!(!is_evicted(idle.as_mut()) && !is_evicted(younger.as_mut()));
    assert!(!is_evicted(older.as_mut()) && !is_evicted(unserved.as_mut()));
    sleep(EVICTABLE_AGE);

    assert!(is_next(&slots, unserved.as_mut()));
    assert_eq!(slots.served_clients(), 3, "it held no slot");
    assert!(is_next(&slots, older.as_mut()));
    assert!(is_next(&slots, younger.as_mut()));
    assert!(is_next(&slots, idle.as_mut()));
    assert!(!block_on(slots.evict_one(ALL_CLASSES)), "none is left");
    assert_eq!(slots.served_clients(), 0, "the slots of evicted connections are free");
    assert_eq!(slots.open_connections(), 4, "their connections are open until they are dropped");
}

#[test]
fn a_young_connection_and_one_with_a_request_in_flight_are_not_evicted() {
    let slots = slots_within(LIMITS);
    let (busy, young) = (served(&slots), served(&slots));
    // However long the test takes, it is too young.
    let since = Instant::now() + Duration::from_secs(3_600);
    let mut waiting = pin!(wait_evictable(&young, EvictionClass::Idle, since));
    assert!(!is_evicted(waiting.as_mut()));
    assert!(!block_on(slots.evict_one(ALL_CLASSES)));
    assert_eq!(slots.served_clients(), 2);
    drop(busy);
    assert_eq!((slots.served_clients(), slots.open_connections()), (1, 1));
}

#[test]
fn a_connection_asked_to_go_whose_request_can_be_read_keeps_its_slot_and_no_other_gets_it() {
    let slots = slots_within(SlotLimits { clients: 1, rejected: 1, established: 8 });
    let (asked, newcomer) = (served(&slots), slots.open());
    let has_request = Cell::new(false);
    let request = std::future::poll_fn(|_| match has_request.get() {
        true => std::task::Poll::Ready("request"),
        false => std::task::Poll::Pending,
    });
    let mut reading = Box::pin(asked.while_evictable(EvictionClass::Idle, Instant::now(), request));
    assert_eq!(block_on(poll_once(reading.as_mut())), None);
    sleep(EVICTABLE_AGE);
    let mut admission = pin!(newcomer.admit());
    assert_eq!(block_on(poll_once(admission.as_mut())), None, "the slot is not given away before the answer");
    // The request arrives after the connection was chosen, and before its task knows.
    has_request.set(true);
    assert_eq!(block_on(poll_once(reading.as_mut())), Some(Some("request")));
    assert_eq!(block_on(admission), Admission::Rejected);
    assert_eq!(slots.served_clients(), 1);
    drop(reading);
    drop(asked);
    assert_eq!(newcomer.try_admit(), Admission::Admitted);
}

#[test]
fn a_client_is_rejected_where_all_others_have_requests_in_flight() {
    let slots = slots_within(SlotLimits { clients: 2, rejected: 1, established: 8 });
    let (_one, two, rejected) = (served(&slots), served(&slots), slots.open());
    assert_eq!(block_on(rejected.admit()), Admission::Rejected);
    assert!(slots.is_open_limit_reached());
    let one_more = || block_on(poll_once(slots.wait_until_one_more_may_open()));
    assert_eq!(one_more(), None, "even those to reject have a limit");
    drop(rejected);
    assert_eq!(one_more(), Some(()));
    drop(two);
    assert_eq!(block_on(slots.open().admit()), Admission::Admitted);
}

#[test]
fn the_end_of_a_rejected_connection_makes_no_room_for_a_client_to_be_served() {
    let slots = slots_within(SlotLimits { clients: 1, rejected: 2, established: 8 });
    let (_busy, rejected, newcomer) = (served(&slots), slots.open(), slots.open());
    assert_eq!(block_on(rejected.admit()), Admission::Rejected);
    let mut closing = Box::pin(wait_evictable(&rejected, EvictionClass::Unserved, Instant::now()));
    assert!(!is_evicted(closing.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(beside(closing.as_mut(), newcomer.admit()), Admission::Rejected);
    assert_eq!(slots.served_clients(), 1);
    // It makes room for one more to be rejected.
    assert!(slots.is_open_limit_reached());
    let mut one_more = pin!(slots.wait_until_one_more_may_open());
    assert_eq!(block_on(poll_once(one_more.as_mut())), None);
    assert!(is_evicted(closing.as_mut()));
    assert_eq!(block_on(poll_once(one_more.as_mut())), None, "not before it is closed");
    drop(closing);
    drop(rejected);
    assert_eq!(block_on(poll_once(one_more)), Some(()));
}

#[test]
fn clients_before_their_first_request_evict_only_their_own() {
    // A quarter of the slots are for clients before their first request.
    let slots = slots_within(SlotLimits { clients: 4, rejected: 1, established: 8 });
    let (established, new, newcomer) = (served(&slots), served(&slots), slots.open());
    let since = Instant::now();
    let mut idle = pin!(wait_evictable(&established, EvictionClass::Idle, since));
    let mut first = pin!(wait_evictable(&new, EvictionClass::AwaitingFirstRequest, since));
    assert!(!is_evicted(idle.as_mut()) && !is_evicted(first.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(beside(first.as_mut(), newcomer.admit()), Admission::Admitted);
    assert_eq!(slots.served_clients(), 2, "the established one and the newcomer");
    assert!(!is_evicted(idle.as_mut()));
}

#[test]
fn an_idle_client_is_evicted_beyond_the_limit_of_established_ones() {
    let slots = slots_within(SlotLimits { clients: 8, rejected: 1, established: 1 });
    let (slot, newcomer) = (served(&slots), slots.open());
    let mut idle = pin!(wait_evictable(&slot, EvictionClass::Idle, Instant::now()));
    assert!(!is_evicted(idle.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(beside(idle.as_mut(), newcomer.admit()), Admission::Admitted);
    assert_eq!(slots.served_clients(), 1, "the newcomer");
}

#[test]
fn completed_work_is_not_evicted() {
    let slots = slots_within(LIMITS);
    let slot = served(&slots);
    let done = block_on(slot.while_evictable(EvictionClass::Idle, Instant::now(), ready("done")));
    assert_eq!((done, slots.served_clients()), (Some("done"), 1));
    assert!(!block_on(slots.evict_one(ALL_CLASSES)), "it is no longer evictable");
}
