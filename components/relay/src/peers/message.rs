//! The message by which routers tell each other their state.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use prost::{Message, Oneof};
use routing::CrashRecord;
use types::EndpointName;
use utils::Digest;

use super::Heard;
use crate::{
    allowance::{RouterProcess, WitnessDeclaration, WitnessStatement},
    endpoints::{Load, LoadShare},
};

/// What a datagram holds.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// The message.
    #[prost(oneof = "PeerContent", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub content: Option<PeerContent>,
}

/// Kinds of messages between routers.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerContent {
    /// State of the sender.
    #[prost(message, tag = "1")]
    Status(StatusMessage),
    /// The sender asks for tokens.
    #[prost(message, tag = "2")]
    LoanRequest(LoanMessage),
    /// The sender has given up tokens for the receiver.
    #[prost(message, tag = "3")]
    Loan(LoanMessage),
    /// The sender declares what it keeps.
    #[prost(message, tag = "4")]
    Declaration(DeclarationMessage),
    /// The sender keeps a declaration of the receiver.
    #[prost(message, tag = "5")]
    DeclarationKept(DeclarationMessage),
    /// The sender asks what its earlier process declared.
    #[prost(message, tag = "6")]
    Question(DeclarationMessage),
    /// The answer to a question.
    #[prost(message, tag = "7")]
    Statement(DeclarationMessage),
    /// The sender gives tokens back that it has borrowed.
    #[prost(message, tag = "8")]
    Return(LoanMessage),
}

/// A declaration to a witness, a question about one, or an answer to either.
#[derive(Clone, PartialEq, Message)]
pub struct DeclarationMessage {
    /// Router that declares.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Its process.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Number of the declaration.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Last commit that the process had sent to the store.
    #[prost(uint64, tag = "4")]
    pub last_commit: u64,
    /// Kept tokens by account.
    #[prost(btree_map = "string, uint64", tag = "5")]
    pub kept: BTreeMap<String, u64>,
    /// Router that is the witness, in answers.
    #[prost(string, tag = "6")]
    pub witness: String,
    /// Its process, in answers.
    #[prost(fixed64, tag = "7")]
    pub witness_process: u64,
    /// Whether the witness has a declaration, in answers to questions.
    #[prost(bool, tag = "8")]
    pub is_found: bool,
    /// Whether the witness may have forgotten one, in answers to questions.
    #[prost(bool, tag = "9")]
    pub is_forgotten: bool,
}

impl DeclarationMessage {
    /// Creates the message of a declaration.
    pub fn new(declarer: &RouterProcess, declaration: &WitnessDeclaration) -> DeclarationMessage {
        let kept = declaration.kept.iter();
        DeclarationMessage {
            number: declaration.number,
            last_commit: declaration.last_commit,
            kept: kept.map(|(name, tokens)| (name.to_string(), *tokens)).collect(),
            is_found: true,
            ..DeclarationMessage::question(declarer)
        }
    }

    /// Creates the message of a question about a process.
    pub fn question(about: &RouterProcess) -> DeclarationMessage {
        DeclarationMessage {
            router: about.router.to_string(),
            process: about.process,
            ..DeclarationMessage::default()
        }
    }

    /// Creates the answer to a question.
    pub fn statement(about: &RouterProcess, statement: &WitnessStatement) -> DeclarationMessage {
        match statement {
            WitnessStatement::Nothing => DeclarationMessage::question(about),
            WitnessStatement::Declared(it) => DeclarationMessage::new(about, it),
            WitnessStatement::Forgotten => {
                DeclarationMessage { is_forgotten: true, ..DeclarationMessage::question(about) }
            }
        }
    }

    /// Adds the witness that answers.
    pub fn from_witness(mut self, witness: &RouterProcess) -> DeclarationMessage {
        self.witness = witness.router.to_string();
        self.witness_process = witness.process;
        self
    }

    /// Returns the process that declares.
    pub fn declarer(&self) -> RouterProcess {
        RouterProcess { router: self.router.as_str().into(), process: self.process }
    }

    /// Returns the witness that answers.
    pub fn answering_witness(&self) -> RouterProcess {
        RouterProcess { router: self.witness.as_str().into(), process: self.witness_process }
    }

    /// Returns the declaration.
    pub fn to_declaration(&self) -> WitnessDeclaration {
        let kept = self.kept.iter();
        WitnessDeclaration {
            number: self.number,
            last_commit: self.last_commit,
            kept: kept.map(|(name, tokens)| (Arc::from(name.as_str()), *tokens)).collect(),
        }
    }

    /// Returns the answer to a question.
    pub fn to_statement(&self) -> WitnessStatement {
        match (self.is_forgotten, self.is_found) {
            (true, _) => WitnessStatement::Forgotten,
            (false, true) => WitnessStatement::Declared(self.to_declaration()),
            (false, false) => WitnessStatement::Nothing,
        }
    }
}

/// Tokens of an account, wanted or lent.
#[derive(Clone, PartialEq, Message)]
pub struct LoanMessage {
    /// Number that the borrower drew for the one lender it asked.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Whether the borrower draws no tokens itself, in requests.
    #[prost(bool, tag = "4")]
    pub for_use: bool,
    /// In requests and returns, tokens that the sender has spent and not reported before; in
    /// loans, all spent tokens of the account that the lender knows of.
    #[prost(uint64, tag = "5")]
    pub spent: u64,
    /// In loans, tokens of the account that no router has drawn, as the lender knows it.
    #[prost(uint64, tag = "6")]
    pub undrawn: u64,
}

