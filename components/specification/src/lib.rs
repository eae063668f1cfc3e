//! State-machine specifications of the core protocols, explored exhaustively by the tests.
//!
//! Each specification defines an initial state, the possible successors of a state, and
//! invariants that must hold in every state. A step is one action of a router, an endpoint, an
//! operator or the table. Steps happen in any order: a paused router is one whose next step
//! happens late, and a lost message is one that is never delivered.

pub mod budgets;
mod explore;
pub mod intent;

pub use self::explore::{Exploration, Specification, explore};
