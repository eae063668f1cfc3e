//! Messages about request ids: which router runs a request, parts of its answer, and kept
//! answers.

use prost::{Message, Oneof};

/// Envelope of the messages about request ids.
#[derive(Clone, PartialEq, Message)]
pub struct RequestsMessage {
    /// The message; `None` if a newer version sent a kind unknown to this version.
    #[prost(oneof = "RequestsBody", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<RequestsBody>,
}

/// Kinds of messages about request ids.
#[derive(Clone, PartialEq, Oneof)]
pub enum RequestsBody {
    /// Asks the home router for permission to run a request.
    #[prost(message, tag = "1")]
    Claim(ClaimMessage),
    /// Answers a claim.
    #[prost(message, tag = "2")]
    Decision(DecisionMessage),
    /// Reports to the home router that an attempt ended.
    #[prost(message, tag = "3")]
    Ended(EndedMessage),
    /// Hands over what a router knows of request ids to their new home router.
    #[prost(message, tag = "4")]
    Handover(HandoverMessage),
    /// Asks another router for a part of an answer.
    #[prost(message, tag = "5")]
    Fetch(FetchMessage),
    /// Answers a fetch with a part of the answer.
    #[prost(message, tag = "6")]
    Part(PartMessage),
    /// Asks for a promise; sent by a home router.
    #[prost(message, tag = "7")]
    PromiseRequest(PromiseMessage),
    /// Gives the promise that a home router asked for.
    #[prost(message, tag = "8")]
    Promise(PromiseMessage),
}

/// Promise of a router to the home router that asked for it: not to run requests without
/// asking that home router first. The home router sends the same message to ask for it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PromiseMessage {
    /// Incarnation of the home router.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Time at which the home router asked, in microseconds of its clock.
    #[prost(uint64, tag = "2")]
    pub asked_at: u64,
}

/// Key of a request and the digest of its content.
#[derive(Clone, PartialEq, Message)]
pub struct RequestRef {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Request id, chosen by the caller.
    #[prost(string, tag = "2")]
    pub id: String,
    /// SHA-256 digest of the content, in hexadecimal.
    #[prost(string, tag = "3")]
    pub fingerprint: String,
}

/// One attempt of a router to run a request.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptRef {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation of the router.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the attempt.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// Asks the home router of a request for permission to run it.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimMessage {
    /// Number of the call, repeated in its answer.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Request to run.
    #[prost(message, optional, tag = "2")]
    pub request: Option<RequestRef>,
    /// Attempt that would run it.
    #[prost(message, optional, tag = "3")]
    pub attempt: Option<AttemptRef>,
    /// Earlier attempt whose answer the router failed to get; `None` if there was none.
    #[prost(message, optional, tag = "4")]
    pub given_up: Option<AttemptRef>,
}

/// Answer of the home router to a claim.
#[derive(Clone, PartialEq, Message)]
pub struct DecisionMessage {
    /// Number of the call that is answered.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The decision; `None` if a newer version sent one unknown to this version.
    #[prost(oneof = "DecisionBody", tags = "2, 3, 4, 5")]
    pub decision: Option<DecisionBody>,
}

/// What the router that claimed a request must do.
#[derive(Clone, PartialEq, Oneof)]
pub enum DecisionBody {
    /// Run the request; true if no earlier attempt can have been sent.
    #[prost(bool, tag = "2")]
    Granted(bool),
    /// Get the answer of this attempt from its router.
    #[prost(message, tag = "3")]
    RunsAt(AttemptRef),
    /// Get the answer from the object store.
    #[prost(message, tag = "4")]
    Kept(KeptRef),
    /// Refuse the request: its id was used before with different content. The value is always
    /// true.
    #[prost(bool, tag = "5")]
    Reused(bool),
}

