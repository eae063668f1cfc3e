//! Polls the table for the accepted configuration.

use std::{sync::Arc, time::Duration};

use platform::Table;
use utils::stable_hash;

use super::{ConfigHandle, read_config};
use crate::peers::Peers;

/// Minimum interval between two polls.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// Maximum polls per second of the whole fleet.
const FLEET_POLLS_PER_SECOND: u32 = 100;

/// Polls the table until the process ends.
pub async fn run_config_poller(cfg: ConfigHandle, table: Arc<dyn Table>, peers: Arc<dyn Peers>) {
    let mut is_first = true;
    loop {
        if let Err(error) = poll_once(&cfg, &*table).await {
            log::warn!("failed to read the configuration from the table: {error}");
        }
        let age = cfg.confirmed_age().map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics::gauge!(telemetry::CONFIG_CONFIRMED_AGE_SECONDS).set(age);
        let routers = u32::try_from(peers.view().members().count()).unwrap_or(u32::MAX);
        let interval = poll_interval(routers);
        let pause = if is_first { initial_offset(&peers, interval) } else { interval };
        is_first = false;
        tokio::time::sleep(pause).await;
    }
}

/// Returns the poll interval of each router in a fleet of `routers` routers.
pub fn poll_interval(routers: u32) -> Duration {
    POLL_INTERVAL_MIN.max(Duration::from_secs(1) * routers / FLEET_POLLS_PER_SECOND)
}

/// Returns the delay after the first poll. It differs between routers, so that routers that
/// start at the same time do not keep polling at the same time.
fn initial_offset(peers: &Arc<dyn Peers>, interval: Duration) -> Duration {
    let hash = stable_hash(&[peers.view().local.id.name.as_str().as_bytes()]);
    interval.mul_f64(hash as f64 / u64::MAX as f64)
}

async fn poll_once(cfg: &ConfigHandle, table: &dyn Table) -> errors::Result<()> {
    let stored = read_config(table, &cfg.load_full()).await?;
    cfg.advance(stored.cfg);
    cfg.mark_confirmed();
    Ok(())
}

#[cfg(test)]
#[path = "poller_tests.rs"]
mod tests;
