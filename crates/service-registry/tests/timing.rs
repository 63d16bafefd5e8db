//! The schedules of polls and of lease renewals, driven by timestamps that the tests supply.

use pooler_routing::{TimeDelta, Timestamp};
use pooler_service_registry::eureka::instance::InstanceStatus;
use pooler_service_registry::eureka::lease::{LeaseOutcome, LeaseRequest, RegistrationLease};
use pooler_service_registry::eureka::poll_schedule::{
    FetchKind, Poll, PollFailure, PollSchedule, PollSettings,
};

const START: Timestamp = Timestamp(1_767_225_600_000_000);

fn at(ms: i64) -> Timestamp {
    START + TimeDelta::from_millis(ms)
}

fn new_schedule(servers: usize) -> PollSchedule {
    let settings = PollSettings {
        interval: TimeDelta::from_millis(1_000),
        max_backoff: TimeDelta::from_millis(8_000),
        use_deltas: true,
    };
    PollSchedule::new(servers, settings, 7, START)
}

/// The delay from `since` until the next poll, in ms.
fn delay_ms(schedule: &PollSchedule, since: Timestamp) -> i64 {
    (schedule.next_poll_at() - since).0 / 1_000
}

fn status_failure(status: u16, retry_after: Option<TimeDelta>) -> PollFailure {
    PollFailure::Status { status, retry_after }
}

#[test]
fn deltas_follow_the_first_snapshot_and_repeated_mismatches_delay_further_snapshots() {
    let mut schedule = new_schedule(1);
    assert_eq!(
        (schedule.next_poll_at(), schedule.next_poll(START)),
        (START, Poll { server: 0, fetch: FetchKind::Snapshot })
    );
    schedule.record_success(START, FetchKind::Snapshot, true);
    assert!((900..=1_100).contains(&delay_ms(&schedule, START)));
    assert_eq!(schedule.next_poll(at(1_100)), Poll { server: 0, fetch: FetchKind::Delta });
    // The first inconsistent delta makes a snapshot due at once, later ones after increasing delays.
    schedule.record_success(at(1_100), FetchKind::Delta, false);
    assert_eq!(
        (schedule.next_poll_at(), schedule.next_poll(at(1_100)).fetch),
        (at(1_100), FetchKind::Snapshot)
    );
    schedule.record_success(at(1_100), FetchKind::Snapshot, false);
    let mut now = at(2_300);
    let mut snapshots = 0;
    for _ in 0..64 {
        let fetch = schedule.next_poll(now).fetch;
        snapshots += u32::from(fetch == FetchKind::Snapshot);
        schedule.record_success(now, fetch, false);
        now = schedule.next_poll_at().max(now);
    }
    assert!(
        (2..=12).contains(&snapshots),
        "{snapshots} snapshots in 64 polls of a registry whose hash code never matches"
    );
}

#[test]
fn a_failure_switches_servers_and_a_failed_round_backs_off() {
    let mut schedule = new_schedule(3);
    let mut now = START;
    let mut delays = Vec::new();
    for attempt in 0..15 {
        let Poll { server, fetch } = schedule.next_poll(now);
        assert_eq!((server, fetch), (attempt % 3, FetchKind::Snapshot));
        schedule.record_failure(now, fetch, PollFailure::UnusableResponse);
        delays.push(delay_ms(&schedule, now));
        now = schedule.next_poll_at();
    }
    for (attempt, delay) in delays.iter().enumerate() {
        let round = attempt as u32 / 3;
        let backoff = if attempt % 3 == 2 { (500 << round).min(8_000) } else { 20 };
        assert!(
            (backoff * 3 / 4 - 1..=backoff * 5 / 4 + 1).contains(delay),
            "attempt {attempt}: delay of {delay} ms for a backoff of {backoff} ms"
        );
    }
    schedule.record_success(now, FetchKind::Snapshot, true);
    assert!(delay_ms(&schedule, now) <= 1_100, "the first success resets the backoff");
}

