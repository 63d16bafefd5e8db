//! Connection slots: which clients are admitted, and which client connection is evicted for a new one.

use futures_lite::future::{block_on, or, poll_once};
use pooler_proxy::client::connection_slots::{Admission, ConnectionSlots, EvictionClass, Slot, SlotLimits};
use std::cell::Cell;
use std::future::{pending, ready};
use std::ops::RangeInclusive;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than the least age for eviction of any class.
const EVICTABLE_AGE: Duration = Duration::from_millis(2_050);

const LIMITS: SlotLimits = SlotLimits { clients: 8, rejected: 1, established: 8 };

const ALL_CLASSES: RangeInclusive<EvictionClass> = EvictionClass::Unserved..=EvictionClass::Idle;

fn slots_with_limits(limits: SlotLimits) -> Rc<ConnectionSlots> {
    Rc::new(ConnectionSlots::new(limits, Rc::default()))
}

/// Opens and admits a client.
fn admitted_client(slots: &Rc<ConnectionSlots>) -> Slot {
    let slot = slots.open();
    assert_eq!(slot.try_admit(), Admission::Admitted);
    slot
}

/// Keeps the slot's connection evictable until it is evicted.
async fn wait_until_evicted(slot: &Slot, class: EvictionClass, since: Instant) {
    assert_eq!(slot.while_evictable(class, since, pending::<()>()).await, None);
}

/// Polls the wait once, which makes the connection evictable; true if the connection was evicted.
fn is_evicted(waiting: Pin<&mut impl Future<Output = ()>>) -> bool {
    block_on(poll_once(waiting)).is_some()
}

/// Evicts one connection; true if it was the connection of `waiting`.
fn is_evicted_next(slots: &ConnectionSlots, waiting: Pin<&mut impl Future<Output = ()>>) -> bool {
    let mut eviction = pin!(slots.evict_one(ALL_CLASSES));
    assert_eq!(
        block_on(poll_once(eviction.as_mut())),
        None,
        "the eviction is requested and not answered yet"
    );
    is_evicted(waiting) && block_on(poll_once(eviction)) == Some(true)
}

/// Runs `work` to completion while the connection of `waiting` can be evicted.
fn run_while_evictable<T>(waiting: Pin<&mut impl Future<Output = ()>>, work: impl Future<Output = T>) -> T {
    let evicted = async {
        waiting.await;
        pending().await
    };
    block_on(or(work, evicted))
}

#[test]
fn connections_are_evicted_by_class_and_then_by_age() {
    let slots = slots_with_limits(LIMITS);
    let (a, b, c, d) =
        (admitted_client(&slots), admitted_client(&slots), admitted_client(&slots), slots.open());
    let since = Instant::now();
    let later = since + Duration::from_millis(1);
    let mut idle = pin!(wait_until_evicted(&a, EvictionClass::Idle, since));
    let mut younger = pin!(wait_until_evicted(&b, EvictionClass::AwaitingFirstRequest, later));
    let mut older = pin!(wait_until_evicted(&c, EvictionClass::AwaitingFirstRequest, since));
    let mut unserved = pin!(wait_until_evicted(&d, EvictionClass::Idle, later));
    assert!(!is_evicted(idle.as_mut()) && !is_evicted(younger.as_mut()));
    assert!(!is_evicted(older.as_mut()) && !is_evicted(unserved.as_mut()));
    sleep(EVICTABLE_AGE);

    assert!(is_evicted_next(&slots, unserved.as_mut()));
    assert_eq!(slots.served_clients(), 3, "the evicted connection held no slot");
    assert!(is_evicted_next(&slots, older.as_mut()));
    assert!(is_evicted_next(&slots, younger.as_mut()));
    assert!(is_evicted_next(&slots, idle.as_mut()));
    assert!(!block_on(slots.evict_one(ALL_CLASSES)), "no evictable connection is left");
    assert_eq!(slots.served_clients(), 0, "the slots of evicted connections are free");
    assert_eq!(slots.open_connections(), 4, "evicted connections count as open until they are dropped");
}

