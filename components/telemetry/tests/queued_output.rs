//! Checks that logging does not block while the log reader is stalled.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
};

use telemetry::{QueuedOutput, dropped_log_lines};

/// Output whose writes block until the test resumes it.
struct StalledOutput {
    /// Unblocks each write by a message, and all writes once the sender is dropped.
    resume: Receiver<()>,
    /// Receives the written batches.
    written: Sender<Vec<u8>>,
}

impl Write for StalledOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.resume.recv();
        let _ = self.written.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_for_a_stalled_reader_are_dropped_and_counted() {
    let (resume, resume_signal) = channel();
    let (written, batches) = channel();
    let stalled = StalledOutput { resume: resume_signal, written };
    let mut output = QueuedOutput::start(Box::new(stalled)).unwrap();
    // Five times the capacity of the queue; each write returns although nothing is read.
    for number in 0..40_960 {
        output.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    let dropped = dropped_log_lines();
    assert!(dropped >= 40_960 - 2 * 8_192, "{dropped}");
    drop(resume);
    let mut text = Vec::new();
    while !String::from_utf8_lossy(&text).contains("log lines dropped total=") {
        text.extend(batches.recv().unwrap());
    }
    assert!(text.starts_with(b"line 0\n"));
}
