//! Hash collections with a fast hasher.
//!
//! Keys come from checked configuration or are short ids, so that resistance to
//! crafted collisions is not needed.

pub use rustc_hash::FxBuildHasher;

/// Hash map with the fast hasher of this project.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the fast hasher of this project.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
