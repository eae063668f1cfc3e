//! Start, reload and graceful shutdown of the relay.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use inbound::ConnectionBook;
use telemetry::MetricsHandle;
use tokio::{sync::watch, task::JoinHandle, time::Instant};
use utils::{HashMap, HashSet};

use crate::{
    allowance::TokenLedger,
    context::{RelayContext, RelayDependencies},
    peers::{announce_end, run_gossip},
    serve::{AuxiliaryApi, serve_auxiliary_api, serve_callers},
    settings::RelaySettings,
    sockets::RelaySockets,
    sync::{
        remove_member_row, return_allowances, run_allowances, run_begun_streams, run_member_rows,
        run_named_versions, run_verdict_rows, run_version_rows, watch_config, watch_endpoints,
    },
    tunnel::serve_tunnels,
    units::millis,
};

/// Time for which a router that is shutting down still accepts callers that have an outdated list
/// of addresses.
const ACCEPT_AFTER_LEAVING: Duration = Duration::from_millis(2_500);

/// Divisor of the shutdown grace; the quotient is reserved for returning the tokens and ending
/// the process.
const END_RESERVE_DIVISOR: u32 = 6;

/// Interval at which the shutdown checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which idle connections are pruned and the gauges are updated.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between two log lines with the totals of an account.
const LEDGER_INTERVAL: Duration = Duration::from_secs(10);

/// Handle to a running relay.
pub struct RelayProcess {
    cx: Arc<RelayContext>,
    /// Set to true to close callers' connections.
    stop: watch::Sender<bool>,
    /// Task that serves callers.
    callers: JoinHandle<()>,
    /// Task that draws tokens from the store.
    allowances: JoinHandle<()>,
}

impl RelayProcess {
    /// Starts all tasks on `sockets`, which are bound to the addresses of `settings`.
    pub fn start(
        settings: RelaySettings,
        sockets: RelaySockets,
        dependencies: RelayDependencies,
        metrics: MetricsHandle,
    ) -> RelayProcess {
        let RelaySockets { callers, ready, directory, metrics: metrics_listener, gossip, tunnels } =
            sockets;
        log::info!(router:% = settings.name, failure_domain:% = settings.failure_domain, callers:% = settings.caller_address; "router starts");
        let cx = Arc::new(RelayContext::new(settings, dependencies, gossip));
        let (stop, stopped) = watch::channel(false);
        let clients = &cx.clients;
        for (listener, book) in [
            (ready, &clients.ready),
            (directory, &clients.directory),
            (metrics_listener, &clients.metrics),
        ] {
            let api = AuxiliaryApi { cx: cx.clone(), metrics: metrics.clone() };
            tokio::spawn(serve_auxiliary_api(api, listener, book.clone()));
        }
        tokio::spawn(watch_config(cx.clone()));
        tokio::spawn(watch_endpoints(cx.clone()));
        tokio::spawn(run_member_rows(cx.clone()));
        tokio::spawn(run_gossip(cx.clone()));
        tokio::spawn(serve_tunnels(cx.clone(), tunnels));
        tokio::spawn(run_verdict_rows(cx.clone()));
        tokio::spawn(run_version_rows(cx.clone()));
        tokio::spawn(run_named_versions(cx.clone()));
        tokio::spawn(run_begun_streams(cx.clone()));
        tokio::spawn(prune_connections(cx.clone()));
        let allowances = tokio::spawn(run_allowances(cx.clone()));
        let callers = tokio::spawn(serve_callers(cx.clone(), callers, stopped));
        RelayProcess { cx, stop, callers, allowances }
    }

    /// Applies the settings that can change while the process runs: the limits on retries.
    /// Changed addresses take effect at the next start.
    pub fn reload(&self, settings: &RelaySettings) {
        self.cx.lock_retries().set_limits(settings.retries);
        let has_new_addresses = settings.caller_address != self.cx.settings.caller_address;
        log::info!(retry_ratio = settings.retries.ratio, retry_allowance = settings.retries.allowance, new_addresses = has_new_addresses; "settings reloaded");
    }

    /// Shuts down gracefully within the shutdown grace: stops accepting callers, waits for requests
    /// in progress, and returns the tokens to the store.
    pub async fn shut_down(self) {
        let started = Instant::now();
        let cx = &self.cx;
        let reserve = cx.settings.shutdown_grace / END_RESERVE_DIVISOR;
        let end_by = started + cx.settings.shutdown_grace - reserve;
        log::info!(running = cx.running.load(Ordering::Relaxed); "router leaves");
        cx.is_leaving.store(true, Ordering::Relaxed);
        cx.gossip.send_status(cx, false).await;
        tokio::time::sleep(ACCEPT_AFTER_LEAVING).await;
        let _ = self.stop.send(true);
        // Other routers close their idle tunnels once they know that this router leaves.
        while Instant::now() < end_by
            && !(self.callers.is_finished() && cx.tunnels.open_count() == 0)
        {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.allowances.abort();
        let _ = tokio::time::timeout_at(end_by + reserve / 2, async {
            return_allowances(cx).await;
            announce_end(cx).await;
            remove_member_row(cx).await;
        })
        .await;
        log_ledgers(cx, &mut HashMap::default());
        log::info!(running = cx.running.load(Ordering::Relaxed), after_ms = millis(started.elapsed()); "router ended");
    }
}

async fn prune_connections(cx: Arc<RelayContext>) {
    let mut logged = HashMap::default();
    let mut ledgers_logged_at = cx.now();
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        if cx.now().since(ledgers_logged_at) >= LEDGER_INTERVAL {
            ledgers_logged_at = cx.now();
            log_ledgers(&cx, &mut logged);
        }
        close_overdue_connections(&cx);
        let connected = cx.connections.endpoints();
        let endpoints = cx.lock_endpoints();
        let in_service: HashSet<_> =
            connected.into_iter().filter(|it| endpoints.is_in_service(it)).collect();
        drop(endpoints);
        let routers: HashSet<Arc<str>> = {
            let roster = cx.lock_roster();
            roster.ready_members(cx.now()).iter().map(|it| it.name.clone()).collect()
        };
        cx.connections.prune(|it| in_service.contains(it), |it| routers.contains(it));
        let endpoints = cx.lock_endpoints();
        cx.lock_paths().prune(|it| endpoints.is_known(it), |it| routers.contains(it));
        drop(endpoints);
        report_gauges(&cx);
    }
}

