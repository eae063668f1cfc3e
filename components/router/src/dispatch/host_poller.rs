//! Polls the platform's host list.

use std::{sync::Arc, time::Duration};

use platform::{HostList, HostState};
use tokio::sync::mpsc::UnboundedSender;
use utils::{jitter, new_rng};

use super::command::Command;

/// Mean interval of the polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the host list until the scheduler task ends.
pub(super) async fn run_host_poller(hosts: Arc<dyn HostList>, commands: UnboundedSender<Command>) {
    let mut rng = new_rng();
    loop {
        let result = hosts.hosts().await;
        let label = if result.is_ok() { "ok" } else { "failed" };
        metrics::counter!(telemetry::POLLS_TOTAL, "source" => "hosts", "result" => label)
            .increment(1);
        // The list is only a hint. If it cannot be read, the previous one stays in effect.
        if let Ok(entries) = result {
            let leaving = entries.iter().filter(|it| it.state == HostState::Leaving);
            let leaving = leaving.map(|it| it.address).collect();
            if commands.send(Command::LeavingHosts(leaving)).is_err() {
                return;
            }
        }
        tokio::time::sleep(jitter(POLL_INTERVAL, &mut rng)).await;
    }
}
