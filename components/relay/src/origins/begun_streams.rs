//! Streams that have begun while their service has several versions, as stored for routers that start
//! after the loss of all others.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use types::Timestamp;

use super::{Origin, OriginRecord, StreamKey};

/// Time for which a stream is stored: longer than most callers take to come back after a restart.
const STORED_TIME: Duration = Duration::from_secs(20);

/// Maximum number of streams in a row; the oldest are dropped first. A row has at most 64 KiB.
const STREAMS_MAX: usize = 1_500;

/// Streams whose first event a caller has got, and where they began.
#[derive(Debug, Default)]
pub struct BegunStreams {
    /// The streams in the order in which they began.
    streams: VecDeque<(Timestamp, StreamKey, Origin)>,
    /// Whether the stored row lacks some of them.
    has_new: bool,
}

impl BegunStreams {
    /// Adds a stream that has begun, or replaces where it has.
    pub fn add(&mut self, key: StreamKey, origin: Origin, now: Timestamp) {
        self.streams.retain(|(_, known, _)| *known != key);
        self.streams.push_back((now, key, origin));
        self.has_new = true;
        if self.streams.len() > STREAMS_MAX {
            self.streams.pop_front();
        }
    }

    /// Returns the row to store; `None` if the stored one has all streams.
    pub fn take_row(&mut self, now: Timestamp) -> Option<BegunStreamsRow> {
        if !std::mem::take(&mut self.has_new) {
            return None;
        }
        while self.streams.front().is_some_and(|(at, ..)| now.since(*at) >= STORED_TIME) {
            self.streams.pop_front();
        }
        let mut row = BegunStreamsRow::default();
        for (_, key, origin) in &self.streams {
            let versions = row.keys.entry(origin.service.clone()).or_default();
            versions.entry(origin.version.clone()).or_default().push(key.0);
        }
        Some(row)
    }

    /// Marks the streams as not stored, since a commit of a row has failed.
    pub fn keep_unstored(&mut self) {
        self.has_new = true;
    }
}

/// Row in which a router stores the streams that have begun at it or, in a large fleet, at others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreamsRow {
    /// Keys of streams by service and version.
    pub keys: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Vec<u64>>>,
}

impl BegunStreamsRow {
    /// Returns the records of the streams. They replace those of any attempt: the first event has come
    /// from there.
    pub fn records(&self) -> impl Iterator<Item = OriginRecord> {
        self.keys.iter().flat_map(|(service, versions)| {
            versions.iter().flat_map(move |(version, keys)| {
                keys.iter().map(move |key| OriginRecord {
                    key: StreamKey(*key),
                    attempt: u32::MAX,
                    origin: Origin { service: service.clone(), version: version.clone() },
                })
            })
        })
    }
}
