//! Small specifications of the core protocol, explored exhaustively by its tests.
//!
//! Each specification has a state, the steps that may follow it, and what must hold in
//! every state. A step stands for one action of one router, endpoint, operator or of the
//! table; steps follow each other in any order, so that a paused router is one whose next
//! step comes late, and a lost message is one that is never delivered.

pub mod budgets;
mod explore;
pub mod intent;

pub use self::explore::{Exploration, Specification, explore};