/// Location of an answer in the object store.
#[derive(Clone, PartialEq, Message)]
pub struct KeptRef {
    /// Attempt that the answer belongs to.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptRef>,
    /// Key of the object.
    #[prost(string, tag = "2")]
    pub object: String,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EndKind {
    /// Not set, or set by a newer version to a value unknown to this version.
    Unspecified = 0,
    /// The answer is complete and kept.
    Kept = 1,
    /// Nothing was sent to an endpoint.
    NotRun = 2,
    /// The request may have been sent to an endpoint.
    MayHaveRun = 3,
    /// The claim was invalid: the id belongs to a request with different content.
    IdReused = 4,
}

/// Reports to the home router how an attempt ended.
#[derive(Clone, PartialEq, Message)]
pub struct EndedMessage {
    /// Request that the attempt belongs to.
    #[prost(message, optional, tag = "1")]
    pub request: Option<RequestRef>,
    /// Attempt that ended.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<AttemptRef>,
    /// How it ended, as an [`EndKind`].
    #[prost(enumeration = "EndKind", tag = "3")]
    pub kind: i32,
    /// Key of the answer in the object store; empty if it is not stored there.
    #[prost(string, tag = "4")]
    pub object: String,
}

/// Hands over request ids to their new home router.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverMessage {
    /// What the sender knows of each id.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HandoverRef>,
}

/// What a router knows of one request id.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverRef {
    /// Request with this id.
    #[prost(message, optional, tag = "1")]
    pub request: Option<RequestRef>,
    /// Attempt that runs the request or has its answer; `None` if there is no such attempt.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<AttemptRef>,
    /// Key of the answer in the object store; empty if it is not stored there.
    #[prost(string, tag = "3")]
    pub object: String,
    /// Whether an earlier attempt may have been sent.
    #[prost(bool, tag = "4")]
    pub has_earlier: bool,
}

/// Asks for the part of an answer that starts at `offset`.
#[derive(Clone, PartialEq, Message)]
pub struct FetchMessage {
    /// Number of the call, repeated in its answer.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Request whose answer is fetched.
    #[prost(message, optional, tag = "2")]
    pub request: Option<RequestRef>,
    /// Attempt that the answer belongs to.
    #[prost(message, optional, tag = "3")]
    pub attempt: Option<AttemptRef>,
    /// Start of the part, in bytes of the body.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Whether the sender already has the head of the answer.
    #[prost(bool, tag = "5")]
    pub has_head: bool,
}

/// Answer to a fetch: a part of the answer to a request.
#[derive(Clone, PartialEq, Message)]
pub struct PartMessage {
    /// Number of the call that is answered.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Attempt that the answer belongs to.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<AttemptRef>,
    /// Whether the sender knows the attempt; if not, the message carries no part.
    #[prost(bool, tag = "3")]
    pub is_known: bool,
    /// Start of the part, in bytes of the body.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Head of the answer, once it is known.
    #[prost(message, optional, tag = "5")]
    pub head: Option<AnswerHeadMessage>,
    /// Bytes of the body; empty if no more have arrived.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: bytes::Bytes,
    /// How the answer ended; set only with its last part.
    #[prost(oneof = "AnswerEndBody", tags = "7, 8")]
    pub end: Option<AnswerEndBody>,
}

/// Status and content type of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHeadMessage {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Value of the `content-type` header.
    #[prost(string, tag = "2")]
    pub content_type: String,
}

/// How an answer ended.
#[derive(Clone, PartialEq, Oneof)]
pub enum AnswerEndBody {
    /// The answer is complete and billed.
    #[prost(message, tag = "7")]
    Whole(WholeEnd),
    /// The answer failed and will not be completed.
    #[prost(message, tag = "8")]
    Failed(FailedEnd),
}

/// End of a complete answer.
#[derive(Clone, PartialEq, Message)]
pub struct WholeEnd {
    /// Finish reason of a chat completion; `None` for an action.
    #[prost(string, optional, tag = "1")]
    pub finish_reason: Option<String>,
    /// Number of tokens in the prompt.
    #[prost(uint64, tag = "2")]
    pub prompt_tokens: u64,
    /// Number of tokens in the answer.
    #[prost(uint64, tag = "3")]
    pub completion_tokens: u64,
}

/// End of an answer that failed.
#[derive(Clone, PartialEq, Message)]
pub struct FailedEnd {
    /// Code of the error kind.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Human-readable error message.
    #[prost(string, tag = "2")]
    pub message: String,
    /// Whether it is certain that the request did not run.
    #[prost(bool, tag = "3")]
    pub did_not_run: bool,
}
