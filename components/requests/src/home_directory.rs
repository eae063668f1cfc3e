//! Directory of the request ids for which a router is the home router.

use std::{collections::VecDeque, time::Duration};

use types::{RequestKey, RouterId, Timestamp};
use utils::{Digest, HashMap};

use crate::{Attempt, Claim, ClaimDecision, EndState, HandoverEntry};

/// Time for which a home router remembers a request id after its last event. For the same time
/// after the loss of a router, a request whose id is not in the directory may already have been
/// sent by the lost router.
pub const EARLIER_ATTEMPT_WINDOW: Duration = Duration::from_secs(15 * 60);

/// Maximum number of request ids in the directory.
const ENTRIES_MAX: usize = 100_000;

/// Directory of the request ids for which a router is the home router.
///
/// The directory is a hint for idempotent requests, which may run twice but are billed once. It
/// never decides who may send a non-idempotent call; only the intent row does.
#[derive(Debug, Clone, Default)]
pub struct HomeDirectory {
    /// Known request ids.
    entries: HashMap<RequestKey, HomeEntry>,
    /// Request ids with the time of an event, oldest first. Pairs can be outdated by a later event
    /// of the same id.
    by_age: VecDeque<(Timestamp, RequestKey)>,
    /// Time since which no information about request ids was lost.
    complete_since: Timestamp,
}

#[derive(Debug, Clone)]
struct HomeEntry {
    /// Digest of the request's content.
    fingerprint: Digest,
    /// Attempt that runs the request or has its answer.
    attempt: Option<Attempt>,
    /// Key of the answer in the object store, once it is stored there.
    object: Option<String>,
    /// Whether an attempt other than `attempt` may have been sent.
    has_earlier: bool,
    /// Whether `attempt` is still running.
    is_running: bool,
    /// Time of the last event.
    changed: Timestamp,
}

impl HomeDirectory {
    /// Creates an empty directory, which knows nothing about requests sent before `now`.
    pub fn new(now: Timestamp) -> HomeDirectory {
        HomeDirectory { complete_since: now, ..HomeDirectory::default() }
    }

    /// Records that a router was lost. It may have sent requests that were known only to itself and
    /// its own directory.
    pub fn on_router_lost(&mut self, now: Timestamp) {
        self.complete_since = now;
    }

    /// Decides a claim. `all_runs_claimed` is true if no other router can have run the request
    /// without a claim to this directory; `is_alive` returns whether a router process is a live
    /// member.
    pub fn claim(
        &mut self,
        now: Timestamp,
        claim: &Claim,
        all_runs_claimed: bool,
        is_alive: impl Fn(&RouterId) -> bool,
    ) -> ClaimDecision {
        self.evict_old(now);
        let is_complete =
            all_runs_claimed && now.since(self.complete_since) >= EARLIER_ATTEMPT_WINDOW;
        let Some(entry) = self.entries.get_mut(&claim.key) else {
            let entry = HomeEntry::new(now, claim, !is_complete);
            self.by_age.push_back((now, claim.key.clone()));
            self.entries.insert(claim.key.clone(), entry);
            return ClaimDecision::Granted { is_first: is_complete };
        };
        if entry.fingerprint != claim.fingerprint {
            return ClaimDecision::Reused;
        }
        entry.has_earlier |= !all_runs_claimed;
        let decision = entry.decide(claim, is_alive);
        if matches!(decision, ClaimDecision::Granted { .. }) {
            entry.attempt = Some(claim.attempt.clone());
            entry.object = None;
            entry.is_running = true;
        }
        self.touch(now, &claim.key);
        decision
    }

