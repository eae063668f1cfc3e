//! Draws that other routers have to know of before their tokens are usable, so that they are not lost
//! with this process if the store comes back from an older copy.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use types::Timestamp;
use utils::HashMap;

use super::RouterAllowances;
use crate::allowance::{recovery::OLDER_COPY_MAX_AGE, rows::AllowanceRow, witness::RouterProcess};

/// Number of other routers that have to know of a draw before its tokens are usable.
const DRAW_WITNESSES: usize = 2;

/// What is known of draws in the current era of the store.
#[derive(Debug, Default)]
pub(super) struct DrawBook {
    /// Highest totals of accounts' rows that this router has written with a draw or that others have told
    /// of, each with the time of the last one.
    totals: HashMap<Arc<str>, (AllowanceRow, Timestamp)>,
    /// Processes that have ended after they told this one of their draws.
    concluded: BTreeSet<RouterProcess>,
    /// Draws that too few other routers know of; their tokens are not usable.
    unwitnessed: Vec<UnwitnessedDraw>,
}

/// A draw that took effect, and the routers that know of it.
#[derive(Debug)]
pub(super) struct UnwitnessedDraw {
    /// Number of the commit.
    number: u64,
    /// Account of the tokens.
    pub(super) account: Arc<str>,
    /// Number of tokens.
    pub(super) tokens: u64,
    /// Routers that have confirmed that they know of it.
    known_to: BTreeSet<Arc<str>>,
}

/// Totals of accounts' rows that a router tells others, so that its draws are known to them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawNotice {
    /// The process that draws.
    pub process: RouterProcess,
    /// Number of the last commit with a draw.
    pub number: u64,
    /// Whether the process ends, so that no draws follow.
    pub is_final: bool,
    /// Era of the store.
    pub era: u64,
    /// Accounts' rows after the draws.
    pub accounts: BTreeMap<Arc<str>, AllowanceRow>,
}

impl DrawBook {
    /// Returns the processes that have ended after they told this one of their draws.
    pub(super) fn concluded(&self) -> impl Iterator<Item = &RouterProcess> {
        self.concluded.iter()
    }

    /// Returns whether drawn tokens of an account are held back until other routers know of the draw.
    pub(super) fn holds_back(&self, account: &str) -> bool {
        self.unwitnessed.iter().any(|it| *it.account == *account)
    }

    /// Keeps the totals of an account's row after a draw.
    fn record_totals(&mut self, account: &Arc<str>, row: &AllowanceRow, now: Timestamp) {
        let is_recent = |at: Timestamp| now.since(at) <= OLDER_COPY_MAX_AGE;
        let known = self.totals.get(account).filter(|(_, at)| is_recent(*at));
        let highest = known.map_or_else(|| row.clone(), |(known, _)| known.highest(row));
        self.totals.insert(account.clone(), (highest, now));
    }

    /// Removes and returns the totals after draws that may be missing in an older copy of the store.
    pub(super) fn take_totals(
        &mut self,
        now: Timestamp,
    ) -> impl Iterator<Item = (Arc<str>, AllowanceRow)> + use<> {
        let totals = std::mem::take(&mut self.totals).into_iter();
        let recent = totals.filter(move |(_, (_, at))| now.since(*at) <= OLDER_COPY_MAX_AGE);
        recent.map(|(name, (row, _))| (name, row))
    }

    /// Removes and returns the draws whose tokens are not usable yet.
    pub(super) fn take_unwitnessed(&mut self) -> Vec<UnwitnessedDraw> {
        std::mem::take(&mut self.unwitnessed)
    }
}

