//! Sending health checks: for the primary search of a group, and for the log positions of replicas.

use super::Router;
use super::load_balancing::LISTED_PRIMARY_TIMEOUT;
use crate::{Action, EndpointId, GroupId, TimeDelta, Timestamp};

/// The interval between health checks of one endpoint for the primary search. It only prevents two checks at
/// the same time; the search itself determines the interval between them.
const MIN_SEARCH_INTERVAL: TimeDelta = TimeDelta(1);

impl Router {
    /// Continues the primary search of a group. A router that knows nothing of the group checks the listed
    /// primary first, since the endpoint list is seldom wrong about it.
    pub(super) fn search_primary(&mut self, now: Timestamp, group: GroupId, actions: &mut Vec<Action>) {
        let view = self.view(now);
        let Some(known_group) = self.endpoints.group(group) else { return };
        let listed = view.unconfirmed_listed_primary(known_group).map(|endpoint| endpoint.id().clone());
        if let Some(listed) = listed {
            self.send_health_checks(now, &[listed], LISTED_PRIMARY_TIMEOUT, actions);
            return;
        }
        let (router_count, soft_removal) = (self.settings.router_count, self.settings.soft_removal);
        let due = self.endpoints.continue_primary_search(now, group, router_count, soft_removal);
        self.send_health_checks(now, &due, MIN_SEARCH_INTERVAL, actions);
    }

    /// Sends health checks to those of the endpoints that were sent none for `interval`, if the settings
    /// allow health checks.
    pub(super) fn send_health_checks(
        &mut self,
        now: Timestamp,
        endpoints: &[EndpointId],
        interval: TimeDelta,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.health_checks_allowed {
            return;
        }
        for id in endpoints {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            let is_due = now - endpoint.health_checked_at() >= interval;
            if is_due && endpoint.accepts_new_work(self.settings.soft_removal) {
                actions.push(Action::HealthCheck { endpoint: id.clone() });
                endpoint.record_health_check(now);
            }
        }
    }
}
