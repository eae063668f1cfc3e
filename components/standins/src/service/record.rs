//! Log records of a plain service.

/// One run of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of the request id header.
    pub request_id: String,
    /// Path of the action.
    pub path: String,
    /// Body of the call.
    pub body: Vec<u8>,
}
