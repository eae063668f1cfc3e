//! Polls the table for the accepted configuration.

use std::{sync::Arc, time::Duration};

use config::{CONFIG_KEY, Config};
use platform::{Key, Table};

use super::ConfigHandle;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the table for as long as the router lives.
pub async fn run_config_poller(cfg: ConfigHandle, table: Arc<dyn Table>) {
    loop {
        if let Err(message) = poll_once(&cfg, &*table).await {
            log::warn!("configuration not read: {message}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_once(cfg: &ConfigHandle, table: &dyn Table) -> Result<(), String> {
    let rows = table.read(&[Key::from_parts(&[CONFIG_KEY])]).await;
    let rows = rows.map_err(|error| error.to_string())?;
    let Some(row) = rows.into_iter().next().flatten() else { return Ok(()) };
    let read: Config = row.decode().map_err(|error| error.to_string())?;
    let version = read.version;
    if cfg.advance(read) {
        log::info!(version:% = version; "configuration is in force");
        metrics::gauge!(telemetry::CONFIG_VERSION).set(version.0 as f64);
    }
    Ok(())
}
