//! Log of an engine, which checks read.

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRecord {
    /// Value of the request id header.
    pub request_id: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Whether the whole answer was generated.
    pub is_finished: bool,
}

/// All runs of an engine. Outlives its crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLog {
    /// Runs in order of their start.
    pub records: Vec<EngineRecord>,
    /// Number of crashes.
    pub crashes: u32,
}
