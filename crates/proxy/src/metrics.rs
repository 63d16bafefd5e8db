//! The pooler's counters, and the status report that contains them.

use crate::client::connection_slots::EvictionClass;
use crate::close_reason::CloseReason;
use pooler_routing::{AttemptOutcome, TimeDelta};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

/// A timer that fires later than this counts as a stall of the process.
const STALL_THRESHOLD: TimeDelta = TimeDelta::from_millis(100);

/// A monotonic counter that saturates at `u64::MAX`.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds 1.
    pub fn increment(&self) {
        self.0.set(self.0.get().saturating_add(1));
    }

    /// Adds `count`.
    pub fn add(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.0.set(self.0.get().saturating_add(count));
    }

    /// Raises the counter to `value` if it is lower.
    pub fn raise_to(&self, value: u64) {
        self.0.set(self.0.get().max(value));
    }
}

/// All counters; they count from the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Client connections accepted.
    pub client_connections: Counter,
    /// Client connections rejected because no slot was free.
    pub rejected_connections: Counter,
    /// Client connections closed to make room for others.
    pub evicted_connections: Counter,
    /// Requests submitted to the router.
    pub requests: Counter,
    /// Statements answered with an error because they are not served as requests.
    pub rejected_statements: Counter,
    /// Attempts that the router dispatched to an endpoint.
    pub attempts: Counter,
    /// Requests answered with a server's response.
    pub served: Counter,
    /// Requests rejected; they certainly did not run.
    pub rejected: Counter,
    /// Requests failed; they may or may not have run.
    pub failed: Counter,
    /// Requests whose client disconnected before the response.
    pub client_disconnects: Counter,
    /// Requests cancelled by their clients.
    pub cancelled: Counter,
    /// Connections opened to servers.
    pub server_connections_opened: Counter,
    /// Idle server connections closed because they failed validation before reuse.
    pub failed_validations: Counter,
    /// Waits, before a connection was accepted or opened, for file descriptors, ports or memory of this
    /// machine, or for the pool's connection limit.
    pub resource_waits: Counter,
    /// Health checks sent.
    pub health_checks: Counter,
    /// Configurations reloaded.
    pub config_reloads: Counter,
    /// Watches opened on the discovery service.
    pub watches_opened: Counter,
    /// Stalls: the timer fired late, since a task kept the only thread or the process was suspended.
    pub stalls: Counter,
    /// The longest stall, in milliseconds.
    pub longest_stall_ms: Counter,
    /// Stalled peers whose memory was reclaimed for others.
    pub memory_reclaims: Counter,
    /// Reads that found no memory.
    pub memory_denials: Counter,
    /// Endpoints of lists that were ignored because there was no memory for them.
    pub refused_endpoints: Counter,
    /// The most memory that was counted at a time, in KiB.
    pub peak_counted_memory_kib: Counter,
    /// The most memory that the process was seen to have allocated, in KiB.
    pub peak_allocated_memory_kib: Counter,
    outcomes: [Counter; OUTCOME_NAMES.len()],
    closes: [Counter; CloseReason::NAMES.len()],
    evictions: [Counter; EvictionClass::NAMES.len()],
}

/// The name of each attempt outcome in the status report, in the order of output.
const OUTCOME_NAMES: [(AttemptOutcome, &str); 11] = [
    (AttemptOutcome::Ok, "ok"),
    (AttemptOutcome::Error, "error"),
    (AttemptOutcome::Rejected, "rejected"),
    (AttemptOutcome::Timeout, "timeout"),
    (AttemptOutcome::ConnectionRefused, "connection_refused"),
    (AttemptOutcome::ConnectTimeout, "connect_timeout"),
    (AttemptOutcome::ConnectionLostBeforeSend, "connection_lost_before_send"),
    (AttemptOutcome::ConnectionReset, "connection_reset"),
    (AttemptOutcome::Cancelled, "cancelled"),
    (AttemptOutcome::NotSent, "not_sent"),
    (AttemptOutcome::NotEligible, "not_eligible"),
];

