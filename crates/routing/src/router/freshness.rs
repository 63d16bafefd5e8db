//! Replication lag: the log positions that endpoints have applied, the positions that reads require, and the
//! session tokens for read-your-writes.

#[cfg(test)]
mod tests;

use super::fleet_clock::FleetClock;
use super::requests::PendingRequest;
use crate::{Consistency, Operation, SessionKey, StaleReadPolicy, TimeDelta, Timestamp};
use std::collections::HashMap;

/// How long a read that an endpoint rejected, or a replication lag observed on it, makes it ineligible for
/// similar reads where endpoints reject stale reads. Also the interval between health checks for reads
/// without a staleness bound.
pub(super) const LAG_MEMORY: TimeDelta = TimeDelta::from_millis(1_000);
/// A report without a later position counts as a new observation if the last one is older than this: it shows
/// that the endpoint still lags.
const MAX_OBSERVATION_AGE: TimeDelta = TimeDelta::from_millis(500);
/// The shortest interval between health checks of an endpoint that may have caught up by now. It is short
/// since reads arrive within a second of their session's writes.
const CAUGHT_UP_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Above this number of session tokens, those that every endpoint has applied are removed.
const MAX_APPLIED_TOKENS: usize = 8_192;
/// Above this number of session tokens, the oldest are removed, whether or not every endpoint has applied
/// them.
const MAX_SESSION_TOKENS: usize = 50_000;
/// The number of session tokens that are left when the oldest are removed.
const TOKENS_LEFT: usize = 40_000;
/// Added to the session token that a request carries: the commit time was rounded up, and its age may have
/// been rounded too.
const CARRIED_TOKEN_MARGIN: TimeDelta = TimeDelta::from_millis(1);

/// A read that an endpoint rejected because the endpoint's data was too old.
#[derive(Clone, Copy, Debug)]
struct RejectedRead {
    required_position: Timestamp,
    at: Timestamp,
}

/// The log position that an endpoint has applied, as far as the router knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaFreshness {
    /// The endpoint has applied the log at least up to this position.
    position: Timestamp,
    /// When the position was last observed, on the router's clock.
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
    /// The position up to which the endpoint is known to have applied the log.
    pub(super) fn position(&self) -> Timestamp {
        self.position
    }

    /// Records the position in the metadata of a response, which is current.
    pub(super) fn observe_response(&mut self, now: Timestamp, position: Timestamp) {
        self.raise_position(position);
        self.observed_at = now;
    }

    /// Records the position in a load report, which may have been measured earlier.
    pub(super) fn observe_report(&mut self, now: Timestamp, position: Timestamp) {
        if position > self.position || now - self.observed_at > MAX_OBSERVATION_AGE {
            self.observed_at = now;
        }
        self.raise_position(position);
    }

    /// Records that the endpoint has applied the log at least up to a position, without a new observation of
    /// its lag.
    pub(super) fn raise_position(&mut self, position: Timestamp) {
        self.position = self.position.max(position);
    }

    /// Lowers a position that is later than the present, after the fleet clock was set back.
    pub(super) fn cap_position(&mut self, present: Timestamp) {
        self.position = self.position.min(present);
    }

    /// Records that the endpoint rejected a read because it has not applied the log up to
    /// `required_position`.
    pub(super) fn record_rejected_read(&mut self, now: Timestamp, required_position: Timestamp) {
        self.last_rejected_read = Some(RejectedRead { required_position, at: now });
    }

    /// Whether a read that requires a position may be sent to the endpoint. If endpoints serve stale reads,
    /// the position must be known to be applied. If they reject stale reads, it is enough that the endpoint
    /// may have caught up, or that its position is unknown.
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

    /// Whether another health check is due to learn whether the endpoint has reached a position. The last
    /// check was at `health_checked_at`. If the endpoint may have caught up since it was last observed, the
    /// next one is due after [`CAUGHT_UP_CHECK_INTERVAL`], else after `interval`. None is due for a position
    /// that is known to be applied.
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

/// The log position that an endpoint must have applied to serve a request; `None` if any will do.
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

/// The interval between health checks of a lagging endpoint for reads of this kind.
pub(super) fn check_interval(operation: Operation) -> TimeDelta {
    match operation {
        Operation::Read(Consistency::BoundedStaleness(bound)) => bound,
        _ => LAG_MEMORY,
    }
}

/// The session token of a request that carries how long before its arrival its session last committed.
pub(super) fn carried_session_token(now: Timestamp, since_last_write: TimeDelta) -> Timestamp {
    now - since_last_write + CARRIED_TOKEN_MARGIN
}

/// The session tokens: by session, the position of its last commit, which its reads must include.
///
/// A token can't be forgotten for good: an endpoint that joins or returns later may start from an older copy
/// of the data. Removed tokens are replaced by the low watermark, which is at or after each of them.
#[derive(Clone, Debug, Default)]
pub(super) struct SessionTokens {
    last_commits: HashMap<SessionKey, Timestamp>,
    low_watermark: Option<Timestamp>,
}

impl SessionTokens {
    /// The session token: the position of the session's last commit.
    pub(super) fn get(&self, session: SessionKey) -> Option<Timestamp> {
        self.last_commits.get(&session).copied()
    }

    /// The position that includes the commits of all sessions whose tokens were removed.
    pub(super) fn low_watermark(&self) -> Option<Timestamp> {
        self.low_watermark
    }

    /// Records the position of a commit. An earlier one than that recorded changes nothing, nor does one that
    /// the low watermark includes.
    pub(super) fn record_commit(&mut self, session: SessionKey, commit: Timestamp) {
        if Some(commit) <= self.low_watermark {
            return;
        }
        let token = self.last_commits.entry(session).or_insert(commit);
        *token = commit.max(*token);
        if self.last_commits.len() > MAX_SESSION_TOKENS {
            self.remove_oldest();
        }
    }

    /// Whether there are so many tokens that those applied everywhere should be removed.
    pub(super) fn should_remove_applied(&self) -> bool {
        self.last_commits.len() > MAX_APPLIED_TOKENS
    }

    /// Removes the tokens that every endpoint has applied. `lowest_position` is the lowest position of any
    /// endpoint, or `None` if there is no endpoint; then all are kept.
    pub(super) fn remove_applied(&mut self, lowest_position: Option<Timestamp>) {
        if let Some(position) = lowest_position
            && lowest_position > self.low_watermark
        {
            self.remove_up_to(position);
        }
    }

    /// Removes all but the latest [`TOKENS_LEFT`] tokens.
    fn remove_oldest(&mut self) {
        let mut commits: Vec<Timestamp> = self.last_commits.values().copied().collect();
        let Some(last_removed) = commits.len().checked_sub(TOKENS_LEFT + 1) else { return };
        let (_, latest_removed, _) = commits.select_nth_unstable(last_removed);
        self.remove_up_to(*latest_removed);
    }

    /// Removes the tokens up to and including `position`, which becomes the low watermark.
    fn remove_up_to(&mut self, position: Timestamp) {
        self.last_commits.retain(|_, commit| *commit > position);
        self.low_watermark = self.low_watermark.max(Some(position));
    }

    /// Lowers a low watermark that is later than the present, after the fleet clock was set back.
    pub(super) fn cap_low_watermark(&mut self, present: Timestamp) {
        self.low_watermark = self.low_watermark.map(|watermark| watermark.min(present));
    }
}
