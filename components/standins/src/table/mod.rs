//! Stand-in for the transactional table service.

mod faults;
mod limits;
mod memory_table;
mod state;

pub use self::{
    faults::TableFaults,
    limits::{CallLimits, RateLimiter},
    memory_table::{MemoryTable, TableCounts},
    state::TableState,
};
