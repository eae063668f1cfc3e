//! Link to the home routers of request ids.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use membership::MembershipView;
use protocol::{
    ClaimMessage, DecisionMessage, EndedMessage, HandoverMessage, PromiseMessage, RequestsBody,
};
use requests::{
    Attempt, Claim, ClaimDecision, EndState, HandoverEntry, HomeDirectory, PROMISES_MAX, Promises,
    find_home,
};
use types::{RequestKey, RouterId, RouterName, Timestamp};
use utils::{Digest, HashMap};

use super::{pending_calls::PendingCalls, wire};
use crate::{Clock, peers::Peers};

/// Longest wait for the answer to one claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// Claims sent before the home router counts as unreachable.
const CLAIM_TRIES_MAX: usize = 6;

/// Interval of the checks whether the home router of an id has changed.
const HOME_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of ids in one message to a new home router.
const IDS_PER_MESSAGE_MAX: usize = 1_000;

/// Link to the home routers of request ids, and the directory of the ids whose home is this
/// router.
pub(super) struct HomeLink {
    /// Identity of this router.
    local: RouterId,
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// Clock.
    clock: Clock,
    /// What this router knows about the ids whose home it is.
    directory: Mutex<HomeDirectory>,
    /// Claims that wait for an answer.
    claims: PendingCalls<ClaimDecision>,
    /// Promises given to and received from other routers.
    promises: Mutex<Promises>,
    /// Members at the last check for lost ones.
    loss_checked_view: Mutex<Arc<MembershipView>>,
    /// Members when new home routers were last informed.
    informed_view: Mutex<Arc<MembershipView>>,
}

impl HomeLink {
    /// Creates the link of router `local`.
    pub(super) fn new(local: RouterId, peers: Arc<dyn Peers>, clock: Clock) -> HomeLink {
        let view = peers.view();
        let directory = Mutex::new(HomeDirectory::new(clock.now()));
        let (loss_checked_view, informed_view) = (Mutex::new(view.clone()), Mutex::new(view));
        let promises = Mutex::default();
        let claims = PendingCalls::new();
        HomeLink {
            local,
            peers,
            clock,
            directory,
            claims,
            promises,
            loss_checked_view,
            informed_view,
        }
    }

    /// Sends a claim to the home router of its id and returns the decision; `None` if the home
    /// router is unreachable and this router may run the request without it.
    pub(super) async fn claim(&self, claim: &Claim) -> Option<ClaimDecision> {
        loop {
            let mut home = self.home_of(&claim.key);
            for _ in 0..CLAIM_TRIES_MAX {
                if home == self.local.name {
                    return Some(self.decide_claim(claim));
                }
                let send = |call| {
                    let message = wire::encode_claim(call, claim);
                    self.peers.send(&home, wire::wrap(RequestsBody::Claim(message)));
                };
                if let Some(decision) = self.claims.call(CLAIM_TIMEOUT, send).await {
                    return Some(decision);
                }
                home = self.home_of(&claim.key);
            }
            if self.wait_until_promise_expires(&claim.key, &home).await {
                return None;
            }
        }
    }

    /// Waits until the promise given to `home` has expired; returns false if another router has
    /// become the home router in the meantime.
    async fn wait_until_promise_expires(&self, key: &RequestKey, home: &RouterName) -> bool {
        let expires_at = self.lock_promises().refuse(home, self.clock.now());
        while self.clock.now() < expires_at {
            if self.home_of(key) != *home {
                return false;
            }
            tokio::time::sleep(HOME_CHECK_INTERVAL).await;
        }
        true
    }

    /// Asks all other routers to promise to claim each request whose home is this router before
    /// they run it. Asks none if there are more than [`PROMISES_MAX`] others.
    pub(super) fn ask_promises(&self) {
        let others = other_ids(&self.peers.view());
        self.lock_promises().retain(&others);
        if others.len() > PROMISES_MAX {
            return;
        }
        let message =
            PromiseMessage { incarnation: self.local.incarnation.0, asked_at: self.clock.now().0 };
        for id in others {
            let body = RequestsBody::PromiseRequest(message);
            self.peers.send(&id.name, wire::wrap(body));
        }
    }

    /// Gives a promise to the home router that asks for it. Gives none if that router was
    /// recently unreachable, because this router may then run requests without asking it.
    pub(super) fn on_promise_request(&self, from: &RouterId, message: &PromiseMessage) {
        if self.lock_promises().try_give(&from.name, self.clock.now()) {
            self.peers.send(&from.name, wire::wrap(RequestsBody::Promise(*message)));
        }
    }

    /// Records a promise of another router.
    pub(super) fn on_promise(&self, from: &RouterId, message: &PromiseMessage) {
        if message.incarnation == self.local.incarnation.0 {
            self.lock_promises().on_promise(from, Timestamp(message.asked_at));
        }
    }

    /// Tells the home router how an attempt ended. If the message is lost, the home router keeps
    /// sending other routers here, and they learn the end from this router.
    pub(super) fn end(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        attempt: &Attempt,
        state: EndState,
    ) {
        let home = self.home_of(key);
        if home == self.local.name {
            self.lock().end(self.clock.now(), key, attempt, state);
            return;
        }
        let message = wire::encode_ended(key, fingerprint, attempt, &state);
        self.peers.send(&home, wire::wrap(RequestsBody::Ended(message)));
    }

