//! Log records of a plain service.

/// One run of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of the request id header; empty if the call had none.
    pub request_id: String,
    /// Request path, which names the action.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
}
