//! Budgets and bills: rows of the table and the decisions over them.
//!
//! [`Ledger`] is a router's side of all its accounts. This crate decides only; it has no
//! network code and reads no clock. The rules are in `docs/design/budgets.md`.

mod account;
mod action;
mod bill;
mod budget_row;
mod event;
mod grant_row;
mod held_bill;
mod in_doubt;
mod ledger;
mod peer;
mod settings;
mod settle_outcome;
mod snapshot;
mod spend_rate;

pub use self::{
    action::Action,
    bill::{Bill, bill_key},
    budget_row::{BudgetRow, budget_key},
    event::{Answer, CallId, Event, ReservationId, Ticket},
    grant_row::{GrantRow, grant_key, grant_prefix},
    held_bill::HeldBill,
    in_doubt::{InDoubt, ResolveError, list_in_doubt, resolve_in_doubt},
    ledger::Ledger,
    peer::BudgetPeer,
    settings::{BudgetSettings, GrantRecoveryPolicy, GrantSize},
    settle_outcome::SettleOutcome,
    snapshot::AccountSnapshot,
};
