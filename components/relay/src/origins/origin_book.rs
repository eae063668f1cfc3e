//! Records of where streams began.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use types::Timestamp;
use utils::{HashMap, HashSet, stable_hash};

/// Time for which a record is kept: longer than a caller may take to come back.
const RECORD_TIME: Duration = Duration::from_secs(90);

/// Maximum number of records; the oldest are dropped first.
const RECORDS_MAX: usize = 65_536;

/// Identifies a stream by the request of the caller that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Creates the key for a request of an account; the same on every router. Callers choose the ids
    /// of their requests, so keys of different accounts differ.
    pub fn new(account: &str, request_id: &str) -> StreamKey {
        StreamKey(stable_hash(&[account.as_bytes(), request_id.as_bytes()]))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Service whose endpoint began it.
    pub service: Arc<str>,
    /// Version of the endpoint's software.
    pub version: Arc<str>,
}

/// An origin as routers tell it each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// Number of the attempt within the request; an earlier attempt has brought no event.
    pub attempt: u32,
    /// Where the attempt was sent.
    pub origin: Origin,
}

/// A record and when it was made.
#[derive(Debug)]
struct Entry {
    attempt: u32,
    origin: Origin,
    at: Timestamp,
}

/// Records of streams that this router began, or that other routers have told it.
#[derive(Debug, Default)]
pub struct OriginBook {
    entries: HashMap<StreamKey, Entry>,
    /// Keys in the order of their first records.
    order: VecDeque<(Timestamp, StreamKey)>,
    /// Names of services and versions, stored once.
    names: HashSet<Arc<str>>,
}

impl OriginBook {
    /// Adds a record, or replaces that of an earlier attempt.
    pub fn record(&mut self, record: &OriginRecord, now: Timestamp) {
        let origin = Origin {
            service: self.intern(&record.origin.service),
            version: self.intern(&record.origin.version),
        };
        let entry = Entry { attempt: record.attempt, origin, at: now };
        match self.entries.get_mut(&record.key) {
            Some(known) if known.attempt >= entry.attempt => {}
            Some(known) => *known = entry,
            None => {
                self.entries.insert(record.key, entry);
                self.order.push_back((now, record.key));
            }
        }
        if self.order.len() > RECORDS_MAX {
            self.drop_oldest();
        }
    }

    /// Returns where a stream began.
    pub fn get(&self, key: StreamKey, now: Timestamp) -> Option<Origin> {
        let entry = self.entries.get(&key)?;
        (now.since(entry.at) < RECORD_TIME).then(|| entry.origin.clone())
    }

    /// Drops outdated records.
    pub fn expire(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(at, _)| now.since(*at) >= RECORD_TIME) {
            self.drop_oldest();
        }
        if self.entries.is_empty() {
            self.names.clear();
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.entries.remove(&key);
        }
    }

    fn intern(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        self.names.insert(name.clone());
        name.clone()
    }
}
