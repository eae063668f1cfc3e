//! Reservations of tokens for requests.

use config::ShortagePolicy;
use types::{AccountName, Timestamp, Tokens};

/// Request to reserve tokens.
#[derive(Debug, Clone)]
pub struct ReserveRequest {
    /// Client account that pays.
    pub account: AccountName,
    /// Maximum number of tokens that the request can use.
    pub tokens: Tokens,
    /// What happens if too few tokens are available.
    pub shortage: ShortagePolicy,
    /// Deadline of the request.
    pub deadline: Timestamp,
}

/// Tokens reserved for one request. Must be settled or released exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation must be settled or released"]
pub struct Reservation {
    /// Number of the reservation, unique on its router.
    pub id: u64,
    /// Client account that pays.
    pub account: AccountName,
    /// Number of reserved tokens.
    pub tokens: Tokens,
}
