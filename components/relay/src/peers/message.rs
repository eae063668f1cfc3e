//! Protocol buffer messages between routers. A datagram holds one [`PeerMessage`].

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use prost::{Message, Oneof};
use types::Timestamp;

use super::{
    AdmissionEndMessage, AdmissionReplyMessage, AdmissionRequestMessage, DomainsMessage,
    DrawAckMessage, DrawNoticeMessage, EvidenceMessage, LivenessReport, OriginMessage,
    OriginQueryMessage, OriginReplyMessage, SpeedMessage, StatementMessage,
};
use crate::{
    allowance::{RouterProcess, WitnessDeclaration, WitnessStatement},
    endpoints::{Load, LoadShare},
    room::RouterRoom,
};

/// Content of a datagram.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// The message; `None` if its kind is unknown or missing.
    #[prost(
        oneof = "PeerContent",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub content: Option<PeerContent>,
}

/// Kinds of messages between routers.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerContent {
    /// State of the sender.
    #[prost(message, tag = "1")]
    Status(Box<StatusMessage>),
    /// The sender requests a loan of tokens.
    #[prost(message, tag = "2")]
    LoanRequest(LoanMessage),
    /// The sender lends tokens to the receiver, in answer to its request.
    #[prost(message, tag = "3")]
    Loan(LoanMessage),
    /// The sender declares to the receiver, its witness, how many tokens it will neither spend nor
    /// lend.
    #[prost(message, tag = "4")]
    Declaration(DeclarationMessage),
    /// The sender has stored a declaration of the receiver.
    #[prost(message, tag = "5")]
    DeclarationAck(DeclarationMessage),
    /// The sender asks its witness what its previous process declared.
    #[prost(message, tag = "6")]
    DeclarationQuery(DeclarationMessage),
    /// The answer to a declaration query.
    #[prost(message, tag = "7")]
    DeclarationReply(DeclarationMessage),
    /// The sender returns borrowed tokens.
    #[prost(message, tag = "8")]
    LoanReturn(LoanMessage),
    /// The sender asks the receiver to keep where a stream began.
    #[prost(message, tag = "9")]
    Origin(OriginMessage),
    /// The sender asks where a stream began.
    #[prost(message, tag = "10")]
    OriginQuery(OriginQueryMessage),
    /// The answer to a query for where a stream began.
    #[prost(message, tag = "11")]
    OriginReply(OriginReplyMessage),
    /// The sender asks the receiver to admit a request to a brittle endpoint.
    #[prost(message, tag = "12")]
    AdmissionRequest(AdmissionRequestMessage),
    /// The answer to an admission request.
    #[prost(message, tag = "13")]
    AdmissionReply(AdmissionReplyMessage),
    /// A request that the receiver admitted has ended.
    #[prost(message, tag = "14")]
    AdmissionEnd(AdmissionEndMessage),
    /// The sender tells of its draws of tokens.
    #[prost(message, tag = "15")]
    DrawNotice(DrawNoticeMessage),
    /// The sender keeps what the receiver has told of its draws.
    #[prost(message, tag = "16")]
    DrawAck(DrawAckMessage),
    /// The sender asks the receiver to store where a stream has begun.
    #[prost(message, tag = "17")]
    BegunStream(OriginMessage),
}

