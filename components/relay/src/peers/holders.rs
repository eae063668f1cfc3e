//! Selects the holders: the routers that draw tokens from the store and lend them to the others.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::stable_hash;

use super::Roster;
use crate::{
    allowance::{HolderCandidate, choose_holders},
    context::RelayContext,
};

/// Time after the start in which routers that are only listed in the store count as alive:
/// several send intervals. Routers that start together need holders before they receive each
/// other's messages.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_000);

/// A router that knows no other router this long after its start acts as the only one.
const SINGLE_ROUTER_TIMEOUT: Duration = Duration::from_millis(700);

/// Chooses the holders among the live routers, this one included, and updates this router's
/// role and lenders.
pub(crate) fn update_holders(cx: &RelayContext) {
    let now = cx.now();
    let is_discovering = now < Timestamp::ZERO + DISCOVERY_TIME;
    if cx.lock_roster().is_empty() && now < Timestamp::ZERO + SINGLE_ROUTER_TIMEOUT {
        return;
    }
    let own = cx.self_status();
    let lenders = {
        let roster = cx.lock_roster();
        let mut candidates: Vec<HolderCandidate> = roster.holder_candidates(is_discovering, now);
        candidates.push(HolderCandidate {
            name: own.name.clone(),
            failure_domain: own.failure_domain.clone(),
            processor_millis: own.processor_millis,
        });
        let holders = choose_holders(&candidates);
        order_lenders(&roster, &own.name, &own.failure_domain, holders)
    };
    if let Some(role) = cx.lock_allowances().set_holders(&lenders) {
        log::info!(role:? = role, holders:? = lenders; "role in drawing tokens changed");
        cx.allowance_wanted.notify_one();
    }
}

/// Returns the holders in the order in which this router asks them for loans: those in its own
/// failure domain first. The order within a domain differs between routers.
fn order_lenders(
    roster: &Roster,
    own: &str,
    failure_domain: &str,
    holders: Vec<Arc<str>>,
) -> Vec<Arc<str>> {
    let mut ordered = holders;
    ordered.sort_by_cached_key(|holder| {
        let is_near = roster.failure_domain(holder).is_some_and(|it| **it == *failure_domain);
        (!is_near, stable_hash(&[holder.as_bytes(), own.as_bytes()]))
    });
    ordered
}
