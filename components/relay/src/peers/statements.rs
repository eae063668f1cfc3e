//! Exchanges what endpoints say about themselves, and shares their rate limits among the routers.

use super::StatementMessage;
use crate::context::RelayContext;

/// Recomputes this router's shares of all stated limits, and the owners of brittle and cold endpoints.
pub(crate) fn update_rate_shares(cx: &RelayContext) {
    let now = cx.now();
    let own = &cx.settings.name;
    let mut routers = cx.lock_roster().limit_sharers(now);
    if cx.is_ready() {
        routers.push(own.clone());
    }
    let mut owners = cx.lock_roster().cold_owners(now);
    if cx.is_ready() {
        owners.push(own.clone());
    }
    let mut endpoints = cx.lock_endpoints();
    endpoints.update_rate_shares(own, &routers, now);
    endpoints.update_cold_owners(own, &owners, now);
}

/// Applies what another router reports about endpoints.
pub(super) fn apply_reports(cx: &RelayContext, messages: &[StatementMessage]) {
    let now = cx.now();
    let mut is_changed = false;
    for report in messages.iter().filter_map(StatementMessage::to_report) {
        is_changed |= cx.lock_endpoints().apply_report(&report, now);
    }
    if is_changed {
        update_rate_shares(cx);
    }
}
