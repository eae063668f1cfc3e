//! Budgets and bills: rows of the table and the decisions over them.
//!
//! This crate decides only; it has no network code.

mod bill;
mod budget_row;
mod settle_outcome;

pub use self::{
    bill::{Bill, bill_key},
    budget_row::{BudgetRow, budget_key},
    settle_outcome::SettleOutcome,
};
