//! The status of every instance of every application in a registry, which is all that the registry's hash
//! code is computed from. After each successful poll, the hash code computed here is compared with the
//! registry's own. Performs no I/O.

use super::instance::{ActionType, Instance, InstanceStatus};
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};

/// The statuses of all instances that a registry holds, by application and instance id.
#[derive(Debug, Default)]
pub struct RegistryDigest {
    /// The keys are keyed hashes of application and instance id, made by `hasher`; 20,000 entries take up
    /// less than 1 MB.
    statuses: HashMap<u64, InstanceStatus>,
    /// The number of instances with each status, in the order of [`InstanceStatus::ALL`].
    counts: [usize; InstanceStatus::ALL.len()],
    hasher: RandomState,
}

/// The change that one instance makes to a digest. An entry takes up 16 bytes, so that a delta of many
/// instances is held cheaply until its end.
#[derive(Clone, Copy, Debug)]
pub struct DigestEntry {
    key: u64,
    /// `None` for a deleted instance.
    status: Option<InstanceStatus>,
}

impl RegistryDigest {
    /// Creates an empty digest with the same hasher, whose entries can be applied to this one.
    #[must_use]
    pub fn new_empty_like(&self) -> Self {
        Self { hasher: self.hasher.clone(), ..Self::default() }
    }

    /// The memory that the digest takes up, in bytes: the map's table has a control byte for each place.
    #[must_use]
    pub fn memory_size(&self) -> usize {
        self.statuses.capacity() * (size_of::<(u64, InstanceStatus)>() + 1)
    }

    /// Creates the entry for an instance read from a body.
    #[must_use]
    pub fn entry(&self, instance: &Instance) -> DigestEntry {
        let key = self.hasher.hash_one((instance.app.to_ascii_uppercase(), &instance.id));
        let is_deleted = instance.action == ActionType::Deleted;
        DigestEntry { key, status: (!is_deleted).then_some(instance.status) }
    }

    /// Applies an entry, at a cost that does not depend on the number of instances.
    pub fn apply(&mut self, entry: DigestEntry) {
        let replaced = match entry.status {
            None => self.statuses.remove(&entry.key),
            Some(status) => {
                self.counts[status_index(status)] += 1;
                self.statuses.insert(entry.key, status)
            }
        };
        if let Some(status) = replaced {
            self.counts[status_index(status)] -= 1;
        }
    }

    /// Computes the hash code as Eureka does: each status that occurs, in alphabetical order, with its count.
    #[must_use]
    pub fn hash_code(&self) -> String {
        let mut hash_code = String::new();
        for (status, count) in InstanceStatus::ALL.iter().zip(self.counts).filter(|(_, count)| *count > 0) {
            let _ = write!(hash_code, "{}_{count}_", status.name());
        }
        hash_code
    }
}

fn status_index(status: InstanceStatus) -> usize {
    InstanceStatus::ALL.iter().position(|other| *other == status).unwrap_or(0)
}
