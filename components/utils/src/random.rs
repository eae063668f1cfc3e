//! Random numbers. Decision logic gets its generator as an argument.

use std::time::Duration;

use rand::{Rng as _, SeedableRng};

/// Random number generator that yields the same sequence for the same seed on every
/// machine.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Creates a generator that yields the same sequence for the same `seed`.
pub fn seeded_rng(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

/// Creates a generator seeded by the operating system.
pub fn new_rng() -> Rng {
    Rng::from_os_rng()
}

/// Returns a random duration, uniformly distributed from 50% to 150% of `base`.
pub fn jitter(base: Duration, rng: &mut Rng) -> Duration {
    base.mul_f64(rng.random_range(0.5..1.5))
}

#[cfg(test)]
#[path = "random_tests.rs"]
mod tests;
