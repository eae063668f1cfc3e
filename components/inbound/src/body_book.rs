//! Counts the memory of all requests' bodies and decides which ones are given up when it runs out.
//!
//! The body that has been arriving for longest is given up first. Proper clients send a body at once, so that
//! clients that stop before the end of theirs, or send it slowly, lose their bodies to them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::Notify;

use super::{BodyLimits, body_limits::SMALL_BODY_BYTES};

/// Why a body is not held any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyLoss {
    /// Its memory was needed for bodies that began later.
    #[error("the body was given up for those of later requests")]
    GivenUp,
    /// There is no memory for it, and no body that could be given up.
    #[error("there is no memory for the body")]
    NoMemory,
}

impl BodyLoss {
    /// Returns the label for metrics.
    fn label(self) -> &'static str {
        match self {
            BodyLoss::GivenUp => "given_up",
            BodyLoss::NoMemory => "no_memory",
        }
    }
}

/// Bodies that are held, in a process with limited memory. Clones share their state.
#[derive(Debug, Clone)]
pub struct BodyBook {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    limits: BodyLimits,
    /// Bytes of all bodies, whole and arriving; at most [`BodyLimits::all_bytes`].
    all_bytes: usize,
    /// Bytes of those that are large; at most [`BodyLimits::large_bytes`].
    large_bytes: usize,
    /// Bodies that are arriving, in the order in which they began.
    arriving: BTreeMap<u64, Arriving>,
    next_number: u64,
    /// Number of bodies lost since the last report.
    unreported_lost: u64,
}

#[derive(Debug)]
struct Arriving {
    /// What has arrived.
    buf: Vec<u8>,
    /// Bytes that count for it; the capacity of `buf`.
    counted: usize,
    /// Notified when the body is given up.
    given_up: Arc<Notify>,
}

impl BodyBook {
    /// Creates a book without bodies.
    pub fn new(limits: BodyLimits) -> BodyBook {
        let state = State {
            limits,
            all_bytes: 0,
            large_bytes: 0,
            arriving: BTreeMap::new(),
            next_number: 0,
            unreported_lost: 0,
        };
        BodyBook { state: Arc::new(Mutex::new(state)) }
    }

    /// Begins a body that arrives in parts.
    pub fn begin(&self) -> ArrivingBody {
        let given_up = Arc::new(Notify::new());
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state
            .arriving
            .insert(number, Arriving { buf: Vec::new(), counted: 0, given_up: given_up.clone() });
        ArrivingBody { book: self.clone(), number, given_up }
    }

    /// Holds a body that has arrived as a whole.
    ///
    /// # Errors
    /// If there is no memory for it.
    pub fn hold(&self, bytes: Bytes) -> Result<HeldBody, BodyLoss> {
        let counted = bytes.len();
        let mut state = self.lock();
        state.make_room(None, 0, counted)?;
        state.count(0, counted);
        Ok(HeldBody { bytes, counted, book: Some(self.clone()) })
    }

    /// Updates the gauge of the bodies, and logs how many were lost since the last call.
    pub fn report(&self) {
        let mut state = self.lock();
        let (lost, held_bytes) = (std::mem::take(&mut state.unreported_lost), state.all_bytes);
        drop(state);
        metrics::gauge!(telemetry::BODY_BYTES).set(held_bytes as f64);
        if lost > 0 {
            log::warn!(lost, held_bytes; "request bodies not held for want of memory");
        }
    }

    /// Counts a body that was lost.
    pub(crate) fn count_lost(&self, loss: BodyLoss) {
        metrics::counter!(telemetry::BODIES_LOST_TOTAL, "reason" => loss.label()).increment(1);
        self.lock().unreported_lost += 1;
    }

