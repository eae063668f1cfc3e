//! Keeps the list of endpoints up to date.

use std::{sync::Arc, time::Duration};

use platform::PlatformError;

use super::backoff::Backoff;
use crate::{
    context::RelayContext,
    ports::{Cursor, Feed},
};

/// Time between two reads. An endpoint that is leaving must get nothing new two seconds
/// later, and entries change all the time, so that a call that waits would return at once.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the list of endpoints until the process ends.
pub(crate) async fn watch_endpoints(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("endpoint list");
    let mut cursor: Option<Cursor> = None;
    loop {
        let result = read(&cx, cursor).await;
        let now = cx.now();
        cx.lock_endpoints().note_contact(result.is_ok(), now);
        let delay = match result {
            Ok(next) => {
                cursor = next;
                backoff.succeed();
                if next.is_some() { READ_INTERVAL } else { Duration::ZERO }
            }
            Err(error) => backoff.fail(&error, &mut cx.lock_rng()),
        };
        tokio::time::sleep(delay).await;
    }
}

async fn read(cx: &RelayContext, cursor: Option<Cursor>) -> Result<Option<Cursor>, PlatformError> {
    let Some(cursor) = cursor else {
        let (entries, cursor) = cx.source.endpoints().await?;
        let now = cx.now();
        let mut endpoints = cx.lock_endpoints();
        endpoints.note_contact(true, now);
        endpoints.apply_list(entries, now);
        cx.place_freed.notify_waiters();
        return Ok(Some(cursor));
    };
    match cx.source.endpoints_after(cursor).await? {
        Feed::Changes(changes, cursor) => {
            let now = cx.now();
            let mut endpoints = cx.lock_endpoints();
            endpoints.note_contact(true, now);
            for change in changes {
                endpoints.apply_change(change, now);
            }
            Ok(Some(cursor))
        }
        Feed::HistoryLost => {
            log::info!("history of the endpoint list lost; reading it anew");
            Ok(None)
        }
    }
}