    /// If the members have changed, tells the new home routers what this router knows about
    /// their ids. `own_entries` returns the attempts of this router.
    pub(super) fn inform_new_homes(&self, own_entries: impl FnOnce() -> Vec<HandoverEntry>) {
        self.check_for_lost_members();
        let view = self.peers.view();
        let before = replace(&self.informed_view, &view);
        if Arc::ptr_eq(&before, &view) || serving_ids(&before) == serving_ids(&view) {
            return;
        }
        let is_home = |key: &RequestKey| self.home_of(key) == self.local.name;
        let mut handover = self.lock().remove_moved(is_home);
        handover.extend(own_entries());
        self.send_to_homes(handover);
    }

    /// Tells the directory if members have gone since the last check. This includes members
    /// that shut down in an orderly way: the ids that they handed over may not have arrived.
    fn check_for_lost_members(&self) {
        let view = self.peers.view();
        let before = replace(&self.loss_checked_view, &view);
        if Arc::ptr_eq(&before, &view) {
            return;
        }
        let is_member = |id: &RouterId| view.find(&id.name).is_some_and(|it| it.id == *id);
        if before.members().any(|old| !is_member(&old.id)) {
            self.lock().on_router_lost(self.clock.now());
        }
    }

    fn send_to_homes(&self, handover: Vec<HandoverEntry>) {
        let mut by_home: HashMap<RouterName, Vec<HandoverEntry>> = HashMap::default();
        for entry in handover {
            by_home.entry(self.home_of(&entry.key)).or_default().push(entry);
        }
        for (home, entries) in by_home {
            if home == self.local.name {
                let now = self.clock.now();
                let mut directory = self.lock();
                entries.into_iter().for_each(|entry| directory.merge_handover(now, entry));
                continue;
            }
            for chunk in entries.chunks(IDS_PER_MESSAGE_MAX) {
                let entries = chunk.iter().map(wire::encode_handover_entry).collect();
                let message = HandoverMessage { entries };
                self.peers.send(&home, wire::wrap(RequestsBody::Handover(message)));
            }
        }
    }

    /// Answers the claim of another router.
    pub(super) fn on_claim(&self, from: &RouterId, message: &ClaimMessage) {
        let Some(claim) = wire::decode_claim(message) else { return };
        let decision = Some(wire::encode_decision(&self.decide_claim(&claim)));
        let message = DecisionMessage { call: message.call, decision };
        self.peers.send(&from.name, wire::wrap(RequestsBody::Decision(message)));
    }

    /// Passes the decision of a home router to the claim of this router that waits for it.
    pub(super) fn on_decision(&self, message: &DecisionMessage) {
        if let Some(decision) = wire::decode_decision(message.decision.as_ref()) {
            self.claims.answer(message.call, decision);
        }
    }

    /// Records the end of an attempt of another router.
    pub(super) fn on_ended(&self, message: &EndedMessage) {
        let request = wire::decode_request(message.request.as_ref());
        let attempt = wire::decode_attempt(message.attempt.as_ref());
        if let (Some((key, _)), Some(attempt)) = (request, attempt) {
            let state = wire::decode_end_state(message);
            self.lock().end(self.clock.now(), &key, &attempt, state);
        }
    }

    /// Records what another router knows about ids whose home is now this router.
    pub(super) fn on_handover(&self, message: &HandoverMessage) {
        let now = self.clock.now();
        let mut directory = self.lock();
        for entry in message.entries.iter().filter_map(wire::decode_handover_entry) {
            directory.merge_handover(now, entry);
        }
    }

    fn decide_claim(&self, claim: &Claim) -> ClaimDecision {
        self.check_for_lost_members();
        let view = self.peers.view();
        let is_home = self.home_of(&claim.key) == self.local.name;
        let now = self.clock.now();
        let all_runs_claimed =
            is_home && self.lock_promises().are_all_valid(&other_ids(&view), now);
        let is_alive = |id: &RouterId| view.find(&id.name).is_some_and(|member| member.id == *id);
        self.lock().claim(now, claim, all_runs_claimed, is_alive)
    }

    fn home_of(&self, key: &RequestKey) -> RouterName {
        let view = self.peers.view();
        let serving = view.serving().map(|member| &member.id.name);
        find_home(key, serving).unwrap_or(&self.local.name).clone()
    }

    fn lock_promises(&self) -> MutexGuard<'_, Promises> {
        self.promises.lock().expect("the lock is not poisoned")
    }

    fn lock(&self) -> MutexGuard<'_, HomeDirectory> {
        self.directory.lock().expect("the lock is not poisoned")
    }
}

/// Returns the ids of the other members.
fn other_ids(view: &MembershipView) -> Vec<RouterId> {
    view.others.iter().map(|member| member.id.clone()).collect()
}

/// Replaces the view in `slot` with `view` and returns the previous one.
fn replace(slot: &Mutex<Arc<MembershipView>>, view: &Arc<MembershipView>) -> Arc<MembershipView> {
    let mut slot = slot.lock().expect("the lock is not poisoned");
    std::mem::replace(&mut *slot, view.clone())
}

/// Returns the sorted ids of the serving members. The home routers of request ids depend on
/// them.
fn serving_ids(view: &MembershipView) -> Vec<RouterId> {
    let mut ids: Vec<_> = view.serving().map(|member| member.id.clone()).collect();
    ids.sort();
    ids
}
