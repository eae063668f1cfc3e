//! Knowledge of this router's grant row.

use platform::{Revision, Row};
use types::Tokens;

use super::Account;
use crate::GrantRow;

/// Effects of a commit on the grant row whose outcome is not known.
///
/// The commit can still take effect only while the row has the revision `base`.
#[derive(Debug, Clone)]
pub(super) struct UnconfirmedCommit {
    /// Revision that the commit requires of the row; `None` where it requires that there
    /// is none.
    pub(super) base: Option<Revision>,
    /// Tokens that it returns to the account.
    pub(super) returning: Tokens,
    /// Ceiling that holds after it, where it changes the witness.
    pub(super) ceiling: Option<Tokens>,
}

impl Account {
    /// Returns the tokens that are on their way back to the account.
    pub(super) fn returning(&self) -> Tokens {
        self.unconfirmed.iter().map(|it| it.returning).max().unwrap_or_default()
    }

    /// Returns the highest amount that may leave the row in all, under every outcome of
    /// the open commits.
    pub(super) fn ceiling_limit(&self) -> Tokens {
        let acknowledged = match self.row.witness {
            Some(_) => self.ceiling,
            None => Tokens(u64::MAX),
        };
        let pending = self.unconfirmed.iter().filter_map(|it| it.ceiling);
        pending.fold(acknowledged, Tokens::min)
    }

    /// Takes over the grant row as it was read.
    pub(super) fn adopt_row(&mut self, read: Option<(GrantRow, Revision)>) {
        let (row, revision) = match read {
            Some((row, revision)) => (row, Some(revision)),
            // A vanished row takes its tokens along, but its counters stay in force.
            None => (GrantRow { unspent: Tokens::ZERO, ..self.row.clone() }, None),
        };
        self.unconfirmed.retain(|it| it.base == revision);
        self.set_row(row, revision);
    }

    /// Takes over the grant row as this router has committed it.
    pub(super) fn adopt_committed(&mut self, row: GrantRow, revision: Option<Revision>) {
        self.unconfirmed.clear();
        self.set_row(row, revision);
    }

    fn set_row(&mut self, row: GrantRow, revision: Option<Revision>) {
        if row.epoch == self.row.epoch {
            self.ceiling = self.ceiling.max(row.ceiling);
        } else {
            self.ceiling = row.ceiling;
        }
        self.row = row;
        self.revision = revision;
    }
}

/// Reads a row as a grant row of `expected`.
pub(super) fn decode_grant(
    row: Option<&Row>,
    expected: &types::RouterId,
) -> Result<Option<(GrantRow, Revision)>, String> {
    let Some(row) = row else { return Ok(None) };
    let grant: GrantRow = row.decode().map_err(|error| error.to_string())?;
    if grant.router != *expected {
        return Err(format!("row {} is of router {}", row.key, grant.router));
    }
    Ok(Some((grant, row.revision)))
}
