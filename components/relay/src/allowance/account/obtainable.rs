//! How many tokens of an account a router could still obtain from anywhere, by the statements of
//! all holders.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::HashMap;

/// Age at which a holder's statement no longer counts.
const STATEMENT_MAX_AGE: Duration = Duration::from_millis(1_000);

/// A request is refused for good only if its tokens were missing for at least this time, in which
/// borrowers give back what they do not need and a holder reads the accounts' rows again.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(2_000);

/// What a holder states about an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderStatement {
    /// Tokens that the holder has, including those that it may not lend yet.
    pub held: u64,
    /// Tokens that no router has drawn from the store.
    pub undrawn: u64,
}

/// The sums of tokens seen in one observation period.
#[derive(Debug, Clone, Copy)]
struct Period {
    since: Timestamp,
    highest: u64,
}

/// Tokens of an account that this router could obtain from anywhere.
#[derive(Debug, Clone, Default)]
pub(super) struct ObtainableTokens {
    /// Latest statements by holder.
    statements: HashMap<Arc<str>, (HolderStatement, Timestamp)>,
    current: Option<Period>,
    /// The whole period before the current one, if something was observed in both.
    previous: Option<Period>,
}

impl ObtainableTokens {
    /// Records what a holder states.
    pub(super) fn record(&mut self, holder: Arc<str>, statement: HolderStatement, now: Timestamp) {
        self.statements.retain(|_, (_, at)| now.since(*at) < STATEMENT_MAX_AGE);
        self.statements.insert(holder, (statement, now));
    }

    /// Adds up the tokens of this router and of all other holders. Nothing is learned if a holder
    /// has not stated recently what it has.
    pub(super) fn observe(&mut self, own: HolderStatement, holders: &[Arc<str>], now: Timestamp) {
        let recent = |holder| {
            let (statement, at) = self.statements.get(holder)?;
            (now.since(*at) < STATEMENT_MAX_AGE).then_some(*statement)
        };
        let Some(stated) = holders.iter().map(recent).collect::<Option<Vec<_>>>() else { return };
        let held: u64 = stated.iter().map(|it| it.held).fold(own.held, u64::saturating_add);
        let undrawn = stated.iter().map(|it| it.undrawn).fold(own.undrawn, u64::max);
        let sum = held.saturating_add(undrawn);
        match &mut self.current {
            Some(period) if now.since(period.since) < OBSERVATION_PERIOD => {
                period.highest = period.highest.max(sum);
            }
            current => {
                let ended = current.replace(Period { since: now, highest: sum });
                let follows = |it: &Period| now.since(it.since) < 2 * OBSERVATION_PERIOD;
                self.previous = ended.filter(follows);
            }
        }
    }

    /// Returns whether the tokens could not be obtained throughout the last observation period.
    pub(super) fn is_short_of(&self, tokens: u64, now: Timestamp) -> bool {
        let (Some(current), Some(previous)) = (self.current, self.previous) else { return false };
        now.since(current.since) < OBSERVATION_PERIOD
            && tokens > current.highest.max(previous.highest)
    }

    /// Forgets everything, because the prepaid tokens have changed.
    pub(super) fn clear(&mut self) {
        *self = ObtainableTokens::default();
    }
}
