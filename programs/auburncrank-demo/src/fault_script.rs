//! The faults of the demo: one router is killed with streams open, another is drained.

use std::time::Duration;

use scene::{RouterSet, SceneError};
use types::RouterName;

/// Time from the first request to the kill.
const KILL_AFTER: Duration = Duration::from_secs(4);

/// Time for which the killed router stays away.
const RESTART_AFTER: Duration = Duration::from_secs(3);

/// Time from the restart to the drain.
const DRAIN_AFTER: Duration = Duration::from_secs(2);

/// Longest wait for the router to have a request in progress before the kill.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two looks whether the router has a request in progress.
const BUSY_PAUSE: Duration = Duration::from_millis(1);

/// Brings the faults about; returns the number of graceful shutdowns that cut something
/// off.
pub(crate) async fn run_faults(routers: &mut RouterSet) -> Result<u64, SceneError> {
    let killed = RouterName::new("router-kromeriz").expect("a name");
    let drained = RouterName::new("router-vsetin").expect("a name");
    tokio::time::sleep(KILL_AFTER).await;
    let in_progress = wait_until_busy(routers, &killed).await;
    eprintln!("killing {killed} with {in_progress} requests in progress");
    routers.kill(&killed)?;
    tokio::time::sleep(RESTART_AFTER).await;
    eprintln!("starting {killed} anew");
    routers.start(&killed).await?;
    tokio::time::sleep(DRAIN_AFTER).await;
    let process = routers.remove(&drained)?;
    let in_progress = process.counter().requests_in_progress();
    eprintln!("draining {drained} with {in_progress} requests in progress");
    let result = process.shut_down().await;
    match &result {
        Ok(()) => eprintln!("{drained} has ended gracefully"),
        Err(error) => eprintln!("{drained} has ended: {error}"),
    }
    Ok(u64::from(result.is_err()))
}

async fn wait_until_busy(routers: &RouterSet, name: &RouterName) -> usize {
    let in_progress =
        || routers.get(name).map_or(0, |process| process.counter().requests_in_progress());
    let wait = async {
        while in_progress() == 0 {
            tokio::time::sleep(BUSY_PAUSE).await;
        }
    };
    let _ = tokio::time::timeout(BUSY_TIMEOUT, wait).await;
    in_progress()
}
