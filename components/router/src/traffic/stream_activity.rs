//! Leaves a silent endpoint only once another one is granted.

use std::time::Duration;

use tokio::sync::watch;
use types::Timestamp;

use crate::{
    RouterContext,
    dispatch::{AttemptOutcome, EndpointLease, EndpointNeed},
};

/// Time between two attempts to find another endpoint.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// When an endpoint's stream last brought bytes.
#[derive(Debug)]
pub(super) struct StreamActivity {
    /// Time of the last bytes; `None` until the head of the answer has arrived.
    last: watch::Sender<Option<Timestamp>>,
}

impl StreamActivity {
    /// Creates the record of a stream that has not begun.
    pub(super) fn new() -> StreamActivity {
        StreamActivity { last: watch::Sender::new(None) }
    }

    /// Records that bytes arrived.
    pub(super) fn record(&self, now: Timestamp) {
        self.last.send_replace(Some(now));
    }

    /// Returns when the stream becomes idle if nothing more arrives; waits for its beginning.
    async fn idle_at(&self, idle_timeout: Duration) -> Timestamp {
        let mut last = self.last.subscribe();
        let begun = last.wait_for(Option::is_some).await.map(|it| *it);
        begun.ok().flatten().unwrap_or_default() + idle_timeout
    }

    /// Reports whether the stream becomes idle at `idle_at` as far as bytes have arrived.
    fn is_idle_at(&self, idle_at: Timestamp, idle_timeout: Duration) -> bool {
        self.last.borrow().is_some_and(|it| it + idle_timeout == idle_at)
    }
}

/// Waits until the stream on `silent` has been idle for too long, and another endpoint and a retry
/// are granted. An idle stream is no evidence that its endpoint has failed, so it goes on
/// as long as none is granted.
pub(super) async fn find_replacement(
    cx: &RouterContext,
    need: &EndpointNeed,
    silent: &EndpointLease,
    activity: &StreamActivity,
) -> EndpointLease {
    let mut need = need.clone();
    need.avoid.push(silent.endpoint.clone());
    if let Some(version) = &silent.version {
        need.target.keep_version(version);
    }
    loop {
        let idle_at = activity.idle_at(cx.stream_idle_timeout).await;
        if cx.clock.now() < idle_at {
            cx.clock.sleep_until(idle_at).await;
            continue;
        }
        match cx.dispatcher.acquire(&need).await {
            Ok(lease) => {
                // The lease must not be held across an await: it is not given back on drop.
                let is_idle = activity.is_idle_at(idle_at, cx.stream_idle_timeout);
                if is_idle && cx.dispatcher.may_retry(&need, AttemptOutcome::TimedOut) {
                    return lease;
                }
                cx.dispatcher.finish(lease, &need, AttemptOutcome::Cancelled);
            }
            Err(error) => {
                log::debug!(endpoint:% = silent.endpoint; "no other endpoint for an idle stream: {error}")
            }
        }
        tokio::time::sleep(SEARCH_INTERVAL).await;
    }
}
