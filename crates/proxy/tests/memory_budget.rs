//! The memory budget: what each use may take, and from whom memory is reclaimed.

use async_io::Timer;
use futures_lite::future::{block_on, or, yield_now, zip};
use pooler_proxy::memory_budget::{
    MAX_UNCOUNTED_SIZE, MemoryBudget, MemoryLimits, MemoryUse, Reservation, Stall,
};
use pooler_proxy::metrics::Counters;
use std::rc::Rc;
use std::time::Duration;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// Longer than a peer may be without progress before its memory can be reclaimed.
const STALLED: Duration = Duration::from_millis(600);

fn budget(limit: usize) -> Rc<MemoryBudget> {
    Rc::new(MemoryBudget::new(limit, Rc::new(Counters::default())))
}

fn reservation(budget: &Rc<MemoryBudget>, memory_use: MemoryUse, size: usize) -> Reservation {
    let mut reservation = Reservation::new(budget.clone());
    assert!(reservation.try_resize(memory_use, size), "{size} bytes must fit");
    reservation
}

#[test]
fn the_less_important_uses_are_denied_first() {
    let budget = budget(80 * KIB);
    let uses = [MemoryUse::CommandAhead, MemoryUse::Command, MemoryUse::Response, MemoryUse::EndpointList];
    let mut held = Vec::new();
    for memory_use in uses {
        while let mut next = Reservation::new(budget.clone())
            && next.try_resize(memory_use, 5 * KIB)
        {
            held.push(next);
        }
        // Whatever is denied to one use may be denied to the less important ones as well.
        assert!(!Reservation::new(budget.clone()).try_resize(MemoryUse::CommandAhead, 5 * KIB));
    }
    assert_eq!(budget.used(), 80 * KIB);
    assert_eq!(held.len(), 16);
    drop(held);
    assert_eq!(budget.used(), 0, "dropped reservations are released");
}

#[test]
fn small_allocations_are_not_counted_and_never_denied() {
    let budget = budget(8 * KIB);
    let _all = reservation(&budget, MemoryUse::EndpointList, 8 * KIB);
    let mut small = Reservation::new(budget.clone());
    assert!(small.try_resize(MemoryUse::CommandAhead, MAX_UNCOUNTED_SIZE));
    assert!(!small.try_resize(MemoryUse::CommandAhead, MAX_UNCOUNTED_SIZE + 1));
    assert_eq!(budget.used(), 8 * KIB);
}

#[test]
fn memory_is_reclaimed_from_incomplete_commands_before_unread_responses() {
    // Guards against usual clients that are turned away while clients that have stopped keep their memory.
    let budget = budget(80 * KIB);
    let stalled = |stall, size| {
        let budget = budget.clone();
        async move {
            let held = reservation(&budget, MemoryUse::Command, size);
            let reclaimed = budget.while_reclaimable(stall, held.size(), std::future::pending::<()>()).await;
            drop(held);
            reclaimed.is_none()
        }
    };
    let work = async {
        Timer::after(STALLED).await;
        let mut wanted = Reservation::new(budget.clone());
        assert!(wanted.resize(MemoryUse::Response, 40 * KIB).await, "the incomplete command must give way");
        assert_eq!(budget.used(), 70 * KIB, "no more than is needed may be reclaimed");
    };
    let incomplete = stalled(Stall::IncompleteCommand, 30 * KIB);
    let unread = async {
        assert!(!stalled(Stall::UnreadResponse, 30 * KIB).await, "an unread response must not be reclaimed");
    };
    let reclaimed = async {
        zip(work, async { assert!(incomplete.await) }).await;
    };
    block_on(or(reclaimed, unread));
}

#[test]
fn an_endpoint_list_takes_memory_from_commands_whose_clients_go_on_sending() {
    // Guards against lists that are not applied while clients hold the memory and send a byte now and then.
    for stall in [Stall::IncompleteCommand, Stall::AwaitingMemory] {
        let budget = budget(80 * KIB);
        let sending = async {
            let held = reservation(&budget, MemoryUse::Command, 60 * KIB);
            // Whenever the client's task runs, another byte has come.
            while budget.while_reclaimable(stall, held.size(), yield_now()).await.is_some() {}
        };
        let listing = async {
            Timer::after(Duration::from_millis(10)).await;
            let mut wanted = Reservation::new(budget.clone());
            assert!(wanted.resize(MemoryUse::EndpointList, 40 * KIB).await, "{stall:?}");
        };
        block_on(zip(sending, listing));
    }
}

#[test]
fn memory_that_a_more_important_use_waits_for_is_left_to_it() {
    // Guards against freed memory that goes to whoever asks first, while a list waits for more of it.
    let budget = budget(80 * KIB);
    let (first, second) = (
        reservation(&budget, MemoryUse::Command, 30 * KIB),
        reservation(&budget, MemoryUse::Command, 20 * KIB),
    );
    let listing = async {
        let mut wanted = Reservation::new(budget.clone());
        assert!(wanted.resize(MemoryUse::EndpointList, 60 * KIB).await);
    };
    let others = async {
        Timer::after(Duration::from_millis(10)).await;
        drop(first);
        let mut command = Reservation::new(budget.clone());
        assert!(!command.try_resize(MemoryUse::Command, 5 * KIB), "the list waits for the memory");
        drop(second);
        Timer::after(Duration::from_millis(10)).await;
    };
    block_on(zip(listing, others));
    assert!(Reservation::new(budget).try_resize(MemoryUse::Command, 60 * KIB), "nobody waits any more");
}

#[test]
fn a_response_waits_until_the_memory_of_unread_ones_can_be_reclaimed() {
    // Guards against responses to requests that have run, given up for the sake of responses that nobody reads.
    let budget = budget(80 * KIB);
    let unread = async {
        let held = reservation(&budget, MemoryUse::Response, 60 * KIB);
        let reading = std::future::pending::<()>();
        assert!(budget.while_reclaimable(Stall::UnreadResponse, held.size(), reading).await.is_none());
    };
    let response = async {
        let mut wanted = Reservation::new(budget.clone());
        assert!(wanted.resize(MemoryUse::Response, 40 * KIB).await);
    };
    let both = async {
        zip(unread, response).await;
        true
    };
    let expired = async {
        Timer::after(Duration::from_secs(2)).await;
        false
    };
    assert!(block_on(or(both, expired)));
}

#[test]
fn without_a_stalled_peer_a_reservation_is_denied_in_time() {
    let budget = budget(80 * KIB);
    let busy = reservation(&budget, MemoryUse::Command, 60 * KIB);
    let mut wanted = Reservation::new(budget.clone());
    let started = std::time::Instant::now();
    assert!(!block_on(wanted.resize(MemoryUse::Command, 40 * KIB)));
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    drop(busy);
    assert!(block_on(wanted.resize(MemoryUse::Command, 40 * KIB)));
}

#[test]
fn the_limit_covers_the_connections_and_the_budget() {
    for (limit, descriptors) in [(32 * MIB, 1_024), (48 * MIB, 384), (192 * MIB, 1_024), (8 * MIB, 1_024)] {
        let limits = MemoryLimits::new(limit, descriptors);
        assert!(limits.descriptors <= descriptors);
        assert!(limits.counted >= limit / 4, "{limit}: {limits:?}");
        assert!(limits.counted + limits.descriptors * MAX_UNCOUNTED_SIZE <= limit, "{limit}: {limits:?}");
    }
    assert_eq!(MemoryLimits::new(48 * MIB, 384).descriptors, 384);
}
