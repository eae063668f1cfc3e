//! Evidence on what crashes endpoints, in the status messages between routers.

use std::time::Duration;

use prost::Message;
use routing::{ContentItem, ContentKey, CrashId, CrashSighting, EvidenceReport};

/// Evidence on one key. The lists of crashes have the same length.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceMessage {
    /// Key.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Position of the prompt part; the largest number for the whole content.
    #[prost(uint32, tag = "2")]
    pub depth: u32,
    /// Id of the prompt part; zero for the whole content.
    #[prost(fixed64, tag = "3")]
    pub part: u64,
    /// Hash of the client account whose request was suspected first.
    #[prost(fixed64, tag = "4")]
    pub account: u64,
    /// Ids of the crashes.
    #[prost(fixed64, repeated, tag = "5")]
    pub crashes: Vec<u64>,
    /// Times since the crashes, in milliseconds.
    #[prost(uint32, repeated, tag = "6")]
    pub crash_ages_ms: Vec<u32>,
    /// Number of answered requests, up to a limit.
    #[prost(uint32, tag = "7")]
    pub survivals: u32,
    /// Number of trials since the verdict.
    #[prost(uint32, tag = "8")]
    pub trials: u32,
    /// Time since the verdict or the last trial, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub tested_age_ms: u32,
}

impl EvidenceMessage {
    /// Creates a message from a report.
    pub fn from_report(report: &EvidenceReport) -> EvidenceMessage {
        EvidenceMessage {
            key: report.item.key.0,
            depth: u32::from(report.item.depth),
            part: report.item.part,
            account: report.account,
            crashes: report.crashes.iter().map(|it| it.crash.0).collect(),
            crash_ages_ms: report.crashes.iter().map(|it| to_millis(it.age)).collect(),
            survivals: report.survivals,
            trials: report.trials,
            tested_age_ms: to_millis(report.tested_age),
        }
    }

    /// Converts the message to a report; `None` if it is malformed.
    pub fn to_report(&self) -> Option<EvidenceReport> {
        if self.crashes.len() != self.crash_ages_ms.len() {
            return None;
        }
        let crashes = self.crashes.iter().zip(&self.crash_ages_ms);
        Some(EvidenceReport {
            item: ContentItem {
                key: ContentKey(self.key),
                depth: u16::try_from(self.depth).ok()?,
                part: self.part,
            },
            account: self.account,
            crashes: crashes
                .map(|(crash, age)| CrashSighting {
                    crash: CrashId(*crash),
                    age: from_millis(*age),
                })
                .collect(),
            survivals: self.survivals,
            trials: self.trials,
            tested_age: from_millis(self.tested_age_ms),
        })
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
