//! Peers known to a ledger.

use std::time::Duration;

use types::{AccountName, RouterId, RouterName, Timestamp};
use utils::{HashMap, HashSet, stable_hash};

use crate::BudgetPeer;

/// Time without messages after which a peer that was never seen alive counts as dead.
const UNSEEN_SENDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Live peers, and peers that were seen alive before.
#[derive(Debug, Default)]
pub(crate) struct PeerSet {
    /// Live peers, in the order of their names.
    live: Vec<BudgetPeer>,
    /// All peers that were ever seen alive or that have timed out as unseen senders.
    seen: HashSet<RouterId>,
    /// Peers that have sent a message but were never seen alive, with the time of their last
    /// message.
    unseen_senders: HashMap<RouterId, Timestamp>,
}

impl PeerSet {
    /// Replaces the live peers.
    pub(crate) fn update(&mut self, live: Vec<BudgetPeer>) {
        self.seen.extend(live.iter().map(|peer| peer.id.clone()));
        self.live = live;
    }

    /// Records that a message from `id` has arrived.
    pub(crate) fn record_message(&mut self, id: &RouterId, now: Timestamp) {
        if !self.seen.contains(id) {
            self.unseen_senders.insert(id.clone(), now);
        }
    }

    /// Makes unseen senders count as dead once they have been silent for [`UNSEEN_SENDER_TIMEOUT`].
    pub(crate) fn expire_unseen_senders(&mut self, now: Timestamp) {
        let seen = &mut self.seen;
        self.unseen_senders.retain(|id, heard_at| {
            let is_expired = now.since(*heard_at) >= UNSEEN_SENDER_TIMEOUT;
            if is_expired {
                seen.insert(id.clone());
            }
            !is_expired
        });
    }

    pub(crate) fn live(&self) -> &[BudgetPeer] {
        &self.live
    }

    /// Returns the live peer `id`.
    pub(crate) fn find(&self, id: &RouterId) -> Option<&BudgetPeer> {
        self.live.iter().find(|peer| peer.id == *id)
    }

    /// Returns whether a peer is alive and not leaving.
    pub(crate) fn is_staying(&self, id: &RouterId) -> bool {
        self.find(id).is_some_and(|peer| !peer.is_leaving)
    }

    /// Returns whether a peer was alive before and is not now, or was restarted as a new process.
    pub(crate) fn is_dead(&self, id: &RouterId) -> bool {
        self.find(id).is_none() && (self.seen.contains(id) || self.is_name_live(&id.name))
    }

    /// Returns the live peers that are not leaving. Peers outside the failure domain of `local`
    /// come first; the order within these groups differs between accounts.
    pub(crate) fn candidates(&self, local: &BudgetPeer, account: &AccountName) -> Vec<&BudgetPeer> {
        let mut candidates: Vec<_> = self.live.iter().filter(|peer| !peer.is_leaving).collect();
        candidates.sort_by_cached_key(|peer| {
            let names = [account.as_str(), local.id.name.as_str(), peer.id.name.as_str()];
            let rank = stable_hash(&names.map(str::as_bytes));
            (peer.failure_domain == local.failure_domain, rank)
        });
        candidates
    }

    fn is_name_live(&self, name: &RouterName) -> bool {
        self.live.iter().any(|peer| peer.id.name == *name)
    }
}
