//! The memory that the known endpoints take up, in the membership table and in the router.

use std::ops::{AddAssign, SubAssign};

/// The memory of one endpoint without its names, in bytes: its record in the table, and its state in the router.
const ENDPOINT_SIZE: usize = 900;

/// The memory of one record.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecordMemory {
    size: usize,
    is_removed: bool,
}

impl RecordMemory {
    /// The memory of a record whose names have this length in bytes. A removed endpoint can be evicted for others.
    pub(super) fn new(names: usize, is_removed: bool) -> Self {
        Self { size: ENDPOINT_SIZE + names, is_removed }
    }
}

/// The memory of all records, and its limit, in bytes.
#[derive(Debug)]
pub(super) struct MemoryUsage {
    limit: usize,
    /// The memory of the endpoints that are not removed, and that of the removed ones.
    listed: usize,
    removed: usize,
}

impl MemoryUsage {
    /// No memory, of which at most `limit` bytes may be used.
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, listed: 0, removed: 0 }
    }

    /// Whether another record fits once removed endpoints have been evicted for it.
    pub(super) fn has_room_for(&self, record: RecordMemory) -> bool {
        self.listed.saturating_add(record.size) <= self.limit
    }

    /// Whether removed endpoints have to be evicted.
    pub(super) fn is_exceeded(&self) -> bool {
        self.total() > self.limit
    }

    /// The memory of all records.
    pub(super) fn total(&self) -> usize {
        self.listed + self.removed
    }

    fn part_of(&mut self, record: RecordMemory) -> &mut usize {
        if record.is_removed { &mut self.removed } else { &mut self.listed }
    }
}

impl AddAssign<RecordMemory> for MemoryUsage {
    fn add_assign(&mut self, record: RecordMemory) {
        *self.part_of(record) += record.size;
    }
}

impl SubAssign<RecordMemory> for MemoryUsage {
    fn sub_assign(&mut self, record: RecordMemory) {
        *self.part_of(record) -= record.size;
    }
}
