//! Where a request goes. It reads the parts, and changes nothing.
//!
//! The read mechanism is Wu and Kemme's: a read goes to a random replica whose data is current enough; if the
//! load of that one is over a threshold, to the first below it of the next [`FORWARD_STEPS`]. A write goes to
//! the believed primary.

use super::cluster_view::ClusterView;
use super::endpoint::Endpoint;
use super::endpoints::Group;
use super::freshness::check_interval;
use super::overload::SEVERE_OVERLOAD;
use super::requests::PendingRequest;
use super::retry_budget::HealthCheckBudget;
use crate::{Consistency, EndpointId, GroupId, Operation, Role, StaleReadPolicy, TimeDelta, Timestamp};

/// An endpoint is passed over if its load exceeds this multiple of the mean.
const LOAD_THRESHOLD: f64 = 1.2;
/// How many endpoints after the first pick are considered.
const FORWARD_STEPS: usize = 2;
/// The share of the primary's concurrency limit that reads may fill which replicas could serve.
const PRIMARY_READ_SHARE: f64 = 0.5;
/// The same where endpoints reject stale reads and all replicas lag.
const PRIMARY_READ_SHARE_WHILE_LAGGING: f64 = 0.8;
/// How much lower the overload ratio of the primary must be than that of the replicas for reads to spill over
/// to it.
const SPILL_OVER_MARGIN: f64 = 0.2;
/// How long a router that knows nothing of a group waits for the listed primary to respond to its health
/// check before it checks all endpoints.
pub(super) const LISTED_PRIMARY_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);

/// The random numbers of one read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadRandomness {
    /// Picks the first replica.
    pub(super) index_seed: usize,
    /// Decides by chance, from 0 to 1.
    pub(super) chance: f64,
}

/// Where a read goes.
#[derive(Clone, Debug)]
pub(super) struct ReadSelection {
    /// The endpoint, if any can take it now.
    pub(super) endpoint: Option<EndpointId>,
    /// The endpoint that was picked first and passed over, because it is slow or fails.
    pub(super) passed_over: Option<EndpointId>,
    /// Replicas to health-check for their positions.
    pub(super) health_checks: Vec<EndpointId>,
}

/// Where a write goes.
#[derive(Clone, Debug)]
pub(super) struct WriteSelection {
    /// The endpoint to believe to be the primary.
    pub(super) primary: EndpointId,
    /// The latest evidence confirms that it is the primary.
    pub(super) is_confirmed: bool,
    /// So many attempts of the write failed to find the primary that it should wait until one is confirmed.
    pub(super) has_exhausted_candidates: bool,
}

/// How little a replica is preferred: one that was tried or seems to be down serves only where no other is
/// left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Penalty {
    was_tried: bool,
    is_suspect: bool,
}

/// The replica that a read goes to.
struct Pick<'a> {
    endpoint: &'a Endpoint,
    /// The first random pick, if it was passed over while it had nothing else to do.
    passed_over: Option<&'a Endpoint>,
}

impl<'a> Pick<'a> {
    /// No replica was passed over.
    fn first(endpoint: &'a Endpoint) -> Self {
        Self { endpoint, passed_over: None }
    }
}

