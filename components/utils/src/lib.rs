//! Helpers that the crates share: collections, hashing and random numbers.

mod collections;
mod digest;
mod random;

pub use self::{
    collections::{FxBuildHasher, HashMap, HashSet},
    digest::{Digest, stable_hash},
    random::{Rng, jitter, new_rng, seeded_rng},
};
