//! Traits for the platform's services: table, object store, host list and weight store.
//!
//! This crate does no network I/O. `client` implements the traits over HTTP and `standins`
//! implements them in memory.

mod commit;
mod commit_outcome;
mod error;
mod host_list;
mod key;
mod object_store;
mod precondition;
mod row;
mod table;
mod weight_store;
mod write;

pub use self::{
    commit::{COMMIT_MAX_WRITES, Commit},
    commit_outcome::CommitOutcome,
    error::PlatformError,
    host_list::{HostEntry, HostList, HostState},
    key::{KEY_MAX_BYTES, Key, KeyError},
    object_store::ObjectStore,
    precondition::Precondition,
    row::{Revision, Row, RowError},
    table::{Era, SCAN_MAX_ROWS, StoreTime, Table},
    weight_store::{WeightId, WeightStore},
    write::Write,
};
