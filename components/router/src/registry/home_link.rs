//! The way to the home routers of request ids.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use membership::MembershipView;
use protocol::{
    ClaimMessage, EndedMessage, HandoverMessage, PromiseMessage, RequestsBody, VerdictMessage,
};
use requests::{
    Attempt, Claim, ClaimVerdict, EndState, HeldEntry, HomeDirectory, PROMISES_MAX, Promises,
    find_home,
};
use types::{RequestKey, RouterId, RouterName, Timestamp};
use utils::{Digest, HashMap};

use super::{pending_calls::PendingCalls, wire};
use crate::{Clock, peers::Peers};

/// Time for a home router to answer one claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// Claims sent before the home router counts as out of reach.
const CLAIM_TRIES: usize = 6;

/// Pause between two looks whether the home of an id has changed.
const HOME_CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Most ids in one message to a new home router.
const HELD_MAX: usize = 1_000;

/// The way to the home routers of request ids, and the directory of this router.
pub(super) struct HomeLink {
    /// Identity of this router.
    local: RouterId,
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// Clock.
    clock: Clock,
    /// What this router knows as a home router.
    directory: Mutex<HomeDirectory>,
    /// Claims that wait for an answer.
    claims: PendingCalls<ClaimVerdict>,
    /// Promises between this router and the others.
    promises: Mutex<Promises>,
    /// Members as of the last look for lost ones.
    seen: Mutex<Arc<MembershipView>>,
    /// Members as of the last time that ids were handed over.
    followed: Mutex<Arc<MembershipView>>,
}

impl HomeLink {
    /// Creates the link of router `local`.
    pub(super) fn new(local: RouterId, peers: Arc<dyn Peers>, clock: Clock) -> HomeLink {
        let view = peers.view();
        let directory = Mutex::new(HomeDirectory::new(clock.now()));
        let (seen, followed) = (Mutex::new(view.clone()), Mutex::new(view));
        let promises = Mutex::default();
        let claims = PendingCalls::new();
        HomeLink { local, peers, clock, directory, claims, promises, seen, followed }
    }

    /// Asks the home router; `None` where it is out of reach and this router may run the
    /// request without it.
    pub(super) async fn claim(&self, claim: &Claim) -> Option<ClaimVerdict> {
        loop {
            let mut home = self.home_of(&claim.key);
            for _ in 0..CLAIM_TRIES {
                if home == self.local.name {
                    return Some(self.decide(claim));
                }
                let send = |call| {
                    let message = wire::encode_claim(call, claim);
                    self.peers.send(&home, wire::wrap(RequestsBody::Claim(message)));
                };
                if let Some(verdict) = self.claims.call(CLAIM_TIMEOUT, send).await {
                    return Some(verdict);
                }
                home = self.home_of(&claim.key);
            }
            if self.wait_to_run_alone(&claim.key, &home).await {
                return None;
            }
        }
    }

    /// Waits until the promise to `home` has run out; false where another router became
    /// the home meanwhile.
    async fn wait_to_run_alone(&self, key: &RequestKey, home: &RouterName) -> bool {
        let allowed = self.lock_promises().refuse(home, self.clock.now());
        while self.clock.now() < allowed {
            if self.home_of(key) != *home {
                return false;
            }
            tokio::time::sleep(HOME_CHECK_PAUSE).await;
        }
        true
    }

    /// Asks the others for their promises.
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

    /// Answers a home router that asks for a promise, unless this router runs requests
    /// without it.
    pub(super) fn on_ask_promise(&self, from: &RouterId, message: &PromiseMessage) {
        if self.lock_promises().give(&from.name, self.clock.now()) {
            self.peers.send(&from.name, wire::wrap(RequestsBody::Promise(*message)));
        }
    }

    /// Takes a promise of another router.
    pub(super) fn on_promise(&self, from: &RouterId, message: &PromiseMessage) {
        if message.incarnation == self.local.incarnation.0 {
            self.lock_promises().on_promise(from, Timestamp(message.asked_at));
        }
    }

    /// Tells the home router how an attempt ended. The message may be lost: then the next
    /// router that is sent here learns it from this router.
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

    /// Tells new home routers what this router knows, where the members have changed.
    /// `own` returns the attempts of this router.
    pub(super) fn follow_members(&self, own: impl FnOnce() -> Vec<HeldEntry>) {
        self.note_losses();
        let view = self.peers.view();
        let before = replace(&self.followed, &view);
        if Arc::ptr_eq(&before, &view) || member_ids(&before) == member_ids(&view) {
            return;
        }
        let is_home = |key: &RequestKey| self.home_of(key) == self.local.name;
        let mut held = self.lock().take_moved(is_home);
        held.extend(own());
        self.hand_over(held);
    }

