//! Log output that never blocks the caller.

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

/// Capacity of the queue, in lines; about two megabytes.
const QUEUE_CAPACITY_LINES: usize = 8_192;

/// Pause after each write, so that the lines logged meanwhile are written as one batch.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Maximum time that a process waits at its end for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of lines dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Queue of the first output that was started, for [`flush_queued_logs`].
static FLUSH_SENDER: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

/// Entry of the queue.
enum QueueItem {
    /// Log line, including the line end.
    Line(Vec<u8>),
    /// Request for a reply once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Writer that queues log lines for a background thread. Writing never blocks: while the
/// queue is full, lines are dropped and counted.
pub struct QueuedOutput {
    /// Sending end of the queue.
    lines: SyncSender<QueueItem>,
}

impl QueuedOutput {
    /// Starts the thread that writes the queued lines to `out`.
    ///
    /// # Errors
    /// If the thread could not be started.
    pub fn start(out: Box<dyn Write + Send>) -> io::Result<QueuedOutput> {
        let (lines, queued) = sync_channel(QUEUE_CAPACITY_LINES);
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&queued, out))?;
        let _ = FLUSH_SENDER.set(lines.clone());
        Ok(QueuedOutput { lines })
    }
}

impl Write for QueuedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(QueueItem::Line(buf.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to `out` in batches. Write errors are ignored, for example if the
/// reader has closed the pipe.
fn write_lines(queued: &Receiver<QueueItem>, mut out: Box<dyn Write + Send>) {
    let mut reported = 0;
    while let Ok(first) = queued.recv() {
        let mut batch = Vec::new();
        let mut flush_replies = Vec::new();
        // Without the limit, a batch would grow for as long as lines are queued faster than
        // they are removed.
        for item in std::iter::once(first).chain(queued.try_iter()).take(QUEUE_CAPACITY_LINES) {
            match item {
                QueueItem::Line(line) => batch.extend_from_slice(&line),
                QueueItem::Flush(reply) => flush_replies.push(reply),
            }
        }
        let dropped = DROPPED_LINES.load(Ordering::Relaxed);
        if dropped > reported {
            batch.extend_from_slice(format!("log lines dropped total={dropped}\n").as_bytes());
            reported = dropped;
        }
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        for reply in &flush_replies {
            let _ = reply.try_send(());
        }
        if flush_replies.is_empty() {
            thread::sleep(BATCH_PAUSE);
        }
    }
}

/// Returns the number of log lines dropped so far because the queue was full.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits until the lines logged so far are written, but not longer than a short timeout.
/// Does nothing if logs are not queued.
pub fn flush_queued_logs() {
    let Some(lines) = FLUSH_SENDER.get() else { return };
    let (reply, flushed) = sync_channel(1);
    if lines.try_send(QueueItem::Flush(reply)).is_ok() {
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}
