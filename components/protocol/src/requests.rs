//! Messages about request ids: who runs a request, parts of answers, kept answers.

use prost::{Message, Oneof};

/// Message about request ids.
#[derive(Clone, PartialEq, Message)]
pub struct RequestsMessage {
    /// The message; absent where a newer version sent another.
    #[prost(oneof = "RequestsBody", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<RequestsBody>,
}

/// The messages about request ids.
#[derive(Clone, PartialEq, Oneof)]
pub enum RequestsBody {
    /// A router wants to run a request.
    #[prost(message, tag = "1")]
    Claim(ClaimMessage),
    /// Answer to a claim.
    #[prost(message, tag = "2")]
    Verdict(VerdictMessage),
    /// An attempt ended.
    #[prost(message, tag = "3")]
    Ended(EndedMessage),
    /// What a router knows of ids, for their new home.
    #[prost(message, tag = "4")]
    Handover(HandoverMessage),
    /// A router wants a part of an answer.
    #[prost(message, tag = "5")]
    Fetch(FetchMessage),
    /// Part of an answer.
    #[prost(message, tag = "6")]
    Part(PartMessage),
    /// A home router asks for a promise.
    #[prost(message, tag = "7")]
    PromiseRequest(PromiseMessage),
    /// The promise that it asked for.
    #[prost(message, tag = "8")]
    Promise(PromiseMessage),
}

/// Promise of a router not to run requests without the home router that asked for it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PromiseMessage {
    /// Incarnation of the home router.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// When it asked, in microseconds of its clock.
    #[prost(uint64, tag = "2")]
    pub asked_at: u64,
}

/// Key of a request and the digest of its content.
#[derive(Clone, PartialEq, Message)]
pub struct RequestRef {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Id that the caller chose.
    #[prost(string, tag = "2")]
    pub id: String,
    /// SHA-256 digest of the content, as hexadecimal digits.
    #[prost(string, tag = "3")]
    pub fingerprint: String,
}

/// One run of a request on one router.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptRef {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Incarnation of the router.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the run.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// A router wants to run a request.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimMessage {
    /// Number of the call, which its answer repeats.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Request.
    #[prost(message, optional, tag = "2")]
    pub request: Option<RequestRef>,
    /// Attempt that is to run it.
    #[prost(message, optional, tag = "3")]
    pub attempt: Option<AttemptRef>,
    /// Attempt whose answer the router could not get.
    #[prost(message, optional, tag = "4")]
    pub given_up: Option<AttemptRef>,
}

/// Answer to a claim.
#[derive(Clone, PartialEq, Message)]
pub struct VerdictMessage {
    /// Number of the call.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// What is to be done; absent where a newer version says something else.
    #[prost(oneof = "VerdictBody", tags = "2, 3, 4, 5")]
    pub verdict: Option<VerdictBody>,
}

/// What a router that claimed a request is to do.
#[derive(Clone, PartialEq, Oneof)]
pub enum VerdictBody {
    /// Run it; true where no earlier attempt can have been sent.
    #[prost(bool, tag = "2")]
    Granted(bool),
    /// Get the answer of this attempt from its router.
    #[prost(message, tag = "3")]
    RunsAt(AttemptRef),
    /// Get the answer from the object store.
    #[prost(message, tag = "4")]
    Kept(KeptRef),
    /// Refuse it: the id was used with other content.
    #[prost(bool, tag = "5")]
    Reused(bool),
}

/// Place of a kept answer.
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
    /// Not said, or said by a newer version.
    Unspecified = 0,
    /// The answer is whole and kept.
    Kept = 1,
    /// Nothing was sent.
    NotRun = 2,
    /// Something may have been sent.
    MayHaveRun = 3,
    /// The claim was void: the id belongs to other content.
    Forgotten = 4,
}

/// An attempt ended.
#[derive(Clone, PartialEq, Message)]
pub struct EndedMessage {
    /// Request.
    #[prost(message, optional, tag = "1")]
    pub request: Option<RequestRef>,
    /// Attempt.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<AttemptRef>,
    /// How it ended.
    #[prost(enumeration = "EndKind", tag = "3")]
    pub kind: i32,
    /// Object that holds the answer; empty where none does.
    #[prost(string, tag = "4")]
    pub object: String,
}

/// What a router knows of ids, for their new home.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverMessage {
    /// The ids.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HandoverEntry>,
}

/// What a router knows of one id.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverEntry {
    /// Request.
    #[prost(message, optional, tag = "1")]
    pub request: Option<RequestRef>,
    /// Attempt that runs it or keeps its answer; absent where none does.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<AttemptRef>,
    /// Object that holds the answer; empty where none does.
    #[prost(string, tag = "3")]
    pub object: String,
    /// Whether an earlier attempt may have been sent.
    #[prost(bool, tag = "4")]
    pub has_earlier: bool,
}

/// A router wants the part of an answer that starts at `offset`.
#[derive(Clone, PartialEq, Message)]
pub struct FetchMessage {
    /// Number of the call, which its answer repeats.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Request.
    #[prost(message, optional, tag = "2")]
    pub request: Option<RequestRef>,
    /// Attempt that the answer belongs to.
    #[prost(message, optional, tag = "3")]
    pub attempt: Option<AttemptRef>,
    /// Start of the part, in bytes of the body.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Whether the head is known already.
    #[prost(bool, tag = "5")]
    pub has_head: bool,
}

/// Part of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct PartMessage {
    /// Number of the call.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Attempt that the answer belongs to.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<AttemptRef>,
    /// Whether the router knows the attempt; everything else is empty where not.
    #[prost(bool, tag = "3")]
    pub is_known: bool,
    /// Start of the part, in bytes of the body.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Head, once known.
    #[prost(message, optional, tag = "5")]
    pub head: Option<AnswerHeadMessage>,
    /// The part; empty where nothing new has arrived.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: bytes::Bytes,
    /// How the answer ended; only with its last part.
    #[prost(oneof = "AnswerEndBody", tags = "7, 8")]
    pub end: Option<AnswerEndBody>,
}

/// Head of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHeadMessage {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
}

/// How an answer ended.
#[derive(Clone, PartialEq, Oneof)]
pub enum AnswerEndBody {
    /// It is whole and billed.
    #[prost(message, tag = "7")]
    Whole(WholeEnd),
    /// It is not whole and will not be.
    #[prost(message, tag = "8")]
    Failed(FailedEnd),
}

/// End of a whole answer.
#[derive(Clone, PartialEq, Message)]
pub struct WholeEnd {
    /// Why a chat answer ended; absent for an action.
    #[prost(string, optional, tag = "1")]
    pub finish_reason: Option<String>,
    /// Tokens of the prompt.
    #[prost(uint64, tag = "2")]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[prost(uint64, tag = "3")]
    pub completion_tokens: u64,
}

/// End of an answer that is not whole.
#[derive(Clone, PartialEq, Message)]
pub struct FailedEnd {
    /// Code of the error's kind.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Message for people.
    #[prost(string, tag = "2")]
    pub message: String,
    /// Whether the error says for certain that the request did not run.
    #[prost(bool, tag = "3")]
    pub did_not_run: bool,
}