    /// Tells the directory where members were lost. What one of them handed over as it
    /// left may have been lost on its way.
    fn note_losses(&self) {
        let view = self.peers.view();
        let before = replace(&self.seen, &view);
        if Arc::ptr_eq(&before, &view) {
            return;
        }
        let is_member = |id: &RouterId| view.find(&id.name).is_some_and(|it| it.id == *id);
        if before.members().any(|old| !is_member(&old.id)) {
            self.lock().on_loss(self.clock.now());
        }
    }

    fn hand_over(&self, held: Vec<HeldEntry>) {
        let mut by_home: HashMap<RouterName, Vec<HeldEntry>> = HashMap::default();
        for entry in held {
            by_home.entry(self.home_of(&entry.key)).or_default().push(entry);
        }
        for (home, entries) in by_home {
            if home == self.local.name {
                let now = self.clock.now();
                let mut directory = self.lock();
                entries.into_iter().for_each(|entry| directory.hold(now, entry));
                continue;
            }
            for chunk in entries.chunks(HELD_MAX) {
                let entries = chunk.iter().map(wire::encode_held).collect();
                let message = HandoverMessage { entries };
                self.peers.send(&home, wire::wrap(RequestsBody::Handover(message)));
            }
        }
    }

    /// Answers the claim of another router.
    pub(super) fn on_claim(&self, from: &RouterId, message: &ClaimMessage) {
        let Some(claim) = wire::decode_claim(message) else { return };
        let verdict = Some(wire::encode_verdict(&self.decide(&claim)));
        let message = VerdictMessage { call: message.call, verdict };
        self.peers.send(&from.name, wire::wrap(RequestsBody::Verdict(message)));
    }

    /// Takes the answer to a claim of this router.
    pub(super) fn on_verdict(&self, message: &VerdictMessage) {
        if let Some(verdict) = wire::decode_verdict(message.verdict.as_ref()) {
            self.claims.answer(message.call, verdict);
        }
    }

    /// Notes the end of an attempt of another router.
    pub(super) fn on_ended(&self, message: &EndedMessage) {
        let request = wire::decode_request(message.request.as_ref());
        let attempt = wire::decode_attempt(message.attempt.as_ref());
        if let (Some((key, _)), Some(attempt)) = (request, attempt) {
            let state = wire::decode_end_state(message);
            self.lock().end(self.clock.now(), &key, &attempt, state);
        }
    }

    /// Takes what another router knows of ids whose home is here now.
    pub(super) fn on_held(&self, message: &HandoverMessage) {
        let now = self.clock.now();
        let mut directory = self.lock();
        for held in message.entries.iter().filter_map(wire::decode_held) {
            directory.hold(now, held);
        }
    }

    fn decide(&self, claim: &Claim) -> ClaimVerdict {
        self.note_losses();
        let view = self.peers.view();
        let is_home = self.home_of(&claim.key) == self.local.name;
        let now = self.clock.now();
        let is_vouched = is_home && self.lock_promises().hold(&other_ids(&view), now);
        let is_alive = |id: &RouterId| view.find(&id.name).is_some_and(|member| member.id == *id);
        self.lock().claim(now, claim, is_vouched, is_alive)
    }

    fn home_of(&self, key: &RequestKey) -> RouterName {
        let view = self.peers.view();
        let serving = view.serving().map(|member| &member.id.name);
        find_home(key, serving).unwrap_or(&self.local.name).clone()
    }

    fn lock_promises(&self) -> MutexGuard<'_, Promises> {
        self.promises.lock().expect("no holder of the lock panics")
    }

    fn lock(&self) -> MutexGuard<'_, HomeDirectory> {
        self.directory.lock().expect("no holder of the lock panics")
    }
}

/// Returns the other members.
fn other_ids(view: &MembershipView) -> Vec<RouterId> {
    view.others.iter().map(|member| member.id.clone()).collect()
}

/// Puts `view` in place of the one in `slot`; returns that one.
fn replace(slot: &Mutex<Arc<MembershipView>>, view: &Arc<MembershipView>) -> Arc<MembershipView> {
    let mut slot = slot.lock().expect("no holder of the lock panics");
    std::mem::replace(&mut *slot, view.clone())
}

/// Returns the serving members, whose change moves the homes of ids.
fn member_ids(view: &MembershipView) -> Vec<RouterId> {
    let mut ids: Vec<_> = view.serving().map(|member| member.id.clone()).collect();
    ids.sort();
    ids
}
