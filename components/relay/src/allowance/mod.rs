//! Prepaid tokens: each router draws part of an account's tokens and spends only those.
//!
//! The row of an account says how many tokens were drawn in all. Drawn tokens belong to one
//! router until it spends or returns them; those of a router that is lost count as spent.

mod account;
mod book;
mod row;

pub use self::{
    account::AccountAllowance,
    book::{AllowanceBook, Reservation, Shortage},
    row::{AllowanceRow, KEY_PREFIX, Mark},
};