/// State of a router.
#[derive(Clone, PartialEq, Message)]
pub struct StatusMessage {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Process of the router; drawn at its start.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Address for callers.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// Address for other routers.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Failure domain.
    #[prost(string, tag = "5")]
    pub failure_domain: String,
    /// Whether it takes new callers.
    #[prost(bool, tag = "6")]
    pub is_ready: bool,
    /// Version of the desired state in force.
    #[prost(uint64, tag = "7")]
    pub config_version: u64,
    /// Load of its requests on the endpoints.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<LoadMessage>,
    /// Contents that crashed endpoints lately.
    #[prost(message, repeated, tag = "9")]
    pub crashes: Vec<CrashMessage>,
    /// Whether the receiver should answer with its own state at once.
    #[prost(bool, tag = "10")]
    pub wants_answer: bool,
    /// Other routers that the sender has heard, directly or through others.
    #[prost(message, optional, tag = "11")]
    pub heard: Option<HeardMessage>,
    /// Processor of the router, in thousandths of a core.
    #[prost(uint32, tag = "12")]
    pub processor_millis: u32,
    /// Requests of callers that arrive there in a second.
    #[prost(uint32, tag = "13")]
    pub arrivals_per_s: u32,
}

/// Routers that another one has heard. The lists have the same length; each router has the
/// same place in all of them, so that it takes eleven bytes.
#[derive(Clone, PartialEq, Message)]
pub struct HeardMessage {
    /// Keys of their processes.
    #[prost(fixed64, repeated, tag = "1")]
    pub keys: Vec<u64>,
    /// Times since they were heard, in hundredths of a second.
    #[prost(uint32, repeated, tag = "2")]
    pub ages: Vec<u32>,
    /// Whether they took new callers then.
    #[prost(bool, repeated, tag = "3")]
    pub are_ready: Vec<bool>,
}

/// Unit of the ages in [`HeardMessage`].
const AGE_UNIT: Duration = Duration::from_millis(10);

impl HeardMessage {
    /// Creates the message of what was heard.
    pub fn new(heard: impl Iterator<Item = Heard>) -> HeardMessage {
        let mut message = HeardMessage::default();
        for it in heard {
            // Rounded up, so that news does not get younger on its way.
            let age = it.age.as_millis().div_ceil(AGE_UNIT.as_millis());
            message.keys.push(it.process_key);
            message.ages.push(u32::try_from(age).unwrap_or(u32::MAX));
            message.are_ready.push(it.is_ready);
        }
        message
    }

    /// Returns what was heard; nothing where the lists do not belong together.
    pub fn heard(&self) -> Vec<Heard> {
        if self.ages.len() != self.keys.len() || self.are_ready.len() != self.keys.len() {
            return Vec::new();
        }
        let places = self.keys.iter().zip(&self.ages).zip(&self.are_ready);
        let heard = places.map(|((key, age), is_ready)| Heard {
            process_key: *key,
            age: AGE_UNIT * *age,
            is_ready: *is_ready,
        });
        heard.collect()
    }
}

/// Load of a router's requests on one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens that wait to be processed.
    #[prost(uint64, tag = "3")]
    pub prompt_tokens: u64,
    /// Tokens of memory.
    #[prost(uint64, tag = "4")]
    pub memory_tokens: u64,
}

/// A content and the endpoints that it crashed.
#[derive(Clone, PartialEq, Message)]
pub struct CrashMessage {
    /// Digest of the content, 32 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Ids of the endpoints.
    #[prost(string, repeated, tag = "2")]
    pub endpoints: Vec<String>,
}

impl LoadMessage {
    /// Creates the message of a share.
    pub fn from_share(share: &LoadShare) -> LoadMessage {
        LoadMessage {
            endpoint: share.endpoint.to_string(),
            requests: share.load.requests,
            prompt_tokens: share.load.prompt_tokens,
            memory_tokens: share.load.memory_tokens,
        }
    }

    /// Returns the share.
    pub fn to_share(&self) -> LoadShare {
        let load = Load {
            requests: self.requests,
            prompt_tokens: self.prompt_tokens,
            memory_tokens: self.memory_tokens,
        };
        LoadShare { endpoint: Arc::from(self.endpoint.as_str()), load }
    }
}

impl CrashMessage {
    /// Creates the message of a record.
    pub fn from_record(record: &CrashRecord) -> CrashMessage {
        CrashMessage {
            fingerprint: record.fingerprint.as_bytes().to_vec(),
            endpoints: record.endpoints.iter().map(ToString::to_string).collect(),
        }
    }

    /// Returns the record; `None` where the message is malformed.
    pub fn to_record(&self) -> Option<CrashRecord> {
        let names = self.endpoints.iter().map(|it| EndpointName::new(it).ok());
        let endpoints: Option<BTreeSet<EndpointName>> = names.collect();
        Some(CrashRecord {
            fingerprint: Digest::from_bytes(&self.fingerprint)?,
            endpoints: endpoints?,
            was_alone: true,
            needs_trial: false,
        })
    }
}