impl Counters {
    /// Records that the timer fired `lateness` after it was due, if that is long enough for a stall.
    pub fn record_timer_lateness(&self, lateness: TimeDelta) {
        if lateness >= STALL_THRESHOLD {
            self.stalls.increment();
            let milliseconds = lateness.to_duration().as_millis();
            self.longest_stall_ms.raise_to(u64::try_from(milliseconds).unwrap_or(u64::MAX));
        }
    }

    /// Increments the counter of this attempt outcome.
    pub fn record_outcome(&self, outcome: AttemptOutcome) {
        for ((named, _), counter) in OUTCOME_NAMES.iter().zip(&self.outcomes) {
            if *named == outcome {
                counter.increment();
            }
        }
    }

    /// Counts a client connection that was closed for this reason.
    pub fn record_close(&self, reason: CloseReason) {
        self.closes[reason as usize].increment();
    }

    /// Counts an eviction of a client connection of this class.
    pub fn record_eviction(&self, class: EvictionClass) {
        self.evicted_connections.increment();
        self.evictions[class as usize].increment();
    }

    /// The counters with their names in the status report, in the order of output.
    fn named(&self) -> [(&'static str, &Counter); 24] {
        [
            ("client_connections", &self.client_connections),
            ("rejected_connections", &self.rejected_connections),
            ("evicted_connections", &self.evicted_connections),
            ("requests", &self.requests),
            ("rejected_statements", &self.rejected_statements),
            ("attempts", &self.attempts),
            ("served", &self.served),
            ("rejected", &self.rejected),
            ("failed", &self.failed),
            ("client_disconnects", &self.client_disconnects),
            ("cancelled", &self.cancelled),
            ("server_connections_opened", &self.server_connections_opened),
            ("failed_validations", &self.failed_validations),
            ("resource_waits", &self.resource_waits),
            ("health_checks", &self.health_checks),
            ("config_reloads", &self.config_reloads),
            ("watches_opened", &self.watches_opened),
            ("stalls", &self.stalls),
            ("longest_stall_ms", &self.longest_stall_ms),
            ("memory_reclaims", &self.memory_reclaims),
            ("memory_denials", &self.memory_denials),
            ("refused_endpoints", &self.refused_endpoints),
            ("peak_counted_memory_kib", &self.peak_counted_memory_kib),
            ("peak_allocated_memory_kib", &self.peak_allocated_memory_kib),
        ]
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        for (name, counter) in self.named() {
            write!(f, " {name}={}", counter.0.get())?;
        }
        for ((_, name), counter) in OUTCOME_NAMES.iter().zip(&self.outcomes) {
            write!(f, " outcome.{name}={}", counter.0.get())?;
        }
        for ((_, name), counter) in CloseReason::NAMES.iter().zip(&self.closes) {
            write!(f, " closed.{name}={}", counter.0.get())?;
        }
        for ((_, name), counter) in EvictionClass::NAMES.iter().zip(&self.evictions) {
            write!(f, " evicted.{name}={}", counter.0.get())?;
        }
        Ok(())
    }
}

/// The report that is logged on SIGUSR1 and at exit: the counters, and the sections that other components
/// add.
#[derive(Default)]
pub struct StatusReport {
    counters: Rc<Counters>,
    sections: RefCell<Vec<Rc<dyn fmt::Display>>>,
}

impl StatusReport {
    /// Creates a report of these counters without further sections.
    #[must_use]
    pub fn new(counters: Rc<Counters>) -> Self {
        Self { counters, sections: RefCell::default() }
    }

    /// Adds a section; it is formatted anew each time the report is logged.
    pub fn add_section(&self, section: Rc<dyn fmt::Display>) {
        self.sections.borrow_mut().push(section);
    }

    /// Logs the report, one line per section.
    pub fn log(&self) {
        tracing::info!("{}", self.counters);
        for section in self.sections.borrow().iter() {
            tracing::info!("{section}");
        }
    }
}
