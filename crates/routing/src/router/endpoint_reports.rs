//! Updates the fleet clock, log positions and role evidence from response metadata and from the load reports
//! of attempts and health checks.

use super::Router;
use super::load_report::LoadReport;
use crate::{EndpointId, ResponseMetadata, Role, TimeDelta, Timestamp};

impl Router {
    /// Records the metadata of a response to an attempt that was sent `elapsed` ago.
    pub(super) fn record_metadata(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        metadata: ResponseMetadata,
        elapsed: TimeDelta,
        is_write: bool,
    ) {
        let is_primary = metadata.role == Some(Role::Primary);
        let position = self.record_position(now, metadata, elapsed, is_write && is_primary);
        let present = self.clock.to_fleet_time(now);
        let is_confirmed = self.clock.is_confirmed();
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        // The response to a write carries the position of its commit. Only a primary commits, so a
        // position in a replica's response to a write is none that the replica has applied.
        let applied = position.filter(|_| !is_write || is_primary);
        if let Some(position) = applied {
            endpoint.freshness.observe_response(now, position);
        }
        match metadata.role {
            Some(Role::Primary) => {
                let sent_at = present - elapsed;
                // A primary has applied the log up to the time at which the attempt was sent. An unconfirmed
                // clock may be wrong about that time.
                if is_confirmed {
                    endpoint.freshness.raise_position(sent_at);
                }
                self.record_primary(now, id, sent_at.max(applied.unwrap_or(sent_at)));
            }
            Some(Role::Replica) => endpoint.role_evidence.observe_replica_response(present),
            None => {}
        }
    }

    /// Updates the fleet clock from the position in a response, and returns the position if it is valid.
    fn record_position(
        &mut self,
        now: Timestamp,
        metadata: ResponseMetadata,
        elapsed: TimeDelta,
        is_commit: bool,
    ) -> Option<Timestamp> {
        let was_confirmed = self.clock.is_confirmed();
        let position = metadata.position.filter(|position| self.clock.observe_position(now, *position));
        if let Some(commit) = position.filter(|_| is_commit)
            && self.clock.observe_commit(now, commit, elapsed)
        {
            self.on_clock_set_back(now);
        }
        self.on_clock_observed(now, was_confirmed);
        position
    }

    /// Records a load report from the response to an attempt or a health check that was sent `elapsed` ago.
    pub(super) fn record_load_report(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        values: &[f64],
        elapsed: TimeDelta,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let report = LoadReport::decode(&self.settings, values);
        let Some(position) = report.position else { return };
        if !self.clock.observe_position(now, position) {
            return;
        }
        endpoint.freshness.observe_report(now, position);
        self.queue_schedule.schedule_now(endpoint.group());
        match report.role {
            Some(Role::Primary) => {
                let was_confirmed = self.clock.is_confirmed();
                self.clock.observe_primary_position(now, position, elapsed);
                self.on_clock_observed(now, was_confirmed);
                self.record_primary(now, id, position);
            }
            Some(Role::Replica) => endpoint.role_evidence.observe_replica(position),
            None => {}
        }
    }

    fn on_clock_observed(&mut self, now: Timestamp, was_confirmed: bool) {
        if !was_confirmed && self.clock.is_confirmed() {
            self.endpoints.recompute_listed_starts(now, &self.clock);
        }
    }

    fn on_clock_set_back(&mut self, now: Timestamp) {
        let present = self.clock.to_fleet_time(now);
        self.endpoints.cap_times(present);
        self.session_tokens.cap_low_watermark(present);
        self.endpoints.recompute_listed_starts(now, &self.clock);
        self.log.set("the fleet clock was ahead and has been set back".to_owned());
    }

    /// Records that an endpoint was the primary at `at`, on the fleet clock. It becomes the believed primary
    /// unless there is later evidence for another endpoint.
    fn record_primary(&mut self, now: Timestamp, id: &EndpointId, at: Timestamp) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.role_evidence.observe_primary(at);
        let group_id = endpoint.group();
        let other = self.endpoints.believed_primary(group_id).filter(|believed| believed.id() != id);
        let other_primary_at =
            other.map_or(Timestamp::DISTANT_PAST, |other| other.role_evidence.primary_at());
        let Some(group) = self.endpoints.group_mut(group_id) else { return };
        if at > other_primary_at {
            if group.primary.is_unknown() || group.primary.believed() != Some(id) {
                self.log.set(format!("group {}: primary confirmed at {}", group_id.0, id.0));
            }
            group.primary.believe(id.clone());
        }
        self.queue_schedule.schedule_now(group_id);
        if self.view(now).confirmed_primary(group_id).is_some()
            && let Some(group) = self.endpoints.group_mut(group_id)
        {
            group.primary.mark_known();
        }
    }
}
