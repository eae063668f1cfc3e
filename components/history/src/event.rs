//! Events of concurrent requests and client accounts, and the histories that they form.

use errors::Ran;
use serde::{Deserialize, Serialize};
use types::{AccountName, RequestKey, Tokens};

/// Identifies one call of a caller. Each retry is a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Event of a history.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Tokens were deposited for a client account.
    Deposit {
        /// Account that receives the tokens.
        account: AccountName,
        /// Tokens deposited.
        tokens: Tokens,
    },
    /// A caller sent a request to a router.
    Call {
        /// Id of the call.
        call: CallId,
        /// Request that is sent.
        request: RequestKey,
        /// Whether the request may run more than once.
        is_idempotent: bool,
    },
    /// A router received a call that was delayed. Without this event, a call is taken to
    /// have arrived when it was made.
    Arrival {
        /// Call that arrived.
        call: CallId,
    },
    /// An endpoint ran a request and produced its complete answer, whether or not anyone
    /// received it.
    Run {
        /// Request that ran.
        request: RequestKey,
        /// Complete answer.
        answer: String,
    },
    /// A request was billed.
    Bill {
        /// Request that was billed.
        request: RequestKey,
        /// Tokens billed.
        tokens: Tokens,
    },
    /// A caller received an answer that was marked as complete.
    Answer {
        /// Call that was answered.
        call: CallId,
        /// Answer as received.
        answer: String,
    },
    /// A caller received an error.
    Refusal {
        /// Call that was refused.
        call: CallId,
        /// Whether the request ran, according to the error.
        ran: Ran,
    },
}

/// Sequence of events.
///
/// If the events come from logs without a common clock, deposits go first, then calls, runs
/// and bills, then answers. A refusal which states that the request did not run must be at its
/// actual position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Events, in the order in which they happened.
    pub events: Vec<Event>,
}

impl History {
    /// Appends an event.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }
}
