//! Communication between routers: UDP datagrams that carry state, token loans and witness
//! declarations.

mod admission_message;
mod admissions;
mod crowding;
mod domains_message;
mod draw_message;
mod draws;
mod evidence;
mod evidence_message;
mod gossip;
mod holders;
mod lending;
mod loans;
mod message;
mod origin_message;
mod origins;
mod ranking;
mod roster;
mod speed_message;
mod statement_message;
mod statements;
mod witnessing;

pub use self::loans::PendingLoans;
pub use self::{
    admission_message::{AdmissionEndMessage, AdmissionReplyMessage, AdmissionRequestMessage},
    crowding::RouterLoad,
    domains_message::DomainsMessage,
    draw_message::{DrawAckMessage, DrawNoticeMessage, TotalsMessage},
    evidence_message::EvidenceMessage,
    message::{
        DeclarationMessage, LivenessMessage, LoadMessage, LoanMessage, PeerContent, PeerMessage,
        RoomMessage, StatusMessage,
    },
    origin_message::{OriginMessage, OriginQueryMessage, OriginReplyMessage},
    origins::{holders_of, record_targets},
    roster::{LivenessReport, Member, Roster, SelfStatus, process_key},
    speed_message::SpeedMessage,
    statement_message::{BrittleMessage, RateMessage, StatementMessage},
};
pub(crate) use self::{
    admissions::{AdmissionTicket, ask_for_admission},
    draws::{announce_draws, announce_end},
    evidence::{apply_verdict_changes, is_responsible},
    gossip::{GossipSocket, run_gossip},
    holders::update_holders,
    lending::{ask_lender, serve_deferred_loans},
    origins::{announce_begun, announce_origin, find_origin, own_view},
    ranking::{is_first_in_rank, own_rank_key},
    statements::update_rate_shares,
};