/// Closes the connections of clients that take too long to send the head of a request.
fn close_overdue_connections(cx: &RelayContext) {
    let in_force = cx.in_force.load();
    let timeout = in_force.as_ref().and_then(|it| it.state.limits.head_timeout);
    if let Some(timeout) = timeout {
        cx.clients.all().into_iter().for_each(|it| it.close_overdue(timeout));
    }
}

/// Updates the gauges of requests, endpoints, routers and tokens.
fn report_gauges(cx: &RelayContext) {
    metrics::gauge!(telemetry::REQUESTS_IN_PROGRESS).set(cx.running.load(Ordering::Relaxed) as f64);
    metrics::gauge!(telemetry::LOG_LINES_DROPPED).set(telemetry::dropped_log_lines() as f64);
    cx.clients.all().into_iter().for_each(ConnectionBook::report);
    cx.bodies.report();
    let cut_off = cx.lock_paths().cut_off_services().len();
    metrics::gauge!(telemetry::CUT_OFF_SERVICES).set(cut_off as f64);
    let tunnels = cx.tunnels.open_count();
    metrics::gauge!(telemetry::TUNNELS_OPEN).set(tunnels as f64);
    let limited = cx.lock_endpoints().rate_limit_count();
    metrics::gauge!(telemetry::RATE_LIMITED_ENDPOINTS).set(limited as f64);
    let brittle = cx.lock_endpoints().brittle_count();
    metrics::gauge!(telemetry::BRITTLE_ENDPOINTS).set(brittle as f64);
    let emptied = cx.lock_endpoints().emptied_domains().count();
    metrics::gauge!(telemetry::EMPTIED_DOMAINS).set(emptied as f64);
    let (cold, admitted_per_s) = cx.lock_endpoints().cold_counts(cx.now());
    metrics::gauge!(telemetry::COLD_ENDPOINTS).set(cold as f64);
    metrics::gauge!(telemetry::COLD_ADMITTED_PER_SECOND).set(admitted_per_s);
    metrics::gauge!(telemetry::UNEVEN_ENDPOINTS).set(cx.lock_endpoints().count_uneven() as f64);
    let (records, condemned) = cx.lock_crash_evidence().counts();
    metrics::gauge!(telemetry::SUSPECT_CONTENTS, "state" => "suspect")
        .set((records - condemned) as f64);
    metrics::gauge!(telemetry::SUSPECT_CONTENTS, "state" => "condemned").set(condemned as f64);
    let (ready, all) = cx.lock_endpoints().counts();
    metrics::gauge!(telemetry::ENDPOINTS, "state" => "serving").set(ready as f64);
    metrics::gauge!(telemetry::ENDPOINTS, "state" => "leaving").set((all - ready) as f64);
    let ready_routers = cx.lock_roster().ready_members(cx.now()).len();
    metrics::gauge!(telemetry::MEMBERS, "state" => "ready").set(ready_routers as f64);
    let is_recovering = cx.lock_allowances().is_recovering();
    metrics::gauge!(telemetry::ALLOWANCES_RECOVERING).set(f64::from(u8::from(is_recovering)));
    let room = cx.lock_room().room();
    metrics::gauge!(telemetry::ROOM_USED_SHARE).set(room.used_share().0);
    metrics::gauge!(telemetry::ARRIVAL_DELAY_SECONDS).set(room.delay.as_secs_f64());
    report_tokens(cx);
}

/// Updates the gauges and counters of the tokens of each account.
fn report_tokens(cx: &RelayContext) {
    let allowances = cx.lock_allowances();
    for (name, allowance) in allowances.accounts() {
        let account = name.to_string();
        metrics::gauge!(telemetry::GRANTED_TOKENS, "account" => account.clone())
            .set(allowance.held() as f64);
        metrics::gauge!(telemetry::RESERVED_TOKENS, "account" => account.clone())
            .set(allowance.reserved() as f64);
        for (kind, total) in allowance.ledger().totals() {
            metrics::counter!(telemetry::ACCOUNT_TOKENS_TOTAL, "account" => account.clone(), "kind" => kind)
                .absolute(total);
        }
    }
}

/// Logs the totals of each account that have changed since the last call.
fn log_ledgers(cx: &RelayContext, logged: &mut HashMap<Arc<str>, TokenLedger>) {
    let allowances = cx.lock_allowances();
    for (name, allowance) in allowances.accounts() {
        let it = allowance.ledger();
        if logged.insert(name.clone(), it).is_none_or(|before| before != it) {
            log::info!(account:% = name, limit = allowance.limit(), held = allowance.held(), reserved = allowance.reserved(), drawn = it.drawn, borrowed = it.borrowed, taken_over = it.taken_over, spent = it.spent, lent = it.lent, returned = it.returned; "account totals");
        }
    }
}
