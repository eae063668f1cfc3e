//! What one connection of a client is doing.

use std::{
    sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// What a connection of a client is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No request has begun.
    Idle = 0,
    /// The head of a request is arriving.
    Head = 1,
    /// The body of a request is arriving.
    Body = 2,
    /// A whole request is being served.
    Serving = 3,
}

impl Phase {
    fn from_number(number: u8) -> Phase {
        match number {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Body,
            _ => Phase::Serving,
        }
    }
}

/// A connection of a client, as far as the limits depend on it.
#[derive(Debug)]
pub(crate) struct Connection {
    opened_at: Instant,
    phase: AtomicU8,
    /// When the phase began, in microseconds after `opened_at`.
    phase_since: AtomicU64,
    /// Whether a request on it was accepted.
    is_known: AtomicBool,
    /// Whether the client has to read before more can be sent.
    is_write_blocked: AtomicBool,
    /// Bytes received that may be in the buffer. Changes only while the book is locked.
    buffered: AtomicUsize,
}

impl Connection {
    pub(crate) fn new() -> Connection {
        Connection {
            opened_at: Instant::now(),
            phase: AtomicU8::new(Phase::Idle as u8),
            phase_since: AtomicU64::new(0),
            is_known: AtomicBool::new(false),
            is_write_blocked: AtomicBool::new(false),
            buffered: AtomicUsize::new(0),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        Phase::from_number(self.phase.load(Ordering::Relaxed))
    }

    /// Returns when the current phase began.
    pub(crate) fn phase_since(&self) -> Instant {
        let micros = self.phase_since.load(Ordering::Relaxed);
        self.opened_at + Duration::from_micros(micros)
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        let micros = u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.phase_since.store(micros, Ordering::Relaxed);
    }

    pub(crate) fn is_known(&self) -> bool {
        self.is_known.load(Ordering::Relaxed)
    }

    pub(crate) fn set_known(&self) {
        self.is_known.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.load(Ordering::Relaxed)
    }

    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        self.is_write_blocked.store(is_blocked, Ordering::Relaxed);
    }

    pub(crate) fn buffered(&self) -> usize {
        self.buffered.load(Ordering::Relaxed)
    }

    pub(crate) fn add_buffered(&self, bytes: usize) {
        self.buffered.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Sets the bytes in the buffer to zero; returns how many there were.
    pub(crate) fn take_buffered(&self) -> usize {
        self.buffered.swap(0, Ordering::Relaxed)
    }
}
