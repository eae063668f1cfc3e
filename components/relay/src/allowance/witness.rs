//! Declarations to other routers while the store is unavailable.
//!
//! A router declares to its witnesses how many tokens it will neither spend nor lend before its
//! next declaration. Its next process asks the witnesses for these numbers if the router's row in
//! the store is too old to rely on.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use utils::HashMap;

/// Maximum number of declarations that a witness stores: far more than the number of processes that
/// a fleet has in a day.
const RECORDS_MAX: usize = 16_384;

/// One process of a router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterProcess {
    /// Name of the router.
    pub router: Arc<str>,
    /// Number of the process, chosen at random at its start.
    pub process: u64,
}

impl fmt::Display for RouterProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.router, self.process)
    }
}

/// Error for a text that does not identify a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a process is written as NAME/NUMBER, with the number in hexadecimal")]
pub struct RouterProcessError;

impl FromStr for RouterProcess {
    type Err = RouterProcessError;

    fn from_str(text: &str) -> Result<RouterProcess, RouterProcessError> {
        let (router, process) = text.rsplit_once('/').ok_or(RouterProcessError)?;
        let process = u64::from_str_radix(process, 16).map_err(|_| RouterProcessError)?;
        Ok(RouterProcess { router: router.into(), process })
    }
}

/// The declaration that a router sends to its witnesses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WitnessDeclaration {
    /// Number of the declaration, counted within the process.
    pub number: u64,
    /// Number of the last commit that the process had sent to the store. A row written by a later
    /// commit supersedes the declaration.
    pub last_commit: u64,
    /// Tokens that the process will neither spend nor lend before its next declaration, by account;
    /// zero for an account that is missing. Does not include `returning`.
    pub kept: BTreeMap<Arc<str>, u64>,
    /// Tokens that the commit `last_commit` returns to the accounts' rows. They are unspent, and still
    /// the process's own if that commit does not take effect.
    pub returning: BTreeMap<Arc<str>, u64>,
}

impl WitnessDeclaration {
    /// Returns the tokens of an account that are unspent and belong to the process, if the last of its
    /// commits that took effect has this number.
    pub fn kept_after(&self, commit: u64, account: &str) -> u64 {
        let returning = self.returning.get(account).filter(|_| commit < self.last_commit);
        self.kept.get(account).copied().unwrap_or_default() + returning.copied().unwrap_or_default()
    }
}

/// A witness's answer about a process that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WitnessStatement {
    /// The process declared nothing to this witness.
    Nothing,
    /// The last declaration of the process.
    Declared(WitnessDeclaration),
    /// The witness has refused declarations for lack of room, so one of this process may be
    /// missing.
    Forgotten,
}

/// The declarations of other routers that this router stores as their witness.
#[derive(Debug, Default)]
pub struct WitnessRecords {
    records: HashMap<RouterProcess, WitnessDeclaration>,
    /// Whether a declaration was refused for lack of room.
    is_full: bool,
}

impl WitnessRecords {
    /// Stores a declaration; returns false if there is no room for it. A declaration that is not
    /// newer than the stored one is ignored.
    pub fn store(&mut self, declarer: RouterProcess, declaration: WitnessDeclaration) -> bool {
        if let Some(stored) = self.records.get_mut(&declarer) {
            if stored.number < declaration.number {
                *stored = declaration;
            }
            return true;
        }
        if self.records.len() >= RECORDS_MAX {
            self.is_full = true;
            return false;
        }
        self.records.insert(declarer, declaration);
        true
    }

    /// Returns what a process has declared.
    pub fn statement(&self, declarer: &RouterProcess) -> WitnessStatement {
        match self.records.get(declarer) {
            Some(declaration) => WitnessStatement::Declared(declaration.clone()),
            None if self.is_full => WitnessStatement::Forgotten,
            None => WitnessStatement::Nothing,
        }
    }
}
