//! Messages between routers on draws of tokens.

use std::{collections::BTreeMap, sync::Arc};

use prost::Message;

use crate::allowance::{AllowanceRow, DrawNotice, RouterProcess};

/// What a router tells others of its draws.
#[derive(Clone, PartialEq, Message)]
pub struct DrawNoticeMessage {
    /// Name of the router that draws.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Process number of that router.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Number of its last commit with a draw.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Era of the store.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Whether the process ends, so that no draws follow.
    #[prost(bool, tag = "5")]
    pub is_final: bool,
    /// Totals of accounts' rows, by account.
    #[prost(btree_map = "string, message", tag = "6")]
    pub accounts: BTreeMap<String, TotalsMessage>,
}

/// Totals of an account's row.
#[derive(Clone, PartialEq, Message)]
pub struct TotalsMessage {
    /// Drawn tokens.
    #[prost(uint64, tag = "1")]
    pub drawn: u64,
    /// Spent tokens.
    #[prost(uint64, tag = "2")]
    pub spent: u64,
    /// Version of the desired state from which the limit was taken.
    #[prost(uint64, tag = "3")]
    pub limit_version: u64,
}

/// The sender keeps what the receiver has told of its draws.
#[derive(Clone, PartialEq, Message)]
pub struct DrawAckMessage {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Process number of the router that draws.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Number of the commit in the notice.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Era of the store.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

impl DrawNoticeMessage {
    /// Creates a message from a notice.
    pub fn new(notice: &DrawNotice) -> DrawNoticeMessage {
        let accounts = notice.accounts.iter().map(|(name, row)| {
            let AllowanceRow { drawn, spent, limit_version } = *row;
            (name.to_string(), TotalsMessage { drawn, spent, limit_version })
        });
        DrawNoticeMessage {
            router: notice.process.router.to_string(),
            process: notice.process.process,
            number: notice.number,
            era: notice.era,
            is_final: notice.is_final,
            accounts: accounts.collect(),
        }
    }

    /// Converts the message to a notice.
    pub fn to_notice(&self) -> DrawNotice {
        let accounts = self.accounts.iter().map(|(name, it)| {
            let TotalsMessage { drawn, spent, limit_version } = *it;
            (Arc::from(name.as_str()), AllowanceRow { drawn, spent, limit_version })
        });
        DrawNotice {
            process: RouterProcess { router: self.router.as_str().into(), process: self.process },
            number: self.number,
            is_final: self.is_final,
            era: self.era,
            accounts: accounts.collect(),
        }
    }
}
