//! Selects the endpoint for a request. Everything here is read-only.
//!
//! Reads follow the algorithm of Wu and Kemme: a random replica is picked among those whose data is current
//! enough. If its load exceeds a threshold, the first of the next [`FORWARD_STEPS`] replicas whose load does
//! not is used instead, if there is one. A write goes to the believed primary.

use super::cluster_view::ClusterView;
use super::endpoint::Endpoint;
use super::endpoints::Group;
use super::freshness::check_interval;
use super::overload::SEVERE_OVERLOAD;
use super::requests::PendingRequest;
use super::retry_budget::HealthCheckBudget;
use crate::{Consistency, EndpointId, GroupId, Operation, Role, StaleReadPolicy, TimeDelta, Timestamp};

/// A replica is passed over if its load exceeds this multiple of the candidates' mean load.
const LOAD_THRESHOLD: f64 = 1.2;
/// The number of replicas after the first pick that are considered in its place.
const FORWARD_STEPS: usize = 2;
/// The share of the primary's concurrency limit up to which it takes reads that replicas could serve.
const PRIMARY_READ_SHARE: f64 = 0.5;
/// The same share as [`PRIMARY_READ_SHARE`], where endpoints reject stale reads and all replicas lag.
const PRIMARY_READ_SHARE_WHILE_LAGGING: f64 = 0.8;
/// By how much the replicas' overload ratio must exceed the primary's before reads spill over to the primary.
const SPILL_OVER_MARGIN: f64 = 0.2;
/// How long a router without evidence about a group waits for the listed primary to respond to a health
/// check before it health-checks all endpoints of the group.
pub(super) const LISTED_PRIMARY_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);

/// The random draws for one read, made before the selection so that the selection itself is pure.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadRandomness {
    /// Determines the first replica considered: its index is this number modulo the number of replicas.
    pub(super) index_seed: usize,
    /// A uniform draw between 0 and 1, for decisions made with a probability.
    pub(super) chance: f64,
}

/// The result of selecting an endpoint for a read.
#[derive(Clone, Debug)]
pub(super) struct ReadSelection {
    /// The endpoint to send the read to; `None` if no endpoint can take the read now.
    pub(super) endpoint: Option<EndpointId>,
    /// The idle replica that was picked first and passed over, since it is slow or fails.
    pub(super) passed_over: Option<EndpointId>,
    /// Replicas to health-check to learn their log positions.
    pub(super) health_checks: Vec<EndpointId>,
}

/// The result of selecting an endpoint for a write.
#[derive(Clone, Debug)]
pub(super) struct WriteSelection {
    /// The endpoint that becomes or remains the believed primary.
    pub(super) primary: EndpointId,
    /// Whether the latest evidence confirms the primary role of the believed primary of the group.
    pub(super) is_confirmed: bool,
    /// Whether so many attempts of the write failed to reach a primary that the write should wait until one
    /// is confirmed.
    pub(super) has_exhausted_candidates: bool,
}

/// Ranks replicas; a lower penalty is preferred. A replica that the request has tried, or that seems to be
/// down, is used only if no other replica is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Penalty {
    was_tried: bool,
    is_suspect: bool,
}

/// The replica picked for a read.
struct Pick<'a> {
    endpoint: &'a Endpoint,
    /// The first random pick, if it was passed over while it had no other work.
    passed_over: Option<&'a Endpoint>,
}

impl<'a> Pick<'a> {
    /// A pick for which no idle replica was passed over.
    fn new(endpoint: &'a Endpoint) -> Self {
        Self { endpoint, passed_over: None }
    }
}

/// A read and the endpoints that it may be sent to.
struct ReadCandidates<'a> {
    view: ClusterView<'a>,
    request: &'a PendingRequest,
    randomness: ReadRandomness,
    required_position: Option<Timestamp>,
    /// Whether only the primary may serve the read, which has strong consistency.
    primary_only: bool,
    /// The confirmed primary; for a strong read without one, the believed primary if it may be probed.
    primary: Option<&'a Endpoint>,
    replicas: Vec<&'a Endpoint>,
}

impl<'a> ReadCandidates<'a> {
    fn new(
        view: ClusterView<'a>,
        request: &'a PendingRequest,
        group: &'a Group,
        randomness: ReadRandomness,
    ) -> Self {
        let primary_only = view.operation_of(request) == Operation::Read(Consistency::Strong);
        let mut primary = view.confirmed_primary(request.group());
        if primary.is_none() && primary_only {
            primary = view.primary_to_probe(request.group());
        }
        let primary_id = primary.map(Endpoint::id);
        let is_replica =
            |endpoint: &&Endpoint| view.accepts_new_work(endpoint) && Some(endpoint.id()) != primary_id;
        let replicas = if primary_only {
            Vec::new()
        } else {
            view.endpoints.in_group(group).filter(is_replica).collect()
        };
        let required_position = view.required_position(request);
        Self { view, request, randomness, required_position, primary_only, primary, replicas }
    }