    /// Returns the bytes of all bodies.
    pub fn held_bytes(&self) -> usize {
        self.lock().all_bytes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl State {
    /// Counts a body whose size changes.
    fn count(&mut self, before: usize, after: usize) {
        self.all_bytes = self.all_bytes - before + after;
        self.large_bytes = self.large_bytes - large(before) + large(after);
    }

    /// Gives bodies up until a body may grow from `before` to `after` bytes. `number` is that of the body if it
    /// is arriving.
    ///
    /// # Errors
    /// If the body itself is the next to be given up, or no other one is arriving.
    fn make_room(
        &mut self,
        number: Option<u64>,
        before: usize,
        after: usize,
    ) -> Result<(), BodyLoss> {
        loop {
            let large_bytes = self.large_bytes - large(before) + large(after);
            let needs_large = large(after) > 0 && large_bytes > self.limits.large_bytes;
            let needs_any = self.all_bytes - before + after > self.limits.all_bytes;
            if !needs_large && !needs_any {
                return Ok(());
            }
            let mut candidates = self
                .arriving
                .iter()
                .filter(|(_, it)| if needs_large { large(it.counted) > 0 } else { it.counted > 0 })
                .map(|(number, _)| *number);
            match (candidates.next(), candidates.next()) {
                (Some(oldest), _) if Some(oldest) != number => self.give_up(oldest),
                (Some(_), Some(_)) => return Err(BodyLoss::GivenUp),
                _ => return Err(BodyLoss::NoMemory),
            }
        }
    }

    fn give_up(&mut self, number: u64) {
        if let Some(body) = self.arriving.remove(&number) {
            self.count(body.counted, 0);
            body.given_up.notify_one();
        }
    }
}

/// Returns the size of a body if it is large, otherwise zero.
fn large(bytes: usize) -> usize {
    if bytes > SMALL_BODY_BYTES { bytes } else { 0 }
}

/// A body that is arriving; dropped if it does not become whole.
#[derive(Debug)]
pub struct ArrivingBody {
    book: BodyBook,
    number: u64,
    given_up: Arc<Notify>,
}

impl ArrivingBody {
    /// Adds a part of a body whose total length is known to be at most `max_bytes`. The parts are copied, as
    /// they may belong to much larger buffers.
    ///
    /// # Errors
    /// If the body is given up, now or before.
    pub fn push(&self, data: &[u8], max_bytes: usize) -> Result<(), BodyLoss> {
        let mut state = self.book.lock();
        let body = state.arriving.get(&self.number).ok_or(BodyLoss::GivenUp)?;
        let (length, before) = (body.buf.len(), body.counted);
        let needed = length + data.len();
        if needed > before {
            let grown = if max_bytes <= SMALL_BODY_BYTES { max_bytes } else { 2 * before };
            let wanted = needed.max(grown.min(max_bytes));
            state.make_room(Some(self.number), before, wanted)?;
            state.count(before, wanted);
            let body = state.arriving.get_mut(&self.number).ok_or(BodyLoss::GivenUp)?;
            body.buf.reserve_exact(wanted - length);
            body.counted = wanted;
        }
        let body = state.arriving.get_mut(&self.number).ok_or(BodyLoss::GivenUp)?;
        body.buf.extend_from_slice(data);
        Ok(())
    }

    /// Waits until the body is given up.
    pub async fn given_up(&self) -> BodyLoss {
        self.given_up.notified().await;
        BodyLoss::GivenUp
    }

    /// Ends the body, of which everything has arrived.
    ///
    /// # Errors
    /// If the body was given up.
    pub fn finish(self) -> Result<HeldBody, BodyLoss> {
        let body = self.book.lock().arriving.remove(&self.number);
        let body = body.ok_or(BodyLoss::GivenUp)?;
        let book = Some(self.book.clone());
        Ok(HeldBody { bytes: body.buf.into(), counted: body.counted, book })
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        let mut state = self.book.lock();
        if let Some(body) = state.arriving.remove(&self.number) {
            state.count(body.counted, 0);
        }
    }
}

/// A whole body. Its bytes count until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    /// Bytes counted in `book`.
    counted: usize,
    /// Where the body is counted; `None` for an empty one.
    book: Option<BodyBook>,
}

impl HeldBody {
    /// Returns an empty body.
    pub fn empty() -> HeldBody {
        HeldBody { bytes: Bytes::new(), counted: 0, book: None }
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        if let Some(book) = &self.book {
            book.lock().count(self.counted, 0);
        }
    }
}
