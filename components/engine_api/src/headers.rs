//! HTTP headers of calls to engines.

/// Id of a call, composed of client account, request id and attempt.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Priority of a call: `0` bulk, `1` normal, `2` urgent.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Version of the model that must serve a call.
pub const MODEL_VERSION_HEADER: &str = "x-model-version";

/// Adapter that must serve a call.
pub const ADAPTER_HEADER: &str = "x-adapter";

/// Number of tokens that the router has already received; the engine sends the tokens after
/// them.
pub const RESUME_FROM_HEADER: &str = "x-resume-from";

/// Fencing number of a call to a plain service that checks it.
pub const FENCING_HEADER: &str = "x-fencing-number";
