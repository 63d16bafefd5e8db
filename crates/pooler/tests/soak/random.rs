//! A random number generator that threads share.

use std::sync::atomic::{AtomicU64, Ordering};

/// An xorshift generator; numbers may repeat if threads draw at the same time.
pub struct SharedRandom {
    state: AtomicU64,
}

impl SharedRandom {
    pub fn new(seed: u64) -> Self {
        Self { state: AtomicU64::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1) }
    }

    /// Returns a number from 0 to below `bound`.
    pub fn below(&self, bound: u64) -> u64 {
        let mut state = self.state.load(Ordering::Relaxed);
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.state.store(state, Ordering::Relaxed);
        (state >> 11) % bound
    }
}
