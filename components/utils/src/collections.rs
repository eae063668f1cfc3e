//! Hash collections with a fast hasher.
//!
//! Keys come from validated configuration or are short ids, so resistance to crafted
//! collisions is not needed.

pub use rustc_hash::FxBuildHasher;

/// Hash map with the Fx hasher, which does not resist crafted collisions.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the Fx hasher, which does not resist crafted collisions.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
