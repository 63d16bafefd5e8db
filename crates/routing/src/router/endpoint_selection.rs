//! Selects the endpoint for a request and sends the health checks that the selection requires.

use super::Router;
use super::load_balancing::ReadRandomness;
use crate::{Action, Consistency, EndpointId, Operation, RequestId, StaleReadPolicy, TimeDelta, Timestamp};

impl Router {
    /// Selects the endpoint for a read and sends the health checks of the selection. If no endpoint can take
    /// the read and no primary is confirmed, the search for the primary continues.
    pub(super) fn select_for_read(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let index_seed = self.random.index_seed();
        let randomness = ReadRandomness { index_seed, chance: self.random.unit_interval() };
        let trusts_clock = self.trusts_clock(now, id);
        let request = self.requests.get(id)?;
        let group = request.group();
        let budget = &self.health_check_budget;
        let selection = self.view(now).select_for_read(request, randomness, trusts_clock, budget)?;
        if let Some(endpoint) = selection.passed_over.and_then(|id| self.endpoints.get_mut(&id)) {
            endpoint.read_trials.record_passed_over();
        }
        self.health_check_budget.withdraw(selection.health_checks.len());
        self.send_health_checks(now, &selection.health_checks, TimeDelta::ZERO, actions);
        if selection.endpoint.is_none() && self.view(now).confirmed_primary(group).is_none() {
            self.search_primary(now, group, actions);
        }
        selection.endpoint
    }

    /// Whether the clock is reliable enough to determine the age of data for a request. A router that has
    /// just started knows the fleet's time from its own clock alone. If there is a listed primary, which is
    /// health-checked in any case, the router waits a moment for it to confirm the clock.
    fn trusts_clock(&mut self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return true };
        let view = self.view(now);
        let is_bounded =
            matches!(view.operation_of(request), Operation::Read(Consistency::BoundedStaleness(_)));
        let sends_health_checks =
            self.settings.health_checks_allowed && self.settings.stale_read_policy == StaleReadPolicy::Serve;
        if !is_bounded || !sends_health_checks || self.clock.is_confirmed() {
            return true;
        }
        !view.has_listed_primary(request.group()) || self.clock.has_confirmation_wait_expired(now)
    }

    /// Selects the believed primary if it has room. While no primary is confirmed, and the primary is unknown
    /// or the believed one seems to be down, the write waits and the search for the primary continues.
    pub(super) fn select_for_write(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let request = self.requests.get(id)?;
        let group_id = request.group();
        let selection = self.view(now).select_for_write(request)?;
        let group_primary = &mut self.endpoints.group_mut(group_id)?.primary;
        group_primary.believe(selection.primary.clone());
        if selection.has_exhausted_candidates {
            group_primary.mark_unknown();
        }
        let is_unknown = group_primary.is_unknown();
        let view = self.view(now);
        let primary = self.endpoints.get(&selection.primary)?;
        if !selection.is_confirmed && (is_unknown || view.is_suspect(primary)) {
            self.search_primary(now, group_id, actions);
            return None;
        }
        view.has_room(primary).then_some(selection.primary)
    }
}
