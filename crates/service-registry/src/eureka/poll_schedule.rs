//! When to poll which server of a registry, and for what: deltas while these are consistent, a snapshot where they are
//! not, another server when one fails, and with increasing backoff while all of them fail. No I/O, no clock.

use pooler_routing::{TimeDelta, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// The delay between two servers while a round of failures goes on.
const NEXT_SERVER_DELAY: TimeDelta = TimeDelta::from_millis(20);
/// The backoff after the first round in which all servers failed; it doubles from there.
const INITIAL_BACKOFF: TimeDelta = TimeDelta::from_millis(500);
/// The backoff doubles no more often than this.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// A `Retry-After` counts for no longer than this.
const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(300_000);
/// Snapshots that don't make deltas consistent are fetched after two to the power of this many intervals at the latest.
const MAX_SNAPSHOT_DOUBLINGS: u32 = 5;
/// The jitter of the interval, as a fraction of it.
const INTERVAL_JITTER: f64 = 0.1;
/// The jitter of delays after failures.
const BACKOFF_JITTER: f64 = 0.25;

/// What a poll fetches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchKind {
    /// All instances.
    Snapshot,
    /// The recent changes.
    Delta,
}

/// The next poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The server, by number.
    pub server: usize,
    /// What is fetched.
    pub fetch: FetchKind,
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// No response, or one that can't be read.
    Unusable,
    /// An error response.
    Status {
        /// The HTTP status.
        status: u16,
        /// When to come back, if the response says so.
        retry_after: Option<TimeDelta>,
    },
}

impl PollFailure {
    /// Whether it says that a server does not offer what was asked for.
    fn is_unsupported(self) -> bool {
        matches!(self, Self::Status { status: 403 | 404 | 501, .. })
    }
}

/// How a registry is polled.
#[derive(Clone, Copy, Debug)]
pub struct PollSettings {
    /// Between two successful polls.
    pub interval: TimeDelta,
    /// The longest backoff while all servers fail.
    pub max_backoff: TimeDelta,
    /// Whether deltas are fetched at all.
    pub use_deltas: bool,
}

/// Decides what is polled next.
#[derive(Debug)]
pub struct PollSchedule {
    settings: PollSettings,
    rng: ChaCha8Rng,
    /// When each server may be polled again.
    not_before: Vec<Timestamp>,
    server: usize,
    consecutive_failures: u32,
    next_poll_at: Timestamp,
    /// When a snapshot is due, if one is wanted.
    snapshot_due_at: Option<Timestamp>,
    consecutive_mismatches: u32,
    server_lacks_deltas: bool,
}

impl PollSchedule {
    /// A schedule over this many servers; the first one is due at once.
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
            server_lacks_deltas: !settings.use_deltas,
        }
    }

    /// When the next poll is due.
    #[must_use]
    pub fn next_poll_at(&self) -> Timestamp {
        match self.snapshot_due_at {
            // After a failure the backoff counts, whatever is wanted.
            Some(due) if self.consecutive_failures == 0 => due.min(self.next_poll_at),
            _ => self.next_poll_at,
        }
    }

    /// The next poll, once it is due.
    #[must_use]
    pub fn next_poll(&self, now: Timestamp) -> Poll {
        let needs_snapshot = self.server_lacks_deltas || self.snapshot_due_at.is_some_and(|due| due <= now);
        let fetch = if needs_snapshot { FetchKind::Snapshot } else { FetchKind::Delta };
        Poll { server: self.server, fetch }
    }

    /// How many polls failed in a row.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Records a successful poll; `is_consistent` if the registry's hash code matches what is held now.
    pub fn record_success(&mut self, now: Timestamp, fetch: FetchKind, is_consistent: bool) {
        self.consecutive_failures = 0;
        self.next_poll_at = now + self.with_jitter(self.settings.interval, INTERVAL_JITTER);
        match fetch {
            FetchKind::Snapshot => self.snapshot_due_at = None,
            FetchKind::Delta if is_consistent => self.consecutive_mismatches = 0,
            FetchKind::Delta => self.record_mismatch(now),
        }
    }

    /// Schedules a snapshot after an inconsistent delta: the first time at once, then later and later, so that a
    /// registry whose hash code is always wrong need not send a snapshot at each poll.
    fn record_mismatch(&mut self, now: Timestamp) {
        let delay = match self.consecutive_mismatches {
            0 => TimeDelta(0),
            count => self.settings.interval.mul_f64(f64::from(1_u32 << count.min(MAX_SNAPSHOT_DOUBLINGS))),
        };
        self.snapshot_due_at.get_or_insert(now + delay);
        self.consecutive_mismatches += 1;
    }

    /// Records a failed poll.
    pub fn record_failure(&mut self, now: Timestamp, fetch: FetchKind, failure: PollFailure) {
        if fetch == FetchKind::Delta && failure.is_unsupported() {
            // The server has no deltas; nothing else is wrong with it.
            self.server_lacks_deltas = true;
            self.snapshot_due_at = Some(now);
            return;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let PollFailure::Status { retry_after: Some(delay), .. } = failure {
            self.not_before[self.server] = now + TimeDelta(delay.0.clamp(0, MAX_RETRY_AFTER.0));
        }
        self.switch_server(now);
        // Another server may know other changes, which no delta shows.
        self.snapshot_due_at = Some(now);
        let delay = self.with_jitter(self.failure_delay(), BACKOFF_JITTER);
        self.next_poll_at = (now + delay).max(self.not_before[self.server]);
    }

    /// Switches to the next server that may be polled now, or else to the one that may be polled first.
    fn switch_server(&mut self, now: Timestamp) {
        let servers = self.not_before.len();
        let others_first = (1..=servers).map(|step| (self.server + step) % servers);
        let available = others_first.clone().find(|server| self.not_before[*server] <= now);
        let next = available.or_else(|| others_first.min_by_key(|server| self.not_before[*server]));
        let next = next.unwrap_or(0);
        if next != self.server {
            self.server = next;
            self.server_lacks_deltas = !self.settings.use_deltas;
        }
    }

    /// The delay after a failure: short within a round over all servers, then with exponential backoff.
    fn failure_delay(&self) -> TimeDelta {
        let servers = self.not_before.len() as u32;
        if self.consecutive_failures % servers != 0 {
            return NEXT_SERVER_DELAY;
        }
        let doublings = ((self.consecutive_failures - 1) / servers).min(MAX_BACKOFF_DOUBLINGS);
        INITIAL_BACKOFF.mul_f64(f64::from(1_u32 << doublings)).min(self.settings.max_backoff)
    }

    /// The delta, longer or shorter by up to this fraction, so that many poolers don't poll in step.
    fn with_jitter(&mut self, delta: TimeDelta, fraction: f64) -> TimeDelta {
        let uniform = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        delta.mul_f64(1.0 + fraction * (2.0 * uniform - 1.0))
    }
}