#[test]
fn a_young_connection_and_one_with_a_request_in_flight_are_not_evicted() {
    let slots = slots_with_limits(LIMITS);
    let (busy, young) = (admitted_client(&slots), admitted_client(&slots));
    // A start in the future keeps the connection too young, however long the test takes.
    let since = Instant::now() + Duration::from_secs(3_600);
    let mut waiting = pin!(wait_until_evicted(&young, EvictionClass::Idle, since));
    assert!(!is_evicted(waiting.as_mut()));
    assert!(!block_on(slots.evict_one(ALL_CLASSES)));
    assert_eq!(slots.served_clients(), 2);
    drop(busy);
    assert_eq!((slots.served_clients(), slots.open_connections()), (1, 1));
}

#[test]
fn a_connection_with_a_readable_request_refuses_eviction_and_keeps_its_slot() {
    let slots = slots_with_limits(SlotLimits { clients: 1, rejected: 1, established: 8 });
    let (idle, new_client) = (admitted_client(&slots), slots.open());
    let has_request = Cell::new(false);
    let request = std::future::poll_fn(|_| match has_request.get() {
        true => std::task::Poll::Ready("request"),
        false => std::task::Poll::Pending,
    });
    let mut reading = Box::pin(idle.while_evictable(EvictionClass::Idle, Instant::now(), request));
    assert_eq!(block_on(poll_once(reading.as_mut())), None);
    sleep(EVICTABLE_AGE);
    let mut admission = pin!(new_client.admit());
    assert_eq!(
        block_on(poll_once(admission.as_mut())),
        None,
        "the slot is not reassigned before the eviction request is answered"
    );
    // The request arrives after the connection was selected for eviction and before its task is notified.
    has_request.set(true);
    assert_eq!(block_on(poll_once(reading.as_mut())), Some(Some("request")));
    assert_eq!(block_on(admission), Admission::Rejected);
    assert_eq!(slots.served_clients(), 1);
    drop(reading);
    drop(idle);
    assert_eq!(new_client.try_admit(), Admission::Admitted);
}

#[test]
fn a_client_is_rejected_while_all_others_have_requests_in_flight() {
    let slots = slots_with_limits(SlotLimits { clients: 2, rejected: 1, established: 8 });
    let (_one, two, rejected) = (admitted_client(&slots), admitted_client(&slots), slots.open());
    assert_eq!(block_on(rejected.admit()), Admission::Rejected);
    assert!(slots.is_open_limit_reached());
    let open_capacity = || block_on(poll_once(slots.wait_for_open_capacity()));
    assert_eq!(open_capacity(), None, "the number of rejected connections is limited too");
    drop(rejected);
    assert_eq!(open_capacity(), Some(()));
    drop(two);
    assert_eq!(block_on(slots.open().admit()), Admission::Admitted);
}

