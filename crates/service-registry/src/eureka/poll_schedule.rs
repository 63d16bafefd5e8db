//! Decides when to poll which registry server, and for what: for deltas while these are consistent, for a
//! snapshot otherwise. A failure moves the polls to another server; while all servers fail, polls are delayed
//! by an exponential backoff. Performs no I/O and reads no clock.

use pooler_routing::{TimeDelta, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// The delay after a failure while not all servers have failed in the current round.
const NEXT_SERVER_DELAY: TimeDelta = TimeDelta::from_millis(20);
/// The backoff after the first round in which all servers failed. It doubles with each further failed round.
const INITIAL_BACKOFF: TimeDelta = TimeDelta::from_millis(500);
/// The maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// The maximum delay that is accepted from a `Retry-After` header.
const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(300_000);
/// While snapshots don't make deltas consistent, the next snapshot is delayed by at most two to the power of
/// this many poll intervals.
const MAX_SNAPSHOT_DOUBLINGS: u32 = 5;
/// The jitter of the poll interval, as a fraction of the interval.
const INTERVAL_JITTER: f64 = 0.1;
/// The jitter of the delay after a failure, as a fraction of the delay.
const BACKOFF_JITTER: f64 = 0.25;

/// The kind of data that a poll fetches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchKind {
    /// All instances that the registry holds.
    Snapshot,
    /// The recent changes of instances.
    Delta,
}

/// A poll of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The index of the server.
    pub server: usize,
    /// The kind of data to fetch.
    pub fetch: FetchKind,
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// There was no response, or its body can't be read.
    UnusableResponse,
    /// The server sent an error response.
    Status {
        /// The HTTP status code.
        status: u16,
        /// The delay from the response's `Retry-After` header, if any.
        retry_after: Option<TimeDelta>,
    },
}

impl PollFailure {
    /// Whether the response's status says that the server does not support the request.
    fn is_unsupported(self) -> bool {
        matches!(self, Self::Status { status: 403 | 404 | 501, .. })
    }
}

/// The settings of a [`PollSchedule`].
#[derive(Clone, Copy, Debug)]
pub struct PollSettings {
    /// The interval between two successful polls, before jitter.
    pub interval: TimeDelta,
    /// The maximum backoff while all servers fail, before jitter.
    pub max_backoff: TimeDelta,
    /// Whether to fetch deltas; otherwise every poll fetches a snapshot.
    pub use_deltas: bool,
}

/// Schedules the polls of a registry.
#[derive(Debug)]
pub struct PollSchedule {
    settings: PollSettings,
    rng: ChaCha8Rng,
    /// The earliest time at which each server may be polled again, as set by `Retry-After` headers.
    not_before: Vec<Timestamp>,
    /// The index of the server that is polled next.
    server: usize,
    consecutive_failures: u32,
    next_poll_at: Timestamp,
    /// When a snapshot is due; `None` while deltas suffice.
    snapshot_due_at: Option<Timestamp>,
    /// The number of inconsistent deltas since the last consistent one.
    consecutive_mismatches: u32,
    /// Whether deltas are disabled, or not supported by the current server.
    snapshots_only: bool,
}

