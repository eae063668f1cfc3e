//! Gauge of the tokens in doubt.

use std::{sync::Arc, time::Duration};

use budget::{AccountSnapshot, InDoubt, grant_prefix, list_in_doubt};
use platform::{PlatformError, Table};
use types::{AccountName, RouterId, Timestamp, Tokens};

use crate::peers::Peers;

/// Time between two looks at the grant rows of all accounts.
const SCAN_INTERVAL: Duration = Duration::from_secs(30);

/// Gauge of the tokens in doubt. Only the first of the live routers updates it, so that
/// the table is not scanned by all of them.
pub(super) struct InDoubtGauge {
    /// The platform's table.
    table: Arc<dyn Table>,
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// When the rows are looked at next.
    next_scan: Timestamp,
}

impl InDoubtGauge {
    /// Creates the gauge over `table`.
    pub(super) fn new(table: Arc<dyn Table>, peers: Arc<dyn Peers>) -> InDoubtGauge {
        InDoubtGauge { table, peers, next_scan: Timestamp::ZERO + SCAN_INTERVAL }
    }

    /// Updates the gauge of the accounts in `snapshot`, where it is time.
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
                set_gauge(&*table, &account, &live).await;
            }
        });
    }
}

async fn set_gauge(table: &dyn Table, account: &AccountName, live: &[RouterId]) {
    match read_in_doubt(table, account, live).await {
        Ok(entries) => {
            let tokens: Tokens = entries.iter().map(|entry| entry.tokens).sum();
            metrics::gauge!(telemetry::IN_DOUBT_TOKENS, "account" => account.to_string())
                .set(tokens.0 as f64);
        }
        Err(error) => log::warn!(account:% = account; "grant rows were not read: {error}"),
    }
}

/// Reads what is in doubt of `account`. Rows that cannot be read are logged.
///
/// # Errors
/// Where the table was not reached or refused the call.
pub async fn read_in_doubt(
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