#[test]
fn closing_a_rejected_connection_frees_no_slot_for_a_new_client() {
    let slots = slots_with_limits(SlotLimits { clients: 1, rejected: 2, established: 8 });
    let (_busy, rejected, new_client) = (admitted_client(&slots), slots.open(), slots.open());
    assert_eq!(block_on(rejected.admit()), Admission::Rejected);
    let mut closing = Box::pin(wait_until_evicted(&rejected, EvictionClass::Unserved, Instant::now()));
    assert!(!is_evicted(closing.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(run_while_evictable(closing.as_mut(), new_client.admit()), Admission::Rejected);
    assert_eq!(slots.served_clients(), 1);
    // The eviction of the rejected connection allows one more connection to be opened and rejected.
    assert!(slots.is_open_limit_reached());
    let mut open_capacity = pin!(slots.wait_for_open_capacity());
    assert_eq!(block_on(poll_once(open_capacity.as_mut())), None);
    assert!(is_evicted(closing.as_mut()));
    assert_eq!(
        block_on(poll_once(open_capacity.as_mut())),
        None,
        "no connection may be opened before the evicted one is closed"
    );
    drop(closing);
    drop(rejected);
    assert_eq!(block_on(poll_once(open_capacity)), Some(()));
}

#[test]
fn clients_before_their_first_request_evict_only_each_other() {
    // Clients before their first request may occupy a quarter of the slots, here one.
    let slots = slots_with_limits(SlotLimits { clients: 4, rejected: 1, established: 8 });
    let (established, awaiting, new_client) =
        (admitted_client(&slots), admitted_client(&slots), slots.open());
    let since = Instant::now();
    let mut idle = pin!(wait_until_evicted(&established, EvictionClass::Idle, since));
    let mut first = pin!(wait_until_evicted(&awaiting, EvictionClass::AwaitingFirstRequest, since));
    assert!(!is_evicted(idle.as_mut()) && !is_evicted(first.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(run_while_evictable(first.as_mut(), new_client.admit()), Admission::Admitted);
    assert_eq!(slots.served_clients(), 2, "the established client and the new client");
    assert!(!is_evicted(idle.as_mut()));
}

#[test]
fn an_idle_client_is_evicted_at_the_limit_of_established_clients() {
    let slots = slots_with_limits(SlotLimits { clients: 8, rejected: 1, established: 1 });
    let (slot, new_client) = (admitted_client(&slots), slots.open());
    let mut idle = pin!(wait_until_evicted(&slot, EvictionClass::Idle, Instant::now()));
    assert!(!is_evicted(idle.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(run_while_evictable(idle.as_mut(), new_client.admit()), Admission::Admitted);
    assert_eq!(slots.served_clients(), 1, "the new client");
}

#[test]
fn a_client_that_has_stopped_in_a_command_is_evicted_before_an_idle_one() {
    // Guards against idle clients that lose their connections to clients that have stopped.
    let slots = slots_with_limits(LIMITS);
    let (idle_slot, stalled_slot) = (admitted_client(&slots), admitted_client(&slots));
    let since = Instant::now();
    let mut idle = pin!(wait_until_evicted(&idle_slot, EvictionClass::Idle, since));
    let later = since + Duration::from_millis(1);
    let mut stalled = pin!(wait_until_evicted(&stalled_slot, EvictionClass::Stalled, later));
    assert!(!is_evicted(idle.as_mut()) && !is_evicted(stalled.as_mut()));
    sleep(EVICTABLE_AGE);
    assert!(is_evicted_next(&slots, stalled.as_mut()));
    assert!(is_evicted_next(&slots, idle.as_mut()));
}

#[test]
fn a_client_that_was_just_idle_is_not_evicted_at_any_limit() {
    // Guards against connections that are closed between two requests of a client that makes several in a second.
    let slots = slots_with_limits(SlotLimits { clients: 2, rejected: 2, established: 1 });
    let (one, two, new_client) = (admitted_client(&slots), admitted_client(&slots), slots.open());
    let since = Instant::now();
    let mut first = pin!(wait_until_evicted(&one, EvictionClass::Idle, since));
    let mut second = pin!(wait_until_evicted(&two, EvictionClass::Idle, since));
    assert!(!is_evicted(first.as_mut()) && !is_evicted(second.as_mut()));
    sleep(Duration::from_millis(200));
    let admission = block_on(poll_once(pin!(new_client.admit())));
    assert_eq!(admission, Some(Admission::Rejected), "nobody is asked to go");
    assert!(!is_evicted(first.as_mut()) && !is_evicted(second.as_mut()));
}

#[test]
fn completed_work_is_not_evicted() {
    let slots = slots_with_limits(LIMITS);
    let slot = admitted_client(&slots);
    let done = block_on(slot.while_evictable(EvictionClass::Idle, Instant::now(), ready("done")));
    assert_eq!((done, slots.served_clients()), (Some("done"), 1));
    assert!(!block_on(slots.evict_one(ALL_CLASSES)), "the connection is no longer evictable");
}
