//! The controller: sends orders to engines until they match the configuration.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use client::HttpClient;
use config::Config;
use engine_api::OrderKind;
use platform::{Table, WeightStore};
use rollout::{EndpointOrder, OrderResult, Rollout};
use tokio::runtime::Handle;
use types::RouterId;

use super::{
    ControllerHandle, ControllerStatus,
    lease_holder::LeaseTask,
    order_sender::{SendOutcome, check_weights, send_order},
    report_poller::ReportPoller,
};
use crate::{Clock, configuration::ConfigHandle, peers::Peers};

/// Job name of the controller's lease.
const JOB: &str = "controller";

/// Delay between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Dependencies of the controller.
pub(crate) struct ControllerContext {
    /// Identity of this router.
    pub(crate) router_id: RouterId,
    /// Clock that the lease and the rollouts are timed by.
    pub(crate) clock: Clock,
    /// Active configuration.
    pub(crate) cfg: ConfigHandle,
    /// The platform's table, which holds the lease.
    pub(crate) table: Arc<dyn Table>,
    /// The platform's weight store, asked before each load.
    pub(crate) weights: Arc<dyn WeightStore>,
    /// Membership, from which the candidates for the lease are selected.
    pub(crate) peers: Arc<dyn Peers>,
    /// HTTP client for load reports and orders.
    pub(crate) http: HttpClient,
}

/// Starts the controller's tasks on the control thread. They send orders only while this
/// router holds the controller's lease.
pub(crate) fn start_controller(cx: ControllerContext, control: &Handle) -> ControllerHandle {
    let lease = Arc::new(LeaseTask::new(JOB, cx.router_id.clone(), cx.table.clone(), cx.clock));
    let status = Arc::new(ArcSwap::default());
    control.spawn(lease.clone().run(cx.peers.clone()));
    let handle = ControllerHandle { status, lease };
    let controller = Controller {
        cx,
        handle: handle.clone(),
        rollout: Rollout::default(),
        poller: ReportPoller::default(),
    };
    control.spawn(controller.run());
    handle
}

/// State of the controller's task.
struct Controller {
    /// Dependencies.
    cx: ControllerContext,
    /// Lease, and the state that other tasks read.
    handle: ControllerHandle,
    /// Decides which orders to send.
    rollout: Rollout,
    /// Reads the load reports of the engines.
    poller: ReportPoller,
}

impl Controller {
    async fn run(mut self) {
        loop {
            match self.handle.lease.held() {
                Some(_) => self.run_round().await,
                None => {
                    // After the lease is lost, a later term starts from new load reports.
                    (self.rollout, self.poller) = (Rollout::default(), ReportPoller::default());
                    self.handle.status.store(Arc::default());
                }
            }
            let fencing = self.handle.lease.held().map_or(0, |fencing| fencing.0);
            metrics::gauge!(telemetry::CONTROLLER_FENCING_NUMBER).set(fencing as f64);
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    async fn run_round(&mut self) {
        let cfg = self.cx.cfg.load_full();
        self.poller.read_round(&self.cx.http, &cfg).await;
        let now = self.cx.clock.now();
        let (orders, rollouts) = self.rollout.decide(&cfg, self.poller.reports(), now);
        for halt in &rollouts.halts {
            log::warn!("{halt}");
        }
        metrics::gauge!(telemetry::HALTED_ROLLOUTS).set(rollouts.halts.len() as f64);
        let fencing = self.handle.lease.held();
        self.handle.status.store(Arc::new(ControllerStatus { fencing, rollouts }));
        for order in &orders {
            if !self.execute_order(&cfg, order).await {
                return;
            }
        }
    }

    /// Sends one order. Returns false if this router no longer holds the lease.
    async fn execute_order(&mut self, cfg: &Config, order: &EndpointOrder) -> bool {
        let Some(endpoint) = cfg.endpoints.get(&order.endpoint) else { return true };
        if let Some(result) = check_weights(&*self.cx.weights, order).await {
            self.record_result(order, result);
            return true;
        }
        // The process may have been paused, so the lease is checked immediately before sending.
        let Some(fencing) = self.handle.lease.held() else { return false };
        match send_order(&self.cx.http, endpoint.address, order, fencing).await {
            SendOutcome::Result(result) => {
                self.record_result(order, result);
                true
            }
            SendOutcome::Fenced(highest) => {
                log::warn!(
                    endpoint:% = order.endpoint, fencing:% = fencing, highest:% = highest;
                    "engine rejected the order: another router holds the controller's lease"
                );
                count_order(order, "fenced");
                false
            }
        }
    }

    fn record_result(&mut self, order: &EndpointOrder, result: OrderResult) {
        let outcome = match result {
            OrderResult::Accepted => "accepted",
            OrderResult::Refused => "refused",
            OrderResult::NoWeights => "no_weights",
            OrderResult::RateLimited => "rate_limited",
            OrderResult::Unknown => "unknown",
        };
        count_order(order, outcome);
        log::info!(endpoint:% = order.endpoint; "order {:?}: {outcome}", order.kind);
        self.rollout.on_result(order, result, self.cx.clock.now());
    }
}

fn count_order(order: &EndpointOrder, outcome: &'static str) {
    let kind = match order.kind {
        OrderKind::Load { .. } => "load",
        OrderKind::Unload { .. } => "unload",
        OrderKind::LoadAdapter { .. } => "load_adapter",
        OrderKind::SetRole { .. } => "set_role",
    };
    metrics::counter!(telemetry::ENGINE_ORDERS_TOTAL, "kind" => kind, "outcome" => outcome)
        .increment(1);
}