/// A declaration to a witness, a query for one, or the answer to either.
#[derive(Clone, PartialEq, Message)]
pub struct DeclarationMessage {
    /// Name of the declaring router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Process number of the declaring router.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Number of the declaration, counted within the process.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Number of the last commit that the process had sent to the store.
    #[prost(uint64, tag = "4")]
    pub last_commit: u64,
    /// Tokens that the process will neither spend nor lend before its next declaration, by
    /// account.
    #[prost(btree_map = "string, uint64", tag = "5")]
    pub kept: BTreeMap<String, u64>,
    /// Name of the witness, in answers.
    #[prost(string, tag = "6")]
    pub witness: String,
    /// Process number of the witness, in answers.
    #[prost(fixed64, tag = "7")]
    pub witness_process: u64,
    /// Whether the witness has a declaration of the process, in answers to queries.
    #[prost(bool, tag = "8")]
    pub is_found: bool,
    /// Whether the witness may have refused one for lack of room, in answers to queries.
    #[prost(bool, tag = "9")]
    pub is_forgotten: bool,
    /// Unspent tokens that the commit `last_commit` returns to the accounts' rows, by account. Builds
    /// that do not know them drop them.
    #[prost(btree_map = "string, uint64", tag = "10")]
    pub returning: BTreeMap<String, u64>,
}

impl DeclarationMessage {
    /// Creates a declaration.
    pub fn new(declarer: &RouterProcess, declaration: &WitnessDeclaration) -> DeclarationMessage {
        let named = |tokens: &BTreeMap<Arc<str>, u64>| {
            tokens.iter().map(|(name, tokens)| (name.to_string(), *tokens)).collect()
        };
        DeclarationMessage {
            number: declaration.number,
            last_commit: declaration.last_commit,
            kept: named(&declaration.kept),
            returning: named(&declaration.returning),
            is_found: true,
            ..DeclarationMessage::query(declarer)
        }
    }

    /// Creates a query about a process.
    pub fn query(about: &RouterProcess) -> DeclarationMessage {
        DeclarationMessage {
            router: about.router.to_string(),
            process: about.process,
            ..DeclarationMessage::default()
        }
    }

    /// Creates the answer to a query.
    pub fn reply(about: &RouterProcess, statement: &WitnessStatement) -> DeclarationMessage {
        match statement {
            WitnessStatement::Nothing => DeclarationMessage::query(about),
            WitnessStatement::Declared(it) => DeclarationMessage::new(about, it),
            WitnessStatement::Forgotten => {
                DeclarationMessage { is_forgotten: true, ..DeclarationMessage::query(about) }
            }
        }
    }

    /// Sets the witness that answers.
    pub fn with_witness(mut self, witness: &RouterProcess) -> DeclarationMessage {
        self.witness = witness.router.to_string();
        self.witness_process = witness.process;
        self
    }

    /// Returns the process that the message is about.
    pub fn declarer(&self) -> RouterProcess {
        RouterProcess { router: self.router.as_str().into(), process: self.process }
    }

    /// Returns the witness that sent the answer.
    pub fn answering_witness(&self) -> RouterProcess {
        RouterProcess { router: self.witness.as_str().into(), process: self.witness_process }
    }

    /// Converts the message to a declaration.
    pub fn to_declaration(&self) -> WitnessDeclaration {
        let by_account = |tokens: &BTreeMap<String, u64>| {
            tokens.iter().map(|(name, tokens)| (Arc::from(name.as_str()), *tokens)).collect()
        };
        WitnessDeclaration {
            number: self.number,
            last_commit: self.last_commit,
            kept: by_account(&self.kept),
            returning: by_account(&self.returning),
        }
    }

    /// Converts the message to a witness's answer to a query.
    pub fn to_statement(&self) -> WitnessStatement {
        match (self.is_forgotten, self.is_found) {
            (true, _) => WitnessStatement::Forgotten,
            (false, true) => WitnessStatement::Declared(self.to_declaration()),
            (false, false) => WitnessStatement::Nothing,
        }
    }
}

