//! Gauge of the tokens in doubt, which dead routers may have spent.

use std::{sync::Arc, time::Duration};

use budget::{AccountSnapshot, InDoubt, grant_prefix, list_in_doubt};
use platform::{PlatformError, Table};
use types::{AccountName, RouterId, Timestamp, Tokens};

use crate::peers::Peers;

/// Interval of the scans of the grant rows of all accounts.
const SCAN_INTERVAL: Duration = Duration::from_secs(30);

/// Updates the gauge of the tokens in doubt. Only the live router whose name sorts first does
/// so, so that not every router scans the table.
pub(super) struct InDoubtGauge {
    /// The platform's table.
    table: Arc<dyn Table>,
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// Time of the next scan.
    next_scan: Timestamp,
}

impl InDoubtGauge {
    /// Creates the gauge, which scans the grant rows in `table`.
    pub(super) fn new(table: Arc<dyn Table>, peers: Arc<dyn Peers>) -> InDoubtGauge {
        InDoubtGauge { table, peers, next_scan: Timestamp::ZERO + SCAN_INTERVAL }
    }

    /// Updates the gauge for the accounts in `snapshot`, if the next scan is due.
    pub(super) fn update(&mut self, now: Timestamp, snapshot: &[AccountSnapshot]) {
        let view = self.peers.view();
        let is_first = view.others.iter().all(|other| view.local.id.name < other.id.name);
        if now < self.next_scan || !is_first {
            return;
        }
        self.next_scan = now + SCAN_INTERVAL;
        let live: Vec<RouterId> = view.members().map(|member| member.id.clone()).collect();
        let accounts: Vec<AccountName> = snapshot.iter().map(|it| it.account.clone()).collect();
        let table = self.table.clone();
        tokio::spawn(async move {
            for account in accounts {
                update_account(&*table, &account, &live).await;
            }
        });
    }
}

async fn update_account(table: &dyn Table, account: &AccountName, live: &[RouterId]) {
    match read_in_doubt_grants(table, account, live).await {
        Ok(entries) => {
            let tokens: Tokens = entries.iter().map(|entry| entry.tokens).sum();
            metrics::gauge!(telemetry::IN_DOUBT_TOKENS, "account" => account.to_string())
                .set(tokens.0 as f64);
        }
        Err(error) => log::warn!(account:% = account; "failed to read grant rows: {error}"),
    }
}

/// Reads the grants of `account` that are in doubt, given the `live` routers. Malformed rows
/// are logged and skipped.
///
/// # Errors
/// Fails if the table is unreachable or rejects the call.
pub async fn read_in_doubt_grants(
    table: &dyn Table,
    account: &AccountName,
    live: &[RouterId],
) -> Result<Vec<InDoubt>, PlatformError> {
    let prefix = grant_prefix(account);
    let mut entries = Vec::new();
    let mut after = None;
    loop {
        let rows = table.scan(&prefix, after.as_ref()).await?;
        let Some(last) = rows.last() else { return Ok(entries) };
        after = Some(last.key.clone());
        for entry in list_in_doubt(account, &rows, live) {
            match entry {
                Ok(entry) => entries.push(entry),
                Err(error) => log::error!(account:% = account; "{error}"),
            }
        }
    }
}
