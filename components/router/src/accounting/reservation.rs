//! Reservations.

use config::ShortagePolicy;
use types::{AccountName, Timestamp, Tokens};

/// What a request wants to reserve.
#[derive(Debug, Clone)]
pub struct ReserveRequest {
    /// Client account that pays.
    pub account: AccountName,
    /// Tokens that the request uses at most.
    pub tokens: Tokens,
    /// What happens when the budget is short.
    pub shortage: ShortagePolicy,
    /// Deadline of the request.
    pub deadline: Timestamp,
}

/// Tokens reserved for one request. To be settled or released, exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation is to be settled or released"]
pub struct Reservation {
    /// Number of the reservation on its router.
    pub id: u64,
    /// Client account that pays.
    pub account: AccountName,
    /// Tokens reserved.
    pub tokens: Tokens,
}
