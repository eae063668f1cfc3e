//! A store that states its era: recoveries, and the messages on draws that they rely on.

use platform::{Commit, CommitOutcome, Era};
use rand::Rng as _;
use relay::allowance::RouterProcess;

use crate::{ROUTERS, store::SentCommit, world::World};

impl World {
    /// Sends a commit of a recovery; its answer may be lost, and it may take effect late.
    pub(crate) fn commit_recovery(&mut self, index: usize, commit: Commit) {
        let process = self.routers[index].process;
        let sent = SentCommit { commit, process, taken_over: 0 };
        let outcome = if self.rng.random_bool(self.faults.lost_answer) {
            let late = self.step + self.rng.random_range(0..80);
            self.store.late.push((late, sent));
            CommitOutcome::Unknown
        } else {
            match self.store.commit(&sent) {
                Ok(revision) => CommitOutcome::Committed(revision),
                Err(key) => CommitOutcome::Conflict(key),
            }
        };
        self.routers[index].allowances.on_recovery_outcome(&outcome);
    }

    /// Returns the era that the store states; `None` if it never comes back from an older copy.
    pub(crate) fn store_era(&self) -> Option<Era> {
        (self.faults.old_copy > 0.0).then_some(Era(self.store.era))
    }

    /// Returns the other processes that were alive within the last twelve seconds.
    pub(crate) fn recent_processes(&self, index: usize) -> Vec<RouterProcess> {
        let own = self.routers[index].identity();
        let recent = self.alive.iter().filter(|(_, at)| self.step - **at <= 240);
        recent.map(|(it, _)| it.clone()).filter(|it| *it != own).collect()
    }

    /// Tells the other routers that a process has ended; the message may be lost.
    pub(crate) fn send_final_notice(&mut self, index: usize) {
        let Some(notice) = self.routers[index].allowances.final_notice() else { return };
        for other in 0..ROUTERS {
            let now = self.now_of(other);
            if self.routers[other].down_until.is_none() && self.rng.random_bool(0.7) {
                self.routers[other].allowances.apply_draw_notice(&notice, now);
            }
        }
    }

    /// Tells other routers of draws; the message or its confirmation may be lost.
    pub(crate) fn exchange_draw_notices(&mut self, index: usize) {
        let others: Vec<usize> = (0..ROUTERS)
            .filter(|&it| it != index && self.routers[it].down_until.is_none())
            .collect();
        if let Some(notice) = self.routers[index].allowances.draw_notice() {
            for &other in &others {
                let now = self.now_of(other);
                let is_known = self.rng.random_bool(0.7)
                    && self.routers[other].allowances.apply_draw_notice(&notice, now);
                if is_known && self.rng.random_bool(0.7) {
                    let name = self.routers[other].name.clone();
                    let allowances = &mut self.routers[index].allowances;
                    allowances.on_draw_confirmed(&name, notice.number, notice.era);
                }
            }
        }
        self.routers[index].allowances.release_draws(ROUTERS - 1, others.len());
    }
}
