//! Progress of a transfer whose receiver can watch it.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Body bytes that a transfer has received so far, and when.
#[derive(Debug, Default)]
pub struct TransferProgress {
    received: Mutex<Option<Received>>,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    /// Number of bytes.
    bytes: u64,
    /// When the first of them arrived.
    first: Instant,
    /// When the last of them arrived.
    last: Instant,
}

impl TransferProgress {
    /// Counts `bytes` more that have arrived.
    pub fn record(&self, bytes: usize) {
        let now = Instant::now();
        let mut received = self.lock();
        let before = received.unwrap_or(Received { bytes: 0, first: now, last: now });
        *received = Some(Received { bytes: before.bytes + bytes as u64, last: now, ..before });
    }

    /// Returns the number of bytes that have arrived.
    pub fn bytes(&self) -> u64 {
        self.lock().map_or(0, |it| it.bytes)
    }

    /// Returns the time between the first and the last byte.
    pub fn duration(&self) -> Duration {
        self.lock().map_or(Duration::ZERO, |it| it.last - it.first)
    }

    /// Returns the time since the last byte arrived; zero if no byte has arrived.
    pub fn idle(&self) -> Duration {
        self.lock().map_or(Duration::ZERO, |it| it.last.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Option<Received>> {
        self.received.lock().expect("the lock is not poisoned")
    }
}