    /// Records how `attempt` ended. Does nothing unless it is the attempt in the directory.
    pub fn end(&mut self, now: Timestamp, key: &RequestKey, attempt: &Attempt, state: EndState) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.attempt.as_ref() != Some(attempt) {
            return;
        }
        let is_removed =
            state == EndState::IdReused || (state == EndState::NotRun && !entry.has_earlier);
        if is_removed {
            self.entries.remove(key);
            return;
        }
        entry.is_running = false;
        match state {
            EndState::Kept { object } => entry.object = object,
            EndState::MayHaveRun => {
                entry.attempt = None;
                entry.has_earlier = true;
            }
            EndState::NotRun | EndState::IdReused => entry.attempt = None,
        }
        self.touch(now, key);
    }

    /// Adds or merges what another router knows of a request id whose home router is now this one.
    pub fn merge_handover(&mut self, now: Timestamp, handover: HandoverEntry) {
        let new = HomeEntry {
            fingerprint: handover.fingerprint,
            is_running: handover.attempt.is_some() && handover.object.is_none(),
            attempt: handover.attempt,
            object: handover.object,
            has_earlier: handover.has_earlier,
            changed: now,
        };
        match self.entries.get_mut(&handover.key) {
            Some(known) => known.merge(new),
            None => {
                self.entries.insert(handover.key.clone(), new);
            }
        }
        self.touch(now, &handover.key);
    }

    /// Removes and returns the entries of the request ids whose home router is now another one.
    pub fn remove_moved(&mut self, is_home: impl Fn(&RequestKey) -> bool) -> Vec<HandoverEntry> {
        let moved: Vec<_> = self.entries.keys().filter(|key| !is_home(key)).cloned().collect();
        let remove_entry = |key: RequestKey| {
            let entry = self.entries.remove(&key)?;
            Some(HandoverEntry {
                key,
                fingerprint: entry.fingerprint,
                attempt: entry.attempt,
                object: entry.object,
                has_earlier: entry.has_earlier,
            })
        };
        moved.into_iter().filter_map(remove_entry).collect()
    }

    /// Returns the number of known request ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request id is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn touch(&mut self, now: Timestamp, key: &RequestKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.changed = now;
            self.by_age.push_back((now, key.clone()));
        }
    }

    /// Removes request ids without a recent event, and the oldest ones if the directory is too
    /// large.
    fn evict_old(&mut self, now: Timestamp) {
        while let Some((at, key)) = self.by_age.front() {
            let is_old = now.since(*at) >= EARLIER_ATTEMPT_WINDOW;
            if !is_old && self.by_age.len() <= 2 * ENTRIES_MAX && self.entries.len() <= ENTRIES_MAX
            {
                return;
            }
            let is_current = self
                .entries
                .get(key)
                .is_some_and(|entry| entry.changed == *at && !entry.is_running);
            if is_current {
                self.entries.remove(key);
                if !is_old {
                    self.complete_since = now;
                }
            }
            self.by_age.pop_front();
        }
    }
}

impl HomeEntry {
    fn new(now: Timestamp, claim: &Claim, has_earlier: bool) -> HomeEntry {
        HomeEntry {
            fingerprint: claim.fingerprint,
            attempt: Some(claim.attempt.clone()),
            object: None,
            has_earlier,
            is_running: true,
            changed: now,
        }
    }

    fn decide(&mut self, claim: &Claim, is_alive: impl Fn(&RouterId) -> bool) -> ClaimDecision {
        let Some(known) = self.attempt.clone() else {
            return ClaimDecision::Granted { is_first: !self.has_earlier };
        };
        if known == claim.attempt {
            return ClaimDecision::Granted { is_first: !self.has_earlier };
        }
        let is_given_up = claim.given_up.as_ref() == Some(&known);
        if !is_given_up && is_alive(&known.router) {
            return ClaimDecision::RunsAt(known);
        }
        if let Some(object) = self.object.clone().filter(|_| !is_given_up) {
            return ClaimDecision::Kept { attempt: known, object };
        }
        self.has_earlier = true;
        ClaimDecision::Granted { is_first: false }
    }

    /// Merges the entry of another router. If the attempts differ, that of this entry is kept.
    fn merge(&mut self, other: HomeEntry) {
        self.has_earlier |= other.has_earlier;
        match (&self.attempt, &other.attempt) {
            (None, Some(_)) => {
                self.attempt = other.attempt;
                self.object = other.object;
                self.is_running = other.is_running;
            }
            (Some(known), Some(second)) if known == second => {
                self.object = self.object.take().or(other.object);
            }
            (Some(_), Some(_)) => self.has_earlier = true,
            (_, None) => {}
        }
    }
}

#[cfg(test)]
#[path = "home_directory_tests.rs"]
mod tests;
