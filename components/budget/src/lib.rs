//! Budget and bill rows of the platform's table, and the logic that updates them.
//!
//! [`Ledger`] handles the budgets of all client accounts on one router. This crate contains
//! decision logic only: it does no I/O and never reads the clock. The rules are described in
//! `docs/design/budgets.md`.

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
