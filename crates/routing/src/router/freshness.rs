//! How current the data of an endpoint is, and what reads require.

#[cfg(test)]
mod tests;

use super::fleet_clock::FleetClock;
use super::requests::PendingRequest;
use crate::{Consistency, Operation, SessionKey, StaleReadPolicy, TimeDelta, Timestamp};
use std::collections::HashMap;

/// How long a rejected read, or an observed replication lag, counts against an endpoint.
pub(super) const LAG_MEMORY: TimeDelta = TimeDelta::from_millis(1_000);
/// After how long a report of an old position is taken as a new observation, as it shows that the endpoint
/// still lags.
const MAX_OBSERVATION_AGE: TimeDelta = TimeDelta::from_millis(500);
/// How soon an endpoint that may have caught up by now is health-checked again: reads come within a second of
/// their session's writes.
const CAUGHT_UP_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Session tokens beyond this number are dropped once every endpoint has applied them.
const MAX_SESSION_TOKENS: usize = 8_192;
/// Added to the token that a request carries: the commit was rounded up, and its age may be rounded too.
const CARRIED_TOKEN_MARGIN: TimeDelta = TimeDelta::from_millis(1);

/// A read that an endpoint rejected because its data was too old.
#[derive(Clone, Copy, Debug)]
struct RejectedRead {
    required_position: Timestamp,
    at: Timestamp,
}

/// How far an endpoint has applied the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaFreshness {
    /// It has applied all up to here.
    position: Timestamp,
    /// When the position was observed.
    observed_at: Timestamp,
    last_rejected_read: Option<RejectedRead>,
}

impl Default for ReplicaFreshness {
    fn default() -> Self {
        Self {
            position: Timestamp::DISTANT_PAST,
            observed_at: Timestamp::DISTANT_PAST,
            last_rejected_read: None,
        }
    }
}

impl ReplicaFreshness {
    /// The position up to which it is known to have applied the log.
    pub(super) fn position(&self) -> Timestamp {
        self.position
    }

    /// Records the position from a response.
    pub(super) fn observe_response(&mut self, now: Timestamp, position: Timestamp) {
        self.raise_position(position);
        self.observed_at = now;
    }

    /// Records the position from a load report, which may be old.
    pub(super) fn observe_report(&mut self, now: Timestamp, position: Timestamp) {
        if position > self.position || now - self.observed_at > MAX_OBSERVATION_AGE {
            self.observed_at = now;
        }
        self.raise_position(position);
    }

    /// Records that it has applied the log at least up to a position.
    pub(super) fn raise_position(&mut self, position: Timestamp) {
        self.position = self.position.max(position);
    }

    /// The fleet's clock was ahead: a position is no later than the present.
    pub(super) fn limit_position(&mut self, present: Timestamp) {
        self.position = self.position.min(present);
    }

    /// It rejected a read because its data is older than this.
    pub(super) fn record_rejected_read(&mut self, now: Timestamp, required_position: Timestamp) {
        self.last_rejected_read = Some(RejectedRead { required_position, at: now });
    }

    /// Whether a read that requires this position may be sent to it. Where endpoints reject reads for which
    /// their data is too old, that includes an endpoint whose position is unknown.
    pub(super) fn may_serve(
        &self,
        now: Timestamp,
        required_position: Option<Timestamp>,
        policy: StaleReadPolicy,
    ) -> bool {
        let Some(required) = required_position.filter(|required| self.position < *required) else {
            return true;
        };
        let has_rejected = self
            .last_rejected_read
            .is_some_and(|read| required >= read.required_position && now - read.at < LAG_MEMORY);
        let age = now - self.observed_at;
        let may_have_caught_up = age > LAG_MEMORY || self.position + age >= required;
        policy == StaleReadPolicy::Reject && !has_rejected && may_have_caught_up
    }

    /// Whether a health check may show by now that it has reached this position, after the last one at
    /// `health_checked_at`: soon if its lag was small when last observed, else after `interval`.
    pub(super) fn is_check_due(
        &self,
        now: Timestamp,
        required_position: Timestamp,
        health_checked_at: Timestamp,
        interval: TimeDelta,
    ) -> bool {
        let may_have_caught_up = self.position + (now - self.observed_at) >= required_position;
        let pause = if may_have_caught_up { CAUGHT_UP_CHECK_INTERVAL } else { interval };
        let last_known_at = health_checked_at.max(self.observed_at);
        self.position < required_position && now - last_known_at >= pause
    }
}

/// The log position that an endpoint must have applied to serve a request, if there is one.
pub(super) fn required_position(
    operation: Operation,
    request: &PendingRequest,
    now: Timestamp,
    clock: &FleetClock,
) -> Option<Timestamp> {
    match operation {
        Operation::Read(Consistency::Eventual) | Operation::Write => None,
        Operation::Read(Consistency::BoundedStaleness(bound)) => Some(clock.to_fleet_time(now) - bound),
        Operation::Read(Consistency::ReadYourWrites) => request.session_token(),
        Operation::Read(Consistency::Strong) => Some(clock.to_fleet_time(request.arrived_at())),
    }
}

/// The interval between health checks of a lagging endpoint's position for a read.
pub(super) fn check_interval(operation: Operation) -> TimeDelta {
    match operation {
        Operation::Read(Consistency::BoundedStaleness(bound)) => bound,
        _ => LAG_MEMORY,
    }
}

/// The token of a request that carries how long ago its session last wrote.
pub(super) fn carried_session_token(now: Timestamp, since_last_write: TimeDelta) -> Timestamp {
    now - since_last_write + CARRIED_TOKEN_MARGIN
}

/// The last commits of sessions, which their reads must see.
#[derive(Clone, Debug, Default)]
pub(super) struct SessionTokens {
    last_commits: HashMap<SessionKey, Timestamp>,
}

impl SessionTokens {
    /// The last commit of a session.
    pub(super) fn get(&self, session: SessionKey) -> Option<Timestamp> {
        self.last_commits.get(&session).copied()
    }

    /// Records a commit.
    pub(super) fn record_commit(&mut self, session: SessionKey, commit: Timestamp) {
        let token = self.last_commits.entry(session).or_insert(commit);
        *token = commit.max(*token);
    }

    /// Whether there are so many that those no longer needed should be removed.
    pub(super) fn is_full(&self) -> bool {
        self.last_commits.len() > MAX_SESSION_TOKENS
    }

    /// Removes the tokens that every endpoint has applied; `lowest_position` is `None` if there is no
    /// endpoint.
    pub(super) fn remove_applied(&mut self, lowest_position: Option<Timestamp>) {
        self.last_commits.retain(|_, commit| Some(*commit) > lowest_position);
    }
}
