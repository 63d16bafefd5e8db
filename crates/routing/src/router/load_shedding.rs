//! Load shedding: decides which new requests are rejected under overload, by a priority density that also
//! orders the dispatch of queued requests.

use super::cluster_view::ClusterView;
use super::overload::{SHEDDING_COMPLETE, SHEDDING_START};
use super::requests::PendingRequest;
use crate::{ClassId, Consistency, Operation, Role};

impl ClusterView<'_> {
    /// Whether a new request is shed because the endpoints of this role in its group are overloaded. Shedding
    /// starts at an overload ratio of [`SHEDDING_START`] and is random; requests whose priority density is
    /// below the average of the competing classes are shed with a higher probability.
    pub(super) fn should_shed(&self, request: &PendingRequest, role: Role, chance: f64) -> bool {
        let overload = self.overload_ratio(request.group(), role);
        let excess = (overload - SHEDDING_START) / (SHEDDING_COMPLETE - SHEDDING_START);
        let primary_only = self.is_primary_only(request.class());
        let (mut total_weight, mut total_work) = (0.0, 0.0);
        for (index, class) in self.settings.classes.iter().enumerate() {
            let id = ClassId(index);
            let is_competing = self.is_primary_only(id) == primary_only;
            let weight = if is_competing { self.demand.of_class(self.now, id) } else { 0.0 };
            total_weight += weight;
            total_work += weight * self.latency.of(id).mean().0 / class.priority_weight.max(f64::EPSILON);
        }
        chance * self.priority_density(request) * total_work < excess * total_weight
    }

    /// Whether only the primary serves the requests of a class. Classes compete only with classes for which
    /// this is the same.
    fn is_primary_only(&self, class: ClassId) -> bool {
        matches!(
            self.settings.classes[class.0].operation,
            Operation::Write | Operation::Read(Consistency::Strong)
        )
    }

    /// The priority weight of a request per microsecond of work. It is reduced for a tenant whose demand
    /// exceeds its share of all quotas.
    pub(super) fn priority_density(&self, request: &PendingRequest) -> f64 {
        let density = self.class_priority_density(request.class());
        let tenants = &self.settings.tenants;
        let Some(tenant) = request.tenant().filter(|tenant| tenant.0 < tenants.len()) else {
            return density;
        };
        let all_demand = self.demand.of_all_classes(self.now);
        let all_quotas: f64 = tenants.iter().map(|tenant| tenant.quota).sum();
        let fair_demand = tenants[tenant.0].quota / all_quotas * all_demand;
        let within_quota = (fair_demand / self.demand.of_tenant(self.now, tenant)).min(1.0);
        density * (within_quota + (1.0 - within_quota) * self.settings.over_quota_weight)
    }

    /// The priority density of a class. It is raised for the worst-served class, by the operators' objective
    /// weights, since a surge of the other classes would otherwise starve that class.
    fn class_priority_density(&self, class: ClassId) -> f64 {
        let weights = &self.settings.objective_weights;
        let demand = self.demand.of_class(self.now, class);
        let mut extra = 0.0;
        if demand > 0.0 && self.demand.is_worst_served(self.now, class) {
            let all_demand = self.demand.of_all_classes(self.now);
            extra = weights.worst_class / weights.overall.max(f64::EPSILON) * all_demand / demand;
        }
        let priority_weight = self.settings.classes[class.0].priority_weight;
        priority_weight / self.latency.of(class).positive_mean().0 * (1.0 + extra)
    }
}
