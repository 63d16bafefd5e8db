//! What a registry holds in all, as far as its hash code needs: the status of each instance of each application. After
//! a delta the hash code computed from it is compared with the registry's own. No I/O.

use super::instance::{ActionType, Instance, InstanceStatus};
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};

/// The statuses of all instances that a registry holds, by application and id.
#[derive(Debug, Default)]
pub struct RegistryDigest {
    /// By a keyed hash of application and id: 20,000 of them take up less than 1 MB.
    statuses: HashMap<u64, InstanceStatus>,
    /// How many instances have each status, in the order of [`InstanceStatus::ALL`].
    counts: [usize; InstanceStatus::ALL.len()],
    hasher: RandomState,
}

/// An instance as far as a digest needs it: 16 bytes, so that a delta of many is held cheaply until its end.
#[derive(Clone, Copy, Debug)]
pub struct DigestEntry {
    key: u64,
    /// `None` for an instance that was deleted.
    status: Option<InstanceStatus>,
}

impl RegistryDigest {
    /// An empty digest whose entries can be applied to this one.
    #[must_use]
    pub fn new_empty_like(&self) -> Self {
        Self { hasher: self.hasher.clone(), ..Self::default() }
    }

    /// The entry of an instance as a body names it.
    #[must_use]
    pub fn entry(&self, instance: &Instance) -> DigestEntry {
        let key = self.hasher.hash_one((instance.app.to_ascii_uppercase(), &instance.id));
        let is_deleted = instance.action == ActionType::Deleted;
        DigestEntry { key, status: (!is_deleted).then_some(instance.status) }
    }

    /// Applies an entry. The cost does not depend on the number of instances.
    pub fn apply(&mut self, entry: DigestEntry) {
        let replaced = match entry.status {
            None => self.statuses.remove(&entry.key),
            Some(status) => {
                self.counts[index_of(status)] += 1;
                self.statuses.insert(entry.key, status)
            }
        };
        if let Some(status) = replaced {
            self.counts[index_of(status)] -= 1;
        }
    }

    /// The hash code as Eureka computes it: the statuses in alphabetical order, each with its count.
    #[must_use]
    pub fn hash_code(&self) -> String {
        let mut hash_code = String::new();
        for (status, count) in InstanceStatus::ALL.iter().zip(self.counts).filter(|(_, count)| *count > 0) {
            let _ = write!(hash_code, "{}_{count}_", status.name());
        }
        hash_code
    }
}

fn index_of(status: InstanceStatus) -> usize {
    InstanceStatus::ALL.iter().position(|other| *other == status).unwrap_or(0)
}
