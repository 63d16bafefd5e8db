//! Tracks demand, the priority weight of recent requests, by class and by tenant.

use super::decaying::DecayingRatio;
use super::overload::OVERLOAD_MEMORY;
use super::requests::PendingRequest;
use crate::{ClassId, Settings, TenantId, TimeDelta, Timestamp};

/// The time in which the contribution of a request to the demand decays by a factor of e.
const DEMAND_MEMORY: TimeDelta = TimeDelta::from_millis(7_000);
/// The time in which the contribution of a request to the served fraction decays by a factor of e.
const SERVED_FRACTION_MEMORY: TimeDelta = OVERLOAD_MEMORY;
/// The served fraction of a class without recent requests.
const IDLE_SERVED_FRACTION: f64 = 1.0;
/// A class whose served fraction exceeds the lowest one by no more than this also counts as worst served.
const WORST_SERVED_TOLERANCE: f64 = 0.02;

/// The priority weight of all recent requests, and of those served within their objective.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    by_class: Vec<DecayingRatio>,
    by_tenant: Vec<DecayingRatio>,
}

impl Demand {
    /// Creates the state without any requests.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            by_class: vec![DecayingRatio::default(); settings.classes.len()],
            by_tenant: vec![DecayingRatio::default(); settings.tenants.len()],
        }
    }

    /// Records the arrival of a request with the priority weight of its class.
    pub(super) fn record_arrival(&mut self, now: Timestamp, request: &PendingRequest, weight: f64) {
        self.add(now, request, 0.0, weight);
    }

    /// Records that a request was served within its objective, with the priority weight of its class.
    pub(super) fn record_served(&mut self, now: Timestamp, request: &PendingRequest, weight: f64) {
        self.add(now, request, weight, 0.0);
    }

    fn add(&mut self, now: Timestamp, request: &PendingRequest, served: f64, requested: f64) {
        self.by_class[request.class().0].add(now, DEMAND_MEMORY, served, requested);
        if let Some(tenant) = request.tenant().and_then(|tenant| self.by_tenant.get_mut(tenant.0)) {
            tenant.add(now, DEMAND_MEMORY, served, requested);
        }
    }

    pub(super) fn of_class(&self, now: Timestamp, class: ClassId) -> f64 {
        self.by_class[class.0].total(now, DEMAND_MEMORY)
    }

    /// The demand of a tenant, which must be listed in the settings.
    pub(super) fn of_tenant(&self, now: Timestamp, tenant: TenantId) -> f64 {
        self.by_tenant[tenant.0].total(now, DEMAND_MEMORY)
    }

    pub(super) fn of_all_classes(&self, now: Timestamp) -> f64 {
        self.by_class.iter().map(|class| class.total(now, DEMAND_MEMORY)).sum()
    }

    fn served_fraction(&self, now: Timestamp, class: ClassId) -> f64 {
        self.by_class[class.0].estimate(now, SERVED_FRACTION_MEMORY, IDLE_SERVED_FRACTION)
    }

    /// Whether the fraction of this class's demand that is served within the objective is the lowest of all
    /// classes, or within [`WORST_SERVED_TOLERANCE`] of it.
    pub(super) fn is_worst_served(&self, now: Timestamp, class: ClassId) -> bool {
        let fractions = (0..self.by_class.len()).map(|index| self.served_fraction(now, ClassId(index)));
        let lowest = fractions.fold(f64::MAX, f64::min);
        self.served_fraction(now, class) <= lowest + WORST_SERVED_TOLERANCE
    }
}
