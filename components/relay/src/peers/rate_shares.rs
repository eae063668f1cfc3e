//! Shares the rate limits that endpoints state among the routers.

use super::RateMessage;
use crate::context::RelayContext;

/// Recomputes this router's shares of all stated limits.
pub(crate) fn update_rate_shares(cx: &RelayContext) {
    let now = cx.now();
    let own = &cx.settings.name;
    let mut routers = cx.lock_roster().limit_sharers(now);
    if cx.is_ready() {
        routers.push(own.clone());
    }
    cx.lock_endpoints().update_rate_shares(own, &routers, now);
}

/// Applies what another router reports about stated limits.
pub(super) fn apply_rate_reports(cx: &RelayContext, messages: &[RateMessage]) {
    let now = cx.now();
    let mut is_changed = false;
    for report in messages.iter().filter_map(RateMessage::to_report) {
        is_changed |= cx.lock_endpoints().apply_rate_report(&report, now);
    }
    if is_changed {
        update_rate_shares(cx);
    }
}
