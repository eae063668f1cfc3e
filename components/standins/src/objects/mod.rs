//! Stand-in for the object store.

mod memory_objects;

pub use self::memory_objects::MemoryObjects;
