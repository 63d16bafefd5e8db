//! The random numbers of a router. Their order is part of its behaviour: a seed and the same events give the
//! same decisions.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// A seeded generator.
#[derive(Clone, Debug)]
pub(super) struct RandomSource(ChaCha8Rng);

impl RandomSource {
    /// A generator with a seed.
    pub(super) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number to pick an index by.
    pub(super) fn index_seed(&mut self) -> usize {
        self.0.next_u32() as usize
    }

    /// A number between 0 and 1, both included.
    pub(super) fn unit_interval(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }
}