/// Tokens of an account that are requested, lent or returned.
#[derive(Clone, PartialEq, Message)]
pub struct LoanMessage {
    /// Random number that the borrower draws for each request to one lender, and each return.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Name of the account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Number of tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Whether the requesting router has the role of a borrower and draws no tokens from the store
    /// itself. Set in requests and copied to loans.
    #[prost(bool, tag = "4")]
    pub for_borrower: bool,
    /// In requests and returns, tokens that the sender has spent and not yet reported. In loans,
    /// all spent tokens of the account that the lender knows of.
    #[prost(uint64, tag = "5")]
    pub spent: u64,
    /// In loans, tokens of the account that no router has drawn from the store, as far as the
    /// lender knows.
    #[prost(uint64, tag = "6")]
    pub undrawn: u64,
    /// In loans, all tokens of the account that the lender still has, including those that it may
    /// not lend yet; absent if it does not know all of them.
    #[prost(uint64, optional, tag = "7")]
    pub held: Option<u64>,
}

/// State of a router.
#[derive(Clone, PartialEq, Message)]
pub struct StatusMessage {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random process number of the router, chosen at each start.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Address that serves callers.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// UDP address for messages from other routers.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Failure domain of the router's host.
    #[prost(string, tag = "5")]
    pub failure_domain: String,
    /// Whether the router accepts new callers.
    #[prost(bool, tag = "6")]
    pub is_ready: bool,
    /// Version of the desired state in force; zero if there is none.
    #[prost(uint64, tag = "7")]
    pub config_version: u64,
    /// Load that its requests put on each endpoint.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<LoadMessage>,
    /// Whether the receiver is asked to reply at once with its own state.
    #[prost(bool, tag = "10")]
    pub wants_answer: bool,
    /// Other routers that are alive, known to the sender directly or through others. Missing in
    /// small fleets.
    #[prost(message, optional, tag = "11")]
    pub liveness: Option<LivenessMessage>,
    /// Processor capacity of the router's host, in thousandths of a core.
    #[prost(uint32, tag = "12")]
    pub processor_millis: u32,
    /// Rate of callers' requests, in requests per second.
    #[prost(uint32, tag = "13")]
    pub arrivals_per_s: u32,
    /// What endpoints say about themselves, known to the sender directly or through others.
    #[prost(message, repeated, tag = "14")]
    pub statements: Vec<StatementMessage>,
    /// Evidence on what crashes endpoints: all verdicts, and what changed recently. Replaces tag 9.
    #[prost(message, repeated, tag = "15")]
    pub evidence: Vec<EvidenceMessage>,
    /// Names of the services whose endpoints the sender reaches only through other routers.
    #[prost(string, repeated, tag = "16")]
    pub cut_off_services: Vec<String>,
    /// Whether the sender keeps and confirms notices of draws.
    #[prost(bool, tag = "17")]
    pub keeps_draws: bool,
    /// Names of the services whose endpoints the sender has reached itself a moment ago.
    #[prost(string, repeated, tag = "34")]
    pub reached_services: Vec<String>,
    /// Failure domains that are emptied; missing if none was since the sender started.
    #[prost(message, optional, boxed, tag = "18")]
    pub emptied_domains: Option<Box<DomainsMessage>>,
    /// Whether the sender limits what it sends to cold endpoints.
    #[prost(bool, tag = "19")]
    pub paces_cold_endpoints: bool,
    /// How long endpoints took for the answers of the last second.
    #[prost(message, optional, boxed, tag = "30")]
    pub speeds: Option<Box<SpeedMessage>>,
    /// Room of the sender.
    #[prost(message, optional, boxed, tag = "22")]
    pub room: Option<Box<RoomMessage>>,
}

/// Limits of a router's host and what the router uses of them.
#[derive(Clone, PartialEq, Message)]
pub struct RoomMessage {
    /// Bandwidth of the link, in bytes per second; missing if it is not stated.
    #[prost(uint64, optional, tag = "1")]
    pub link_bytes_per_s: Option<u64>,
    /// Bytes per second over the link, in both directions together.
    #[prost(uint64, tag = "2")]
    pub used_bytes_per_s: u64,
    /// Time for which what arrives waits, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub delay_ms: u32,
    /// When the message was sent, by the clock of the sender's process, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub sent_ms: u64,
}

