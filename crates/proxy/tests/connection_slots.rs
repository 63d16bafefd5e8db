//! Which client connection is evicted to make room for a new one.

use futures_lite::future::{block_on, poll_once};
use pooler_proxy::client::connection_slots::{Admission, ConnectionSlots, EvictionClass, Slot, SlotLimits};
use std::future::pending;
use std::pin::{Pin, pin};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Older than a connection of any class has to be before it is evicted.
const EVICTABLE_AGE: Duration = Duration::from_millis(30);

const LIMITS: SlotLimits = SlotLimits { clients: 8, rejected: 1, established: 8 };

/// Waits until the slot's connection is evicted.
async fn wait_evictable(slot: &Slot<'_>, class: EvictionClass, since: Instant) {
    assert_eq!(slot.while_evictable(class, since, pending::<()>()).await, None);
}

/// Polls the wait once, from which on the connection is evictable; true if it was evicted.
fn is_evicted(waiting: Pin<&mut impl Future<Output = ()>>) -> bool {
    block_on(poll_once(waiting)).is_some()
}

#[test]
fn connections_are_evicted_by_class_and_then_by_age() {
    let slots = ConnectionSlots::new(LIMITS);
    let (a, b, c, d) = (slots.occupy(), slots.occupy(), slots.occupy(), slots.occupy());
    let since = Instant::now();
    let later = since + Duration::from_millis(1);
    let mut idle = pin!(wait_evictable(&a, EvictionClass::Idle, since));
    let mut younger = pin!(wait_evictable(&b, EvictionClass::AwaitingFirstRequest, later));
    let mut older = pin!(wait_evictable(&c, EvictionClass::AwaitingFirstRequest, since));
    let mut closing = pin!(wait_evictable(&d, EvictionClass::Closing, later));
    assert!(!is_evicted(idle.as_mut()) && !is_evicted(younger.as_mut()));
    assert!(!is_evicted(older.as_mut()) && !is_evicted(closing.as_mut()));
    sleep(EVICTABLE_AGE);

    let all = EvictionClass::Closing..=EvictionClass::Idle;
    assert!(slots.evict_one(all.clone()) && is_evicted(closing.as_mut()));
    assert!(slots.evict_one(all.clone()) && is_evicted(older.as_mut()));
    assert!(slots.evict_one(all.clone()) && is_evicted(younger.as_mut()));
    assert!(!is_evicted(idle.as_mut()));
    assert!(slots.evict_one(all.clone()) && is_evicted(idle.as_mut()));
    assert!(!slots.evict_one(all), "none is left");
    assert_eq!(slots.in_use(), 0, "the slots of evicted connections count as free");
}

#[test]
fn a_young_connection_and_one_with_a_request_in_flight_are_not_evicted() {
    let slots = ConnectionSlots::new(LIMITS);
    let (busy, young) = (slots.occupy(), slots.occupy());
    // However long the test takes, it is too young.
    let since = Instant::now() + Duration::from_secs(3_600);
    let mut waiting = pin!(wait_evictable(&young, EvictionClass::Idle, since));
    assert!(!is_evicted(waiting.as_mut()));
    assert!(!slots.evict_one(EvictionClass::Closing..=EvictionClass::Idle));
    assert_eq!(slots.in_use(), 2);
    drop(busy);
    assert_eq!(slots.in_use(), 1);
}

#[test]
fn a_slot_counts_as_in_use_again_if_the_work_completes_first() {
    let slots = ConnectionSlots::new(LIMITS);
    let slot = slots.occupy();
    let since = Instant::now();
    let evicts_itself = async {
        sleep(EVICTABLE_AGE);
        assert!(slots.evict_one(EvictionClass::Idle..=EvictionClass::Idle));
        assert_eq!(slots.in_use(), 0);
        "done"
    };
    let done = block_on(slot.while_evictable(EvictionClass::Idle, since, evicts_itself));
    assert_eq!((done, slots.in_use()), (Some("done"), 1));
}

#[test]
fn a_client_is_rejected_where_all_others_have_requests_in_flight() {
    let limits = SlotLimits { clients: 2, rejected: 1, established: 8 };
    let slots = ConnectionSlots::new(limits);
    let _one = slots.occupy();
    assert_eq!(block_on(slots.wait_for_room()), Admission::Admitted);
    let two = slots.occupy();
    assert_eq!(block_on(slots.wait_for_room()), Admission::Rejected);
    let rejected = slots.occupy();
    assert_eq!(block_on(poll_once(slots.wait_for_room())), None, "even those to reject have a limit");
    drop(rejected);
    drop(two);
    assert_eq!(block_on(slots.wait_for_room()), Admission::Admitted);
}

#[test]
fn clients_before_their_first_request_evict_only_their_own() {
    // A quarter of the slots are for clients before their first request.
    let slots = ConnectionSlots::new(SlotLimits { clients: 4, rejected: 1, established: 8 });
    let (established, new) = (slots.occupy(), slots.occupy());
    let since = Instant::now();
    let mut idle = pin!(wait_evictable(&established, EvictionClass::Idle, since));
    let mut first = pin!(wait_evictable(&new, EvictionClass::AwaitingFirstRequest, since));
    assert!(!is_evicted(idle.as_mut()) && !is_evicted(first.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(block_on(slots.wait_for_room()), Admission::Admitted);
    assert!(is_evicted(first.as_mut()));
    assert!(!is_evicted(idle.as_mut()));
}

#[test]
fn an_idle_client_is_evicted_beyond_the_limit_of_established_ones() {
    let slots = ConnectionSlots::new(SlotLimits { clients: 8, rejected: 1, established: 1 });
    let slot = slots.occupy();
    let mut idle = pin!(wait_evictable(&slot, EvictionClass::Idle, Instant::now()));
    assert!(!is_evicted(idle.as_mut()));
    sleep(EVICTABLE_AGE);
    assert_eq!(block_on(slots.wait_for_room()), Admission::Admitted);
    assert!(is_evicted(idle.as_mut()));
}