/// One read, and the endpoints that it may go to.
struct ReadCandidates<'a> {
    view: ClusterView<'a>,
    request: &'a PendingRequest,
    randomness: ReadRandomness,
    required_position: Option<Timestamp>,
    /// The read needs the primary.
    primary_only: bool,
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

    /// The replicas whose data is current enough, and of those only the most preferred ones. Tried replicas
    /// and suspects are left out while there is a primary.
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

    /// Where endpoints serve stale data, the replicas to health-check because their position is unknown or
    /// too old for the read: while the budget is ample all, else one at a time while none is known to be
    /// current enough.
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
        let most = if budget.is_ample() { count } else { usize::from(!has_current_replica) };
        let rotated = (0..count).map(|step| self.replicas[(self.randomness.index_seed + step) % count]);
        let due = rotated.filter(is_due).take(most.min(budget.available()));
        due.map(|replica| replica.id().clone()).collect()
    }

    /// Whether the replicas are so much more overloaded than the primary that the read goes to the primary.
    fn spills_over(&self) -> bool {
        let ratio = |role| self.view.overload_ratio(self.request.group(), role);
        let excess = ratio(Role::Replica) - ratio(Role::Primary) - SPILL_OVER_MARGIN;
        self.primary.is_some() && self.randomness.chance < excess
    }

    /// The primary, if it has room for a read that may fill this share of its concurrency limit.
    fn primary_within_share(&self, share: f64) -> Option<&'a Endpoint> {
        // Of a share of few attempts, the fraction of one is given by chance, or the reads of many routers,
        // each of which has less than one attempt, would never get any.
        let is_within = |primary: &&Endpoint| {
            let work = self.view.work_of(primary) + self.randomness.chance;
            primary.concurrency.is_within_share(work, share)
        };
        self.primary_with_room().filter(is_within)
    }

    fn primary_with_room(&self) -> Option<&'a Endpoint> {
        self.primary.filter(|primary| self.view.has_room(primary))
    }

    /// The share of the primary's concurrency limit that the read may fill. Writes have no other endpoint to
    /// go to: reads do not add to an overload there.
    fn primary_share(&self, is_lagging: bool) -> f64 {
        if self.view.overload_ratio(self.request.group(), Role::Primary) > SEVERE_OVERLOAD {
            0.0
        } else if is_lagging {
            PRIMARY_READ_SHARE_WHILE_LAGGING
        } else {
            PRIMARY_READ_SHARE
        }
    }

    /// A random replica, or one of the next ones if its load is over the threshold, unless it is to show
    /// whether it has recovered.
    fn pick(&self, replicas: &[&'a Endpoint]) -> Pick<'a> {
        let loads: Vec<f64> = replicas.iter().map(|replica| self.view.load_of(replica)).collect();
        let threshold = LOAD_THRESHOLD * loads.iter().sum::<f64>() / loads.len() as f64;
        let count = replicas.len();
        let first = self.randomness.index_seed;
        let mut considered = (0..=FORWARD_STEPS.min(count - 1)).map(|step| (first + step) % count);
        let below = considered.find(|index| loads[*index] <= threshold);
        let first = replicas[first % count];
        let Some(chosen) = below.map(|index| replicas[index]) else { return Pick::first(first) };
        if chosen.id() == first.id() || !self.may_be_tried(first) {
            Pick::first(chosen)
        } else if first.read_trials.is_due() {
            Pick::first(first)
        } else {
            Pick { endpoint: chosen, passed_over: Some(first) }
        }
    }

    /// Whether a replica that is over the threshold may take the read to show whether it has recovered: it
    /// has nothing else to do, and the read has been sent nowhere yet.
    fn may_be_tried(&self, replica: &Endpoint) -> bool {
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
            self.primary_within_share(self.primary_share(is_lagging))
        } else if replicas.is_empty() || self.spills_over() {
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
    /// Where a read goes; `None` if its group is unknown. If the clock is not trusted, no replica is known to
    /// be current enough.
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

    /// Where a write goes; `None` if its group has no endpoint that may be sent anything. A router that knows
    /// no primary begins with the listed one, else with the lowest identifier.
    pub(super) fn select_for_write(&self, request: &PendingRequest) -> Option<WriteSelection> {
        let group_id = request.group();
        let group = self.endpoints.group(group_id)?;
        let usable = || self.endpoints.in_group(group).filter(|endpoint| self.accepts_new_work(endpoint));
        let believed = self.endpoints.believed_primary(group_id);
        let kept = believed.filter(|endpoint| self.accepts_new_work(endpoint));
        let listed = || usable().find(|endpoint| endpoint.is_listed_primary());
        let next = || self.next_candidate(group_id, believed.map(Endpoint::id));
        let primary = kept.or_else(listed).or_else(next)?.id().clone();
        let max_failed = (usable().count() as u32).min(self.settings.max_attempts / 2).max(1);
        let is_confirmed = self.confirmed_primary(group_id).is_some();
        Some(WriteSelection {
            primary,
            is_confirmed,
            has_exhausted_candidates: !is_confirmed && request.failed_primaries() >= max_failed,
        })
    }

    /// The next endpoint of a group after `previous`, in the order of identifiers, that may be sent anything.
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

    /// Whether a group has a listed primary that may be sent anything.
    pub(super) fn has_listed_primary(&self, group: GroupId) -> bool {
        let Some(group) = self.endpoints.group(group) else { return false };
        let mut endpoints = self.endpoints.in_group(group);
        endpoints.any(|endpoint| endpoint.is_listed_primary() && self.accepts_new_work(endpoint))
    }

    /// The listed primary of a group, while nothing else is known of it and it may still respond to its first
    /// health check.
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
