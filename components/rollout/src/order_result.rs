//! Results of orders.

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderResult {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint refused the order.
    Refused,
    /// The weight store has no such weights; the order was not sent.
    NoWeights,
    /// The weight store allows no further load at the moment; the order was not sent.
    RateLimited,
    /// The endpoint did not answer; it may have accepted the order.
    Unknown,
}
