//! Last known state of this router's grant row.

use platform::{Revision, Row};
use types::Tokens;

use super::Account;
use crate::GrantRow;

/// Effects of a commit of the grant row whose outcome is not known.
///
/// The commit can still take effect only while the row has the revision `base`.
#[derive(Debug, Clone)]
pub(super) struct UnconfirmedCommit {
    /// Revision of the row that the commit requires; `None` if it requires that there is no row.
    pub(super) base: Option<Revision>,
    /// Tokens that the commit returns to the budget.
    pub(super) returning: Tokens,
    /// Ceiling after the commit, if it starts a new epoch.
    pub(super) ceiling: Option<Tokens>,
}

impl Account {
    /// Returns the tokens that are being returned to the budget: the maximum over all unconfirmed
    /// commits.
    pub(super) fn returning(&self) -> Tokens {
        self.unconfirmed.iter().map(|it| it.returning).max().unwrap_or_default()
    }

    /// Returns the highest total that may leave the row, whatever the outcome of the unconfirmed
    /// commits.
    pub(super) fn ceiling_limit(&self) -> Tokens {
        let acknowledged = match self.row.witness {
            Some(_) => self.ceiling,
            None => Tokens(u64::MAX),
        };
        let pending = self.unconfirmed.iter().filter_map(|it| it.ceiling);
        pending.fold(acknowledged, Tokens::min)
    }

    /// Replaces the known grant row with the one that was read.
    pub(super) fn adopt_row(&mut self, read: Option<(GrantRow, Revision)>) {
        let (row, revision) = match read {
            Some((row, revision)) => (row, Some(revision)),
            // The tokens of a deleted row are gone, but its counters remain valid.
            None => (GrantRow { unspent: Tokens::ZERO, ..self.row.clone() }, None),
        };
        self.unconfirmed.retain(|it| it.base == revision);
        self.set_row(row, revision);
    }

    /// Replaces the known grant row with the one that this router has committed.
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

/// Decodes a grant row and checks that it belongs to `expected`.
pub(super) fn decode_grant(
    row: Option<&Row>,
    expected: &types::RouterId,
) -> Result<Option<(GrantRow, Revision)>, String> {
    let Some(row) = row else { return Ok(None) };
    let grant: GrantRow = row.decode().map_err(|error| error.to_string())?;
    if grant.router != *expected {
        return Err(format!("row {} belongs to router {}", row.key, grant.router));
    }
    Ok(Some((grant, row.revision)))
}
