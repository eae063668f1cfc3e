//! Declarations to another router while the store is away.
//!
//! A router declares to its witness how many tokens it keeps for certain. Its next process
//! asks the witness for them where the store's row is too old to tell.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use utils::HashMap;

/// Records that a witness keeps at most: far more than a fleet has processes in a day.
const RECORDS_MAX: usize = 16_384;

/// A process of a router.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouterProcess {
    /// Name of the router.
    pub router: Arc<str>,
    /// Its process.
    pub process: u64,
}

/// What a router declares to its witness.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WitnessDeclaration {
    /// Number of the declaration, counted within the process.
    pub number: u64,
    /// Number of the last commit that the process had sent to the store. Rows of later
    /// commits replace the declaration.
    pub last_commit: u64,
    /// Tokens that the process keeps, by account; none where an account is missing.
    pub kept: BTreeMap<Arc<str>, u64>,
}

/// A witness's answer about a process that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WitnessStatement {
    /// The process declared nothing.
    Nothing,
    /// The last declaration of the process.
    Declared(WitnessDeclaration),
    /// The witness may have forgotten a declaration.
    Forgotten,
}

/// Declarations that a router keeps for others.
#[derive(Debug, Default)]
pub struct WitnessRecords {
    records: HashMap<RouterProcess, WitnessDeclaration>,
    /// Whether a declaration was refused for want of room.
    is_full: bool,
}

impl WitnessRecords {
    /// Keeps a declaration; false where there is no room for it. An older one than the
    /// declaration that is kept changes nothing.
    pub fn keep(&mut self, declarer: RouterProcess, declaration: WitnessDeclaration) -> bool {
        if let Some(kept) = self.records.get_mut(&declarer) {
            if kept.number < declaration.number {
                *kept = declaration;
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

    /// Tells what a process has declared.
    pub fn statement(&self, declarer: &RouterProcess) -> WitnessStatement {
        match self.records.get(declarer) {
            Some(declaration) => WitnessStatement::Declared(declaration.clone()),
            None if self.is_full => WitnessStatement::Forgotten,
            None => WitnessStatement::Nothing,
        }
    }
}
