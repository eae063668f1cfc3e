//! Keeps the choice of holders up to date.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::stable_hash;

use super::Roster;
use crate::{
    allowance::{HolderCandidate, choose_holders},
    context::RelayContext,
};

/// Time after the start in which the routers that the table names count as heard: several
/// rounds of messages. Routers that start together need holders before they hear each other.
const LEARNING_TIME: Duration = Duration::from_millis(2_000);

/// Time after which a router that knows no other one takes itself for the only one.
const ALONE_TIME: Duration = Duration::from_millis(700);

/// Chooses the holders among the routers that are heard, and tells the book of allowances.
pub(crate) fn update_holders(cx: &RelayContext) {
    let now = cx.now();
    let is_learning = now < Timestamp::ZERO + LEARNING_TIME;
    if cx.lock_roster().is_empty() && now < Timestamp::ZERO + ALONE_TIME {
        return;
    }
    let own = cx.self_status();
    let lenders = {
        let roster = cx.lock_roster();
        let mut candidates: Vec<HolderCandidate> = roster.holder_candidates(is_learning, now);
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

/// Returns the holders in the order in which this router asks them: those of its failure
/// domain first. The order within a domain differs from router to router.
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
