//! Output of log lines that never blocks the caller.

use std::{
    io::{self, Write},
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

/// Lines that wait to be written at most; about two megabytes.
const QUEUE_LINES: usize = 8_192;

/// Pause between two rounds of writing, so that lines are written in batches.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Lines that were dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends a marker that the writer answers once all lines before it are written.
static FLUSH: OnceLock<SyncSender<Item>> = OnceLock::new();

/// What the queue holds.
enum Item {
    /// A line with its line end.
    Line(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Writes lines to a queue that a thread empties. Writing never waits: lines that find the
/// queue full are dropped and counted.
pub struct QueuedOutput {
    /// The queue.
    lines: SyncSender<Item>,
}

impl QueuedOutput {
    /// Starts the thread that writes the lines to `out`.
    ///
    /// # Errors
    /// Where no thread could be started.
    pub fn start(out: Box<dyn Write + Send>) -> io::Result<QueuedOutput> {
        let (lines, queued) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&queued, out))?;
        let _ = FLUSH.set(lines.clone());
        Ok(QueuedOutput { lines })
    }
}

impl Write for QueuedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(Item::Line(buf.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines in batches. A reader that closed its end is not waited for.
fn write_lines(queued: &Receiver<Item>, mut out: Box<dyn Write + Send>) {
    let mut reported = 0;
    while let Ok(first) = queued.recv() {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        // Without the bound a batch would grow for as long as lines come in faster than they
        // are taken out.
        for item in std::iter::once(first).chain(queued.try_iter()).take(QUEUE_LINES) {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(done) => flushed.push(done),
            }
        }
        let dropped = DROPPED.load(Ordering::Relaxed);
        if dropped > reported {
            batch.extend_from_slice(format!("log lines dropped total={dropped}\n").as_bytes());
            reported = dropped;
        }
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        for done in &flushed {
            let _ = done.try_send(());
        }
        if flushed.is_empty() {
            thread::sleep(BATCH_PAUSE);
        }
    }
}

/// Returns how many lines were dropped because the queue was full.
pub fn dropped_log_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits a little until the lines logged so far are written.
pub fn flush_queued_logs() {
    let Some(lines) = FLUSH.get() else { return };
    let (done, written) = sync_channel(1);
    if lines.try_send(Item::Flush(done)).is_ok() {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}