#[test]
fn retry_after_is_respected_up_to_a_limit() {
    let mut schedule = new_schedule(2);
    schedule.record_failure(
        START,
        FetchKind::Snapshot,
        status_failure(429, Some(TimeDelta::from_millis(60_000))),
    );
    assert_eq!(schedule.next_poll(at(20)).server, 1);
    schedule.record_failure(at(20), FetchKind::Snapshot, PollFailure::UnusableResponse);
    assert_eq!(
        schedule.next_poll(at(2_000)).server,
        1,
        "the first server is not polled before its Retry-After has passed"
    );
    let mut single = new_schedule(1);
    single.record_failure(
        START,
        FetchKind::Snapshot,
        status_failure(503, Some(TimeDelta::from_millis(86_400_000))),
    );
    assert_eq!(delay_ms(&single, START), 300_000, "a Retry-After of a day is limited to five minutes");
    single.record_failure(START, FetchKind::Snapshot, status_failure(503, Some(TimeDelta(-5))));
    assert!(delay_ms(&single, START) <= 1_300, "a negative Retry-After counts as zero");
}

#[test]
fn a_server_without_deltas_is_polled_for_snapshots_and_does_not_count_as_failed() {
    let mut schedule = new_schedule(2);
    schedule.record_success(START, FetchKind::Snapshot, true);
    schedule.record_failure(at(1_000), FetchKind::Delta, status_failure(404, None));
    assert_eq!(
        (schedule.consecutive_failures(), schedule.next_poll(at(1_000))),
        (0, Poll { server: 0, fetch: FetchKind::Snapshot })
    );
    schedule.record_success(at(1_000), FetchKind::Snapshot, true);
    assert_eq!(schedule.next_poll(at(3_000)), Poll { server: 0, fetch: FetchKind::Snapshot });
}

#[test]
fn a_lease_is_registered_renewed_lost_retried_and_cancelled() {
    let mut lease = RegistrationLease::new(TimeDelta::from_millis(30_000), START);
    let first = lease.last_dirty_ms();
    assert_eq!(lease.due_request(START), Some(LeaseRequest::Register(InstanceStatus::Starting)));
    lease.record_outcome(START, LeaseRequest::Register(InstanceStatus::Starting), LeaseOutcome::Accepted);
    lease.set_status(at(100), Some(InstanceStatus::Up));
    assert_eq!(lease.due_request(at(100)), Some(LeaseRequest::Register(InstanceStatus::Up)));
    assert!(lease.last_dirty_ms() > first, "a status change advances lastDirtyTimestamp");
    lease.record_outcome(at(100), LeaseRequest::Register(InstanceStatus::Up), LeaseOutcome::Accepted);
    assert_eq!(
        (lease.due_request(at(30_099)), lease.due_request(at(30_100))),
        (None, Some(LeaseRequest::Renew(InstanceStatus::Up)))
    );
    // A registry that has lost the registration gets a new one with a later `lastDirtyTimestamp`.
    let before = lease.last_dirty_ms();
    lease.record_outcome(at(30_100), LeaseRequest::Renew(InstanceStatus::Up), LeaseOutcome::NotRegistered);
    assert_eq!(lease.due_request(at(30_100)), Some(LeaseRequest::Register(InstanceStatus::Up)));
    assert!(lease.last_dirty_ms() > before);
    // Retries of failed requests back off, but a drain is announced at once.
    let mut now = at(30_100);
    for delay in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        lease.record_outcome(now, LeaseRequest::Register(InstanceStatus::Up), LeaseOutcome::Failed);
        assert_eq!(lease.next_request_at(), Some(now + TimeDelta::from_millis(delay)));
        now = now + TimeDelta::from_millis(delay);
    }
    lease.set_status(now, Some(InstanceStatus::OutOfService));
    assert_eq!(lease.due_request(now), Some(LeaseRequest::Register(InstanceStatus::OutOfService)));
    lease.record_outcome(now, LeaseRequest::Register(InstanceStatus::OutOfService), LeaseOutcome::Accepted);
    lease.set_status(now, None);
    assert_eq!(lease.due_request(now), Some(LeaseRequest::Cancel));
    lease.record_outcome(now, LeaseRequest::Cancel, LeaseOutcome::NotRegistered);
    assert_eq!((lease.due_request(now), lease.next_request_at()), (None, None), "no further request is due");
}

#[test]
fn a_lease_that_was_never_registered_needs_no_cancellation() {
    let mut lease = RegistrationLease::new(TimeDelta::from_millis(30_000), START);
    lease.set_status(START, None);
    assert_eq!((lease.due_request(START), lease.next_request_at()), (None, None));
    // `lastDirtyTimestamp` advances with each change even if the clock does not.
    let mut lease = RegistrationLease::new(TimeDelta::from_millis(30_000), START);
    let before = lease.last_dirty_ms();
    lease.set_status(START, Some(InstanceStatus::Up));
    assert!(lease.last_dirty_ms() > before);
}
