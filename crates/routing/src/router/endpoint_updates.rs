//! Applies updates of the endpoint list, which determine the endpoints, their lifecycle states and start
//! times. The primary that the list names is only a hint: what the endpoints report themselves takes
//! precedence.

use super::Router;
use super::concurrency::ConcurrencyLimit;
use super::slow_start::ListedStart;
use crate::{EndpointEntry, EndpointUpdate, Timestamp};

impl Router {
    /// Applies an update of the endpoint list.
    pub(super) fn on_endpoint_update(&mut self, now: Timestamp, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Snapshot(entries) => {
                let listed = entries.iter().map(|entry| entry.endpoint.clone()).collect();
                self.update_endpoints(now, &entries);
                self.endpoints.remove_unlisted(&listed);
            }
            EndpointUpdate::Delta(entries) => self.update_endpoints(now, &entries),
            EndpointUpdate::PollFailed => self.timers.retry_poll(now),
            EndpointUpdate::Evicted(endpoints) => self.endpoints.evict(endpoints),
        }
    }

    fn update_endpoints(&mut self, now: Timestamp, entries: &[EndpointEntry]) {
        let is_first = !std::mem::replace(&mut self.has_endpoint_list, true);
        let initial_limit = ConcurrencyLimit::initial(self.settings.router_count);
        for entry in entries {
            self.queue_schedule.schedule_now(entry.group);
            let initial_tokens = self.random.unit_interval();
            let endpoint = self.endpoints.upsert(entry, initial_limit);
            if let Some(fleet_time) = entry.started_at {
                let start = ListedStart { fleet_time, is_recent: !is_first, initial_tokens };
                endpoint.observe_listed_start(now, start, &self.clock);
            }
        }
    }
}
