//! Requests that wait until an endpoint can take them, by group, and the groups whose queues are to be tried
//! again.

use super::requests::PendingRequest;
use crate::{GroupId, RequestId, Timestamp};
use std::collections::BTreeSet;

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

/// The queue of a group, in the order of arrival.
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

    /// Whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// The queued requests, in the order of arrival.
    pub(super) fn requests(&self) -> impl Iterator<Item = RequestId> {
        self.queued.iter().map(|queued| queued.id)
    }
}

/// Which groups' queues are to be tried, now and with the next sweep.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueSchedule {
    groups_with_queue: BTreeSet<GroupId>,
    groups_to_retry: BTreeSet<GroupId>,
}

impl QueueSchedule {
    /// Something new is known of a group: its queue is tried with this event.
    pub(super) fn retry(&mut self, group: GroupId) {
        self.groups_to_retry.insert(group);
    }

    /// A request of a group is queued: the queue is tried with the next sweep.
    pub(super) fn retry_at_sweep(&mut self, group: GroupId) {
        self.groups_with_queue.insert(group);
    }

    /// A sweep begins: all groups that wait for it are tried.
    pub(super) fn start_sweep(&mut self) {
        self.groups_to_retry.append(&mut self.groups_with_queue);
    }

    /// The groups whose queues are tried now.
    pub(super) fn take_groups_to_retry(&mut self) -> BTreeSet<GroupId> {
        std::mem::take(&mut self.groups_to_retry)
    }

    /// Whether the next sweep has queues to try.
    pub(super) fn needs_sweep(&self) -> bool {
        !self.groups_with_queue.is_empty()
    }
}
