//! Sends orders to engines.

use std::{net::SocketAddr, time::Duration};

use client::HttpClient;
use engine_api::{Order, OrderKind, OrderOutcome};
use platform::{PlatformError, WeightId, WeightStore};
use rollout::{EndpointOrder, OrderResult};
use types::FencingNumber;

/// Path of orders to engines.
const ORDERS_PATH: &str = "/v1/orders";

/// Longest time of one order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of an order that was to be sent.
pub(super) enum Sent {
    /// The order's result.
    Result(OrderResult),
    /// The engine has seen a higher fencing number: another router holds the lease.
    Fenced(FencingNumber),
}

/// Asks the weight store whether a load may start; `None` where the order needs no
/// weights or the store admits the load.
pub(super) async fn check_weights(
    weights: &dyn WeightStore,
    order: &EndpointOrder,
) -> Option<OrderResult> {
    let id = match &order.kind {
        OrderKind::Load { model, version } => {
            WeightId { model: model.clone(), version: version.clone(), adapter: None }
        }
        OrderKind::LoadAdapter { model, version, adapter } => WeightId {
            model: model.clone(),
            version: version.clone(),
            adapter: Some(adapter.clone()),
        },
        OrderKind::Unload { .. } | OrderKind::SetRole { .. } => return None,
    };
    match weights.estimate_load(&id).await {
        Ok(Some(_)) => None,
        Ok(None) => Some(OrderResult::NoWeights),
        Err(PlatformError::Malformed(_)) => Some(OrderResult::Unknown),
        Err(PlatformError::RateLimited | PlatformError::Unavailable) => {
            Some(OrderResult::RateLimited)
        }
    }
}

/// Sends an order under `fencing`.
pub(super) async fn send_order(
    http: &HttpClient,
    address: SocketAddr,
    order: &EndpointOrder,
    fencing: FencingNumber,
) -> Sent {
    let body = Order { fencing, kind: order.kind.clone() };
    let outcome = http.call_json(address, ORDERS_PATH, &body, ORDER_TIMEOUT).await;
    match outcome {
        Ok(OrderOutcome::Accepted) => Sent::Result(OrderResult::Accepted),
        Ok(OrderOutcome::Refused) => Sent::Result(OrderResult::Refused),
        Ok(OrderOutcome::Fenced(highest)) => Sent::Fenced(highest),
        Err(_) => Sent::Result(OrderResult::Unknown),
    }
}
