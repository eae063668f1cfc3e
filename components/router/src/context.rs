//! What every request needs.

use std::sync::Arc;

use client::HttpClient;
use platform::Table;

use crate::{
    Clock, accounting::Accounting, configuration::ConfigHandle, dispatch::Dispatcher, peers::Peers,
    registry::RequestRegistry,
};

/// What every request needs, shared by all of them.
#[derive(Clone)]
pub struct RouterContext {
    /// Clock.
    pub clock: Clock,
    /// Configuration in force.
    pub cfg: ConfigHandle,
    /// Budgets and bills.
    pub accounting: Arc<dyn Accounting>,
    /// Request ids.
    pub registry: Arc<dyn RequestRegistry>,
    /// Choice of endpoints.
    pub dispatcher: Arc<dyn Dispatcher>,
    /// The other routers.
    pub peers: Arc<dyn Peers>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// Client for calls that may be repeated.
    pub pooled: HttpClient,
    /// Client for calls that must not run twice.
    pub unpooled: HttpClient,
}
