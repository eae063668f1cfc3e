//! Results of orders.

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderResult {
    /// The endpoint took it.
    Accepted,
    /// The endpoint refused it.
    Refused,
    /// The weight store has no such weights; the order was not sent.
    NoWeights,
    /// The weight store admits no further load now; the order was not sent.
    RateLimited,
    /// The endpoint did not answer; it may have taken it.
    Unknown,
}
