//! Context of the request handlers.

use std::{sync::Arc, time::Duration};

use client::HttpClient;
use platform::Table;

use crate::{
    Clock, accounting::Accounting, configuration::ConfigHandle, dispatch::Dispatcher, peers::Peers,
    registry::RequestRegistry,
};

/// Services that the request handlers share.
#[derive(Clone)]
pub struct RouterContext {
    /// Clock that deadlines are measured against.
    pub clock: Clock,
    /// Active configuration.
    pub cfg: ConfigHandle,
    /// Reserves tokens from budgets and records bills.
    pub accounting: Arc<dyn Accounting>,
    /// Deduplicates requests by their request id.
    pub registry: Arc<dyn RequestRegistry>,
    /// Selects the endpoint of each attempt.
    pub dispatcher: Arc<dyn Dispatcher>,
    /// Membership of the other routers and messages to them.
    pub peers: Arc<dyn Peers>,
    /// The platform's transactional table.
    pub table: Arc<dyn Table>,
    /// Pause within an endpoint's stream after which the request may go on at another endpoint.
    pub stream_idle_timeout: Duration,
    /// HTTP client with pooled connections, for calls that may be repeated.
    pub pooled: HttpClient,
    /// HTTP client with a connection per call, for calls that must not run twice.
    pub unpooled: HttpClient,
}
