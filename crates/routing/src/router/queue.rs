//! Queues of requests that wait until an endpoint of their group can take them, and the schedule by which
//! queues are dispatched again.

use super::requests::PendingRequest;
use crate::{GroupId, RequestId, Timestamp};
use std::collections::BTreeSet;

/// An entry of a queue, ordered by arrival and then by identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedRequest {
    arrived_at: Timestamp,
    id: RequestId,
}

impl From<&PendingRequest> for QueuedRequest {
    fn from(request: &PendingRequest) -> Self {
        Self { arrived_at: request.arrived_at(), id: request.id() }
    }
}

/// The queued requests of a group, in the order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestQueue {
    queued: BTreeSet<QueuedRequest>,
}

impl RequestQueue {
    /// Adds a request, unless it is queued already.
    pub(super) fn insert(&mut self, request: &PendingRequest) {
        self.queued.insert(request.into());
    }

    /// Removes a request if it is queued.
    pub(super) fn remove(&mut self, request: &PendingRequest) {
        self.queued.remove(&request.into());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// The identifiers of the queued requests, in the order of arrival.
    pub(super) fn requests(&self) -> impl Iterator<Item = RequestId> {
        self.queued.iter().map(|queued| queued.id)
    }
}

/// The groups whose queues are dispatched with the current event and with the next sweep.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueSchedule {
    groups_for_next_sweep: BTreeSet<GroupId>,
    due_groups: BTreeSet<GroupId>,
}

impl QueueSchedule {
    /// Schedules a group's queue for the current event, which brought news of the group.
    pub(super) fn schedule_now(&mut self, group: GroupId) {
        self.due_groups.insert(group);
    }

    /// Schedules a group's queue for the next sweep, after a request was queued.
    pub(super) fn schedule_at_sweep(&mut self, group: GroupId) {
        self.groups_for_next_sweep.insert(group);
    }

    /// Starts a sweep: all groups scheduled for it become due.
    pub(super) fn start_sweep(&mut self) {
        self.due_groups.append(&mut self.groups_for_next_sweep);
    }

    /// Removes and returns the groups whose queues are due now.
    pub(super) fn take_due_groups(&mut self) -> BTreeSet<GroupId> {
        std::mem::take(&mut self.due_groups)
    }

    /// Whether any queue is scheduled for the next sweep.
    pub(super) fn needs_sweep(&self) -> bool {
        !self.groups_for_next_sweep.is_empty()
    }
}
