//! Prepaid tokens: each router draws part of an account's tokens and spends only those.
//!
//! The row of an account says how many tokens were drawn in all. Drawn tokens belong to one
//! router until it spends, lends or returns them. In a large fleet few routers draw tokens,
//! the holders; the others borrow from them. Where few tokens of an account are left, only
//! one holder draws them, so that they are not split into parts that no request fits into. The row of a router declares what it holds
//! and how much of that may leave it before its next declaration, so that its next process
//! takes over the rest after a crash. While the
//! store is away it declares the same to other routers, its witnesses.

mod account;
mod book;
mod ceiling;
mod holders;
mod rows;
mod witness;

pub use self::{
    account::AccountAllowance,
    book::{CommitInputs, LoanStep, Reservation, RouterAllowances, Shortage, Stage},
    ceiling::BINDING_TIME,
    holders::{HOLDERS_MAX, HolderCandidate, Role, choose_holders, last_holder},
    rows::{ACCOUNT_PREFIX, AllowanceRow, HOLDINGS_PREFIX, Holding, HoldingsRow, Mark},
    witness::{RouterProcess, WitnessDeclaration, WitnessRecords, WitnessStatement},
};