    /// The replicas with the lowest penalty among those whose data is current enough. If there is a primary,
    /// replicas with any penalty are excluded.
    fn current_replicas(&self) -> Vec<&'a Endpoint> {
        let is_current = |replica: &&Endpoint| self.view.may_serve(replica, self.required_position);
        let mut current: Vec<_> = self.replicas.iter().copied().filter(is_current).collect();
        let lowest = current.iter().map(|replica| self.penalty(replica)).min();
        let penalized_allowed = lowest == Some(Penalty::default()) || self.primary.is_none();
        current.retain(|replica| Some(self.penalty(replica)) == lowest && penalized_allowed);
        current
    }

    fn penalty(&self, replica: &Endpoint) -> Penalty {
        Penalty { was_tried: self.request.has_tried(replica.id()), is_suspect: self.view.is_suspect(replica) }
    }

    /// Replicas to health-check because their position is unknown or too old for the read, where endpoints
    /// serve stale data. These are all such replicas while the budget is ample; otherwise one at a time, and
    /// only while no replica is known to be current enough.
    fn health_checks(&self, has_current_replica: bool, budget: &HealthCheckBudget) -> Vec<EndpointId> {
        let Some(required) = self.required_position else { return Vec::new() };
        let count = self.replicas.len();
        if self.view.settings.stale_read_policy != StaleReadPolicy::Serve || count == 0 {
            return Vec::new();
        }
        let interval = check_interval(self.view.operation_of(self.request));
        let now = self.view.now;
        let is_due = |replica: &&Endpoint| {
            let checked_at = replica.health_checked_at();
            !self.view.is_suspect(replica)
                && replica.freshness.is_check_due(now, required, checked_at, interval)
        };
        let max_checks = if budget.is_ample() { count } else { usize::from(!has_current_replica) };
        let rotated = (0..count).map(|step| self.replicas[(self.randomness.index_seed + step) % count]);
        let due = rotated.filter(is_due).take(max_checks.min(budget.available()));
        due.map(|replica| replica.id().clone()).collect()
    }

    /// Whether the read goes to the primary because the replicas are more overloaded. The probability is the
    /// amount by which the difference of their overload ratios exceeds [`SPILL_OVER_MARGIN`].
    fn should_spill_over(&self) -> bool {
        let ratio = |role| self.view.overload_ratio(self.request.group(), role);
        let excess = ratio(Role::Replica) - ratio(Role::Primary) - SPILL_OVER_MARGIN;
        self.primary.is_some() && self.randomness.chance < excess
    }

    /// The primary, if it has room for a read within this share of its concurrency limit.
    fn primary_within_read_share(&self, share: f64) -> Option<&'a Endpoint> {
        // The fractional part of a small share is granted with that probability. Otherwise, in a fleet of
        // many routers whose share is less than one attempt each, no read would ever reach the primary.
        let is_within = |primary: &&Endpoint| {
            let work = self.view.work_of(primary) + self.randomness.chance;
            primary.concurrency.is_within_fraction(work, share)
        };
        self.primary_with_room().filter(is_within)
    }

    fn primary_with_room(&self) -> Option<&'a Endpoint> {
        self.primary.filter(|primary| self.view.has_room(primary))
    }

    /// The share of the primary's concurrency limit that the read may fill. It is 0 while the primary is
    /// severely overloaded, since writes can go nowhere else.
    fn primary_read_share(&self, is_lagging: bool) -> f64 {
        if self.view.overload_ratio(self.request.group(), Role::Primary) > SEVERE_OVERLOAD {
            0.0
        } else if is_lagging {
            PRIMARY_READ_SHARE_WHILE_LAGGING
        } else {
            PRIMARY_READ_SHARE
        }
    }

    /// Picks a random replica. If its load exceeds the threshold, the first of the next replicas whose load
    /// does not is picked instead, if there is one, unless a trial read of the random replica is due.
    fn pick(&self, replicas: &[&'a Endpoint]) -> Pick<'a> {
        let loads: Vec<f64> = replicas.iter().map(|replica| self.view.load_of(replica)).collect();
        let threshold = LOAD_THRESHOLD * loads.iter().sum::<f64>() / loads.len() as f64;
        let count = replicas.len();
        let start = self.randomness.index_seed;
        let mut candidates = (0..=FORWARD_STEPS.min(count - 1)).map(|step| (start + step) % count);
        let chosen = candidates.find(|index| loads[*index] <= threshold);
        let first = replicas[start % count];
        let Some(chosen) = chosen.map(|index| replicas[index]) else { return Pick::new(first) };
        if chosen.id() == first.id() || !self.may_take_trial_read(first) {
            Pick::new(chosen)
        } else if first.read_trials.is_due() {
            Pick::new(first)
        } else {
            Pick { endpoint: chosen, passed_over: Some(first) }
        }
    }

    /// Whether a replica whose load exceeds the threshold may take the read as a trial that shows whether the
    /// replica has recovered: the replica has no other work, and this would be the read's first attempt.
    fn may_take_trial_read(&self, replica: &Endpoint) -> bool {
        self.request.attempt_count() == 0 && self.view.work_of(replica) == 0.0
    }

    fn select(&self, trusts_clock: bool, budget: &HealthCheckBudget) -> ReadSelection {
        let mut replicas = if trusts_clock { self.current_replicas() } else { Vec::new() };
        let is_lagging =
            replicas.is_empty() && self.view.settings.stale_read_policy == StaleReadPolicy::Reject;
        replicas.retain(|replica| self.view.has_room(replica));
        let health_checks = self.health_checks(!replicas.is_empty(), budget);
        let mut passed_over = None;
        let endpoint = if replicas.is_empty() && !self.primary_only {
            self.primary_within_read_share(self.primary_read_share(is_lagging))
        } else if replicas.is_empty() || self.should_spill_over() {
            self.primary_with_room()
        } else {
            let pick = self.pick(&replicas);
            passed_over = pick.passed_over;
            Some(pick.endpoint)
        };
        let id = |endpoint: &Endpoint| endpoint.id().clone();
        ReadSelection { endpoint: endpoint.map(id), passed_over: passed_over.map(id), health_checks }
    }
}

impl<'a> ClusterView<'a> {
    /// Selects the endpoint for a read; `None` if its group is unknown. Unless `trusts_clock`, no replica is
    /// considered current enough.
    pub(super) fn select_for_read(
        &self,
        request: &PendingRequest,
        randomness: ReadRandomness,
        trusts_clock: bool,
        budget: &HealthCheckBudget,
    ) -> Option<ReadSelection> {
        let group = self.endpoints.group(request.group())?;
        Some(ReadCandidates::new(*self, request, group, randomness).select(trusts_clock, budget))
    }

    /// Selects the endpoint for a write; `None` if no endpoint of its group accepts new work. Without a
    /// believed primary that accepts new work, the listed primary is selected, or else the next endpoint by
    /// identifier after the believed primary, beginning with the lowest if there is none.
    pub(super) fn select_for_write(&self, request: &PendingRequest) -> Option<WriteSelection> {
        let group_id = request.group();
        let group = self.endpoints.group(group_id)?;
        let usable = || self.endpoints.in_group(group).filter(|endpoint| self.accepts_new_work(endpoint));
        let believed = self.endpoints.believed_primary(group_id);
        let current_primary = believed.filter(|endpoint| self.accepts_new_work(endpoint));
        let listed_primary = || usable().find(|endpoint| endpoint.is_listed_primary());
        let next_endpoint = || self.next_candidate(group_id, believed.map(Endpoint::id));
        let primary = current_primary.or_else(listed_primary).or_else(next_endpoint)?.id().clone();
        let max_failed = (usable().count() as u32).min(self.settings.max_attempts / 2).max(1);
        let is_confirmed = self.confirmed_primary(group_id).is_some();
        Some(WriteSelection {
            primary,
            is_confirmed,
            has_exhausted_candidates: !is_confirmed && request.failed_primaries() >= max_failed,
        })
    }

    /// The next endpoint after `previous` in the order of identifiers, wrapping around, among those of the
    /// group that accept new work.
    pub(super) fn next_candidate(
        &self,
        group: GroupId,
        previous: Option<&EndpointId>,
    ) -> Option<&'a Endpoint> {
        let group = self.endpoints.group(group)?;
        let is_usable =
            |endpoint: &&Endpoint| Some(endpoint.id()) != previous && self.accepts_new_work(endpoint);
        let mut usable = self.endpoints.in_group(group).filter(is_usable);
        let after = usable.clone().find(|endpoint| Some(endpoint.id()) > previous);
        after.or_else(|| usable.next())
    }

    /// Whether a group has a listed primary that accepts new work.
    pub(super) fn has_listed_primary(&self, group: GroupId) -> bool {
        let Some(group) = self.endpoints.group(group) else { return false };
        let mut endpoints = self.endpoints.in_group(group);
        endpoints.any(|endpoint| endpoint.is_listed_primary() && self.accepts_new_work(endpoint))
    }

    /// The listed primary of a group, as long as there is no evidence of its role and it may still respond to
    /// its first health check.
    pub(super) fn unconfirmed_listed_primary(&self, group: &'a Group) -> Option<&'a Endpoint> {
        let is_unconfirmed = |endpoint: &&Endpoint| {
            let checked_at = endpoint.health_checked_at();
            let may_respond =
                checked_at == Timestamp::default() || self.now - checked_at < LISTED_PRIMARY_TIMEOUT;
            endpoint.is_listed_primary() && endpoint.role_evidence.is_unknown() && may_respond
        };
        let mut endpoints = self.endpoints.in_group(group).filter(|endpoint| self.accepts_new_work(endpoint));
        endpoints.find(is_unconfirmed)
    }
}
