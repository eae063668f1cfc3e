//! Faults of the demo: kills one router while it has requests in progress and restarts it, then
//! drains another.

use std::time::Duration;

use scene::{RouterSet, SceneError};
use types::RouterName;

/// Time from the start of the callers to the kill.
const KILL_AFTER: Duration = Duration::from_secs(4);

/// Time from the kill to the restart of the killed router.
const RESTART_AFTER: Duration = Duration::from_secs(3);

/// Time from the restart to the drain of the other router.
const DRAIN_AFTER: Duration = Duration::from_secs(2);

/// Maximum time to wait, before the kill, for the router to have a request in progress.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which the router is polled for requests in progress.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Injects the faults; returns the number of graceful shutdowns that failed.
///
/// # Errors
/// If the router to kill or to drain is not running, or the killed one does not restart.
pub(crate) async fn inject_faults(routers: &mut RouterSet) -> Result<u64, SceneError> {
    let killed = RouterName::new("router-kromeriz").expect("valid router name");
    let drained = RouterName::new("router-vsetin").expect("valid router name");
    tokio::time::sleep(KILL_AFTER).await;
    let in_progress = wait_until_busy(routers, &killed).await;
    eprintln!("killing {killed} with {in_progress} requests in progress");
    routers.kill(&killed)?;
    tokio::time::sleep(RESTART_AFTER).await;
    eprintln!("restarting {killed}");
    routers.start(&killed).await?;
    tokio::time::sleep(DRAIN_AFTER).await;
    let process = routers.remove(&drained)?;
    let in_progress = process.counter().requests_in_progress();
    eprintln!("draining {drained} with {in_progress} requests in progress");
    let result = process.shut_down().await;
    match &result {
        Ok(()) => eprintln!("{drained} has shut down gracefully"),
        Err(error) => eprintln!("{drained} did not shut down gracefully: {error}"),
    }
    Ok(u64::from(result.is_err()))
}

async fn wait_until_busy(routers: &RouterSet, name: &RouterName) -> usize {
    let in_progress =
        || routers.get(name).map_or(0, |process| process.counter().requests_in_progress());
    let wait = async {
        while in_progress() == 0 {
            tokio::time::sleep(BUSY_POLL_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(BUSY_TIMEOUT, wait).await;
    in_progress()
}