impl PollSchedule {
    /// Creates a schedule for this many servers. A snapshot from the first server is due at `now`.
    #[must_use]
    pub fn new(servers: usize, settings: PollSettings, seed: u64, now: Timestamp) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            not_before: vec![now; servers.max(1)],
            server: 0,
            consecutive_failures: 0,
            next_poll_at: now,
            snapshot_due_at: Some(now),
            consecutive_mismatches: 0,
            snapshots_only: !settings.use_deltas,
        }
    }

    /// When the next poll is due.
    #[must_use]
    pub fn next_poll_at(&self) -> Timestamp {
        match self.snapshot_due_at {
            // While polls fail, the backoff applies to a due snapshot too.
            Some(due) if self.consecutive_failures == 0 => due.min(self.next_poll_at),
            _ => self.next_poll_at,
        }
    }

    /// The poll that is due at `now`.
    #[must_use]
    pub fn next_poll(&self, now: Timestamp) -> Poll {
        let needs_snapshot = self.snapshots_only || self.snapshot_due_at.is_some_and(|due| due <= now);
        let fetch = if needs_snapshot { FetchKind::Snapshot } else { FetchKind::Delta };
        Poll { server: self.server, fetch }
    }

    /// The number of polls that have failed since the last success.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Records a successful poll. `is_consistent` says whether the registry's hash code matches the instances
    /// that are held after the poll.
    pub fn record_success(&mut self, now: Timestamp, fetch: FetchKind, is_consistent: bool) {
        self.consecutive_failures = 0;
        self.next_poll_at = now + self.with_jitter(self.settings.interval, INTERVAL_JITTER);
        match fetch {
            FetchKind::Snapshot => self.snapshot_due_at = None,
            FetchKind::Delta if is_consistent => self.consecutive_mismatches = 0,
            FetchKind::Delta => self.record_mismatch(now),
        }
    }

    /// Schedules a snapshot after an inconsistent delta: at once after the first one, with an increasing
    /// delay after further ones, so that a registry whose hash code is always wrong need not send a snapshot
    /// at each poll.
    fn record_mismatch(&mut self, now: Timestamp) {
        let delay = match self.consecutive_mismatches {
            0 => TimeDelta(0),
            count => self.settings.interval.mul_f64(f64::from(1_u32 << count.min(MAX_SNAPSHOT_DOUBLINGS))),
        };
        self.snapshot_due_at.get_or_insert(now + delay);
        self.consecutive_mismatches += 1;
    }

    /// Records a failed poll and schedules a retry.
    pub fn record_failure(&mut self, now: Timestamp, fetch: FetchKind, failure: PollFailure) {
        if fetch == FetchKind::Delta && failure.is_unsupported() {
            // The server does not support deltas. That does not count as a failure of the server.
            self.snapshots_only = true;
            self.snapshot_due_at = Some(now);
            return;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let PollFailure::Status { retry_after: Some(delay), .. } = failure {
            self.not_before[self.server] = now + TimeDelta(delay.0.clamp(0, MAX_RETRY_AFTER.0));
        }
        self.switch_server(now);
        // The next server may hold changes that its deltas don't contain.
        self.snapshot_due_at = Some(now);
        let delay = self.with_jitter(self.failure_delay(), BACKOFF_JITTER);
        self.next_poll_at = (now + delay).max(self.not_before[self.server]);
    }

    /// Switches to the next server that may be polled now, or else to the one that may be polled earliest.
    /// The current server is the last candidate.
    fn switch_server(&mut self, now: Timestamp) {
        let servers = self.not_before.len();
        let candidates = (1..=servers).map(|step| (self.server + step) % servers);
        let available = candidates.clone().find(|server| self.not_before[*server] <= now);
        let next = available.or_else(|| candidates.min_by_key(|server| self.not_before[*server]));
        let next = next.unwrap_or(0);
        if next != self.server {
            self.server = next;
            self.snapshots_only = !self.settings.use_deltas;
        }
    }

    /// The delay after a failure: short within a round over all servers, and an exponential backoff after
    /// each round.
    fn failure_delay(&self) -> TimeDelta {
        let servers = self.not_before.len() as u32;
        if self.consecutive_failures % servers != 0 {
            return NEXT_SERVER_DELAY;
        }
        let doublings = ((self.consecutive_failures - 1) / servers).min(MAX_BACKOFF_DOUBLINGS);
        INITIAL_BACKOFF.mul_f64(f64::from(1_u32 << doublings)).min(self.settings.max_backoff)
    }

    /// Lengthens or shortens `delay` at random by up to `fraction` of it, so that many poolers don't poll in
    /// step.
    fn with_jitter(&mut self, delay: TimeDelta, fraction: f64) -> TimeDelta {
        let uniform = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        delay.mul_f64(1.0 + fraction * (2.0 * uniform - 1.0))
    }
}
