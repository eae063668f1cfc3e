//! Prepaid tokens: each router draws a part of an account's tokens from the store and spends only
//! those.
//!
//! An account's row in the store counts the tokens that all routers have drawn. Drawn tokens belong
//! to one router until it spends, lends or returns them. In a large fleet only a few routers, the
//! holders, draw tokens; the others borrow from them. When few tokens of an account are left, only
//! one holder draws them, so that they are not split into parts that are too small for any request.
//!
//! Each router's own row declares the tokens that it holds and a ceiling that grows with time: how
//! many of them it may spend or lend before its next declaration. After a crash, the router's next
//! process takes over the tokens above the ceiling. While the store is unavailable, the router sends its declarations
//! to other routers, its witnesses.
//!
//! If the store comes back from an older copy, no tokens are drawn until the routers have told what
//! they know of the lost draws; see `recovery`.

mod account;
mod book;
mod ceiling;
mod holders;
mod recovery;
mod rows;
mod witness;

pub use self::{
    account::{AccountAllowance, HolderStatement, TokenLedger},
    book::{CommitInputs, DrawNotice, LoanStep, Reservation, RouterAllowances, Shortage, Stage},
    ceiling::{CAP_TIME, UNWITNESSED_TIME},
    holders::{HOLDERS_MAX, HolderCandidate, Role, choose_holders, sole_holder},
    recovery::{
        OLDER_COPY_MAX_AGE, RECOVERY_PREFIX, RecoveryDecision, RecoveryReport, RecoveryRow,
    },
    rows::{ACCOUNT_PREFIX, AllowanceRow, CommitId, HOLDINGS_PREFIX, Holding, HoldingsRow},
    witness::{
        RouterProcess, RouterProcessError, WitnessDeclaration, WitnessRecords, WitnessStatement,
    },
};
