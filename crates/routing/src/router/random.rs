//! The router's random number generator. The order of draws is part of the router's behaviour: the same seed
//! and events give the same decisions.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// A seeded generator of reproducible random numbers.
#[derive(Clone, Debug)]
pub(super) struct RandomSource(ChaCha8Rng);

impl RandomSource {
    pub(super) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Draws a 32-bit number, from which an index is computed modulo the number of candidates.
    pub(super) fn index_seed(&mut self) -> usize {
        self.0.next_u32() as usize
    }

    /// Draws a number between 0 and 1, both inclusive.
    pub(super) fn unit_interval(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }
}
