//! Events of a history.

use errors::Ran;
use serde::{Deserialize, Serialize};
use types::{AccountName, RequestKey, Tokens};

/// Number of one call of a caller; each retry is a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Tokens were deposited for a client account.
    Deposit {
        /// Account.
        account: AccountName,
        /// Tokens.
        tokens: Tokens,
    },
    /// A caller sent a request to a router.
    Call {
        /// Call.
        call: CallId,
        /// Request.
        request: RequestKey,
        /// Whether it may run more than once.
        is_idempotent: bool,
    },
    /// A call arrived at a router that was late in getting it. Without this event a call
    /// counts as arrived when it was made.
    Arrival {
        /// Call.
        call: CallId,
    },
    /// An endpoint ran a request and produced this whole answer, whether or not it
    /// arrived anywhere.
    Run {
        /// Request.
        request: RequestKey,
        /// Whole answer.
        answer: String,
    },
    /// A request was billed.
    Bill {
        /// Request.
        request: RequestKey,
        /// Tokens.
        tokens: Tokens,
    },
    /// A caller got an answer that was marked as whole.
    Answer {
        /// Call.
        call: CallId,
        /// Answer as it arrived.
        answer: String,
    },
    /// A caller got an error.
    Refusal {
        /// Call.
        call: CallId,
        /// What the error says about the execution of the request.
        ran: Ran,
    },
}

/// A history: events in their order.
///
/// Where events come from logs without a common clock, deposits go first, then calls,
/// runs and bills, then answers; a refusal that says "not run" needs its true place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Events in their order.
    pub events: Vec<Event>,
}

impl History {
    /// Adds an event at the end.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }
}
