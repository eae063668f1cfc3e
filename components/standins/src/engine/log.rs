//! Log of an engine, for checks.

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRecord {
    /// Value of the request id header; empty if the request had none.
    pub request_id: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated so far.
    pub generated_tokens: u64,
    /// Whether the complete answer was generated.
    pub is_finished: bool,
}

/// All runs of an engine. It is kept across crashes and restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLog {
    /// Runs, in the order in which they were submitted.
    pub records: Vec<EngineRecord>,
    /// Number of crashes.
    pub crashes: u32,
}
