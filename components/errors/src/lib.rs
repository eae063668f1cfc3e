//! All kinds of errors, and the table that maps each kind to its answer.

mod answer;
mod error;
mod kind;
mod ran;
mod table;

pub use self::{
    answer::{ErrorAnswer, ErrorDetail},
    error::{Error, Result},
    kind::ErrorKind,
    ran::Ran,
    table::{ErrorEntry, entry_of},
};