impl RouterAllowances {
    /// Holds back the tokens of a draw that took effect until other routers know of it. `row` is the
    /// account's row after it.
    pub(super) fn hold_back_draw(
        &mut self,
        number: u64,
        (account, tokens): (&Arc<str>, u64),
        row: Option<&AllowanceRow>,
        now: Timestamp,
    ) {
        if let Some(row) = row {
            self.eras.draws.record_totals(account, row, now);
        }
        let known_to = BTreeSet::new();
        let account = account.clone();
        let draw = UnwitnessedDraw { number, account, tokens, known_to };
        self.eras.draws.unwitnessed.push(draw);
    }

    /// Makes the tokens of draws usable that enough other routers know of. `known` and `live` are the
    /// numbers of other routers that can confirm draws: those that this router knows, and of these the
    /// ones that are alive. If it knows none, draws are usable at once. Returns whether tokens have
    /// become usable.
    pub fn release_draws(&mut self, known: usize, live: usize) -> bool {
        if self.eras.draws.unwitnessed.is_empty() || !self.eras.is_open() {
            return false;
        }
        let needed = if known == 0 { 0 } else { live.clamp(1, DRAW_WITNESSES) };
        let draws = self.eras.draws.take_unwitnessed();
        let (known, open): (Vec<_>, Vec<_>) =
            draws.into_iter().partition(|it| it.known_to.len() >= needed);
        self.eras.draws.unwitnessed = open;
        known.iter().for_each(|it| self.credit_draw(it));
        !known.is_empty()
    }

    /// Makes all drawn tokens usable, to return them: other routers need not know of the draws then.
    pub fn release_all_draws(&mut self) {
        for it in self.eras.draws.take_unwitnessed() {
            self.credit_draw(&it);
        }
    }

    pub(super) fn credit_draw(&mut self, draw: &UnwitnessedDraw) {
        if let Some(allowance) = self.accounts.get_mut(&draw.account) {
            allowance.credit_draw(draw.tokens);
        }
    }

    /// Returns what other routers have to be told before this router's last draws are usable; `None`
    /// if there is nothing to tell.
    pub fn draw_notice(&self) -> Option<DrawNotice> {
        let era = self.eras.number().filter(|_| self.eras.is_open())?;
        let draws = &self.eras.draws;
        let number = draws.unwitnessed.iter().map(|it| it.number).max()?;
        let accounts = draws.unwitnessed.iter().filter_map(|it| {
            let (row, _) = draws.totals.get(&it.account)?;
            Some((it.account.clone(), row.clone()))
        });
        let (process, accounts) = (self.own_process(), accounts.collect());
        Some(DrawNotice { process, number, is_final: false, era, accounts })
    }

    /// Returns what other routers have to be told when this process ends, so that they need not wait
    /// for it in a recovery.
    pub fn final_notice(&self) -> Option<DrawNotice> {
        let era = self.eras.number().filter(|_| self.eras.is_open())?;
        let totals =
            self.eras.draws.totals.iter().map(|(name, (row, _))| (name.clone(), row.clone()));
        let (process, number) = (self.own_process(), self.last_commit_id.number);
        Some(DrawNotice { process, number, is_final: true, era, accounts: totals.collect() })
    }

    /// Keeps what another router tells of its draws. Returns false if its rows are of another era than
    /// those of this router, so that it must not rely on it.
    pub fn apply_draw_notice(&mut self, notice: &DrawNotice, now: Timestamp) -> bool {
        if self.eras.number() != Some(notice.era) || !self.eras.is_open() {
            return false;
        }
        for (name, row) in &notice.accounts {
            self.eras.draws.record_totals(name, row, now);
        }
        if notice.is_final {
            self.eras.draws.concluded.insert(notice.process.clone());
        }
        true
    }

    /// Handles another router's confirmation that it knows of the draws up to a commit.
    pub fn on_draw_confirmed(&mut self, router: &Arc<str>, number: u64, era: u64) {
        if self.eras.number() != Some(era) {
            return;
        }
        let draws = self.eras.draws.unwitnessed.iter_mut();
        for it in draws.filter(|it| it.number <= number) {
            it.known_to.insert(router.clone());
        }
    }
}