impl RoomMessage {
    /// Creates a message that is sent at `now` from a router's room.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are not negative and far below the limit"
    )]
    pub fn from_room(room: &RouterRoom, now: Timestamp) -> RoomMessage {
        RoomMessage {
            link_bytes_per_s: room.link_bytes_per_s.map(|it| it as u64),
            used_bytes_per_s: room.used_bytes_per_s as u64,
            delay_ms: u32::try_from(room.delay.as_millis()).unwrap_or(u32::MAX),
            sent_ms: now.0 / 1_000,
        }
    }

    /// Converts the message to the room of a router with this processor capacity, in thousandths of a
    /// core.
    pub fn to_room(&self, processor_millis: u32) -> RouterRoom {
        RouterRoom {
            link_bytes_per_s: self.link_bytes_per_s.map(|it| it as f64),
            used_bytes_per_s: self.used_bytes_per_s as f64,
            processor_millis: f64::from(processor_millis),
            delay: Duration::from_millis(self.delay_ms.into()),
        }
    }
}

/// Liveness of other routers. The lists have the same length, and each router has the same index
/// in all of them. Parallel lists take only eleven bytes per router.
#[derive(Clone, PartialEq, Message)]
pub struct LivenessMessage {
    /// Process keys; see [`process_key`](super::process_key).
    #[prost(fixed64, repeated, tag = "1")]
    pub keys: Vec<u64>,
    /// Times since the routers were last known to be alive, in hundredths of a second.
    #[prost(uint32, repeated, tag = "2")]
    pub ages: Vec<u32>,
    /// Whether the routers accepted new callers at that time.
    #[prost(bool, repeated, tag = "3")]
    pub are_ready: Vec<bool>,
}

/// Unit of [`LivenessMessage::ages`].
const AGE_UNIT: Duration = Duration::from_millis(10);

impl LivenessMessage {
    /// Creates a message from liveness reports.
    pub fn new(reports: impl Iterator<Item = LivenessReport>) -> LivenessMessage {
        let mut message = LivenessMessage::default();
        for it in reports {
            // Rounded up, so that a report never gets younger when it is passed on.
            let age = it.age.as_millis().div_ceil(AGE_UNIT.as_millis());
            message.keys.push(it.process_key);
            message.ages.push(u32::try_from(age).unwrap_or(u32::MAX));
            message.are_ready.push(it.is_ready);
        }
        message
    }

    /// Returns the liveness reports; none if the lists differ in length.
    pub fn reports(&self) -> Vec<LivenessReport> {
        if self.ages.len() != self.keys.len() || self.are_ready.len() != self.keys.len() {
            return Vec::new();
        }
        let entries = self.keys.iter().zip(&self.ages).zip(&self.are_ready);
        let reports = entries.map(|((key, age), is_ready)| LivenessReport {
            process_key: *key,
            age: AGE_UNIT * *age,
            is_ready: *is_ready,
        });
        reports.collect()
    }
}

/// Load that a router's requests put on one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens that are not processed yet.
    #[prost(uint64, tag = "3")]
    pub prompt_tokens: u64,
    /// Tokens of endpoint memory that the requests may use.
    #[prost(uint64, tag = "4")]
    pub memory_tokens: u64,
}

impl LoadMessage {
    /// Creates a message from a router's share of an endpoint's load.
    pub fn from_share(share: &LoadShare) -> LoadMessage {
        LoadMessage {
            endpoint: share.endpoint.to_string(),
            requests: share.load.requests,
            prompt_tokens: share.load.prompt_tokens,
            memory_tokens: share.load.memory_tokens,
        }
    }

    /// Converts the message to a router's share of an endpoint's load.
    pub fn to_share(&self) -> LoadShare {
        let load = Load {
            requests: self.requests,
            prompt_tokens: self.prompt_tokens,
            memory_tokens: self.memory_tokens,
        };
        LoadShare { endpoint: Arc::from(self.endpoint.as_str()), load }
    }
}
