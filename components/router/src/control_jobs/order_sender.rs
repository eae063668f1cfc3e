//! Sends orders to engines.

use std::{net::SocketAddr, time::Duration};

use client::HttpClient;
use engine_api::{Order, OrderKind, OrderOutcome};
use platform::{PlatformError, WeightId, WeightStore};
use rollout::{EndpointOrder, OrderResult};
use types::FencingNumber;

/// Path of the engines' order endpoint.
const ORDERS_PATH: &str = "/v1/orders";

/// Timeout of one order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of sending an order.
pub(super) enum SendOutcome {
    /// Result of the order; `Unknown` if the engine did not answer.
    Result(OrderResult),
    /// The engine has seen this higher fencing number: another router holds the lease.
    Fenced(FencingNumber),
}

/// Asks the weight store whether a load may start. Returns `None` if the order may be sent:
/// it needs no weights, or the store allows the load.
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

/// Sends an order with the fencing number `fencing`.
pub(super) async fn send_order(
    http: &HttpClient,
    address: SocketAddr,
    order: &EndpointOrder,
    fencing: FencingNumber,
) -> SendOutcome {
    let body = Order { fencing, kind: order.kind.clone() };
    let outcome = http.call_json(address, ORDERS_PATH, &body, ORDER_TIMEOUT).await;
    match outcome {
        Ok(OrderOutcome::Accepted) => SendOutcome::Result(OrderResult::Accepted),
        Ok(OrderOutcome::Refused) => SendOutcome::Result(OrderResult::Refused),
        Ok(OrderOutcome::Fenced(highest)) => SendOutcome::Fenced(highest),
        Err(_) => SendOutcome::Result(OrderResult::Unknown),
    }
}
