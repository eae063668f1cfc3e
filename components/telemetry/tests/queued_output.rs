//! Logging never waits for its reader.

#![allow(clippy::unwrap_used, reason = "a test ends where it cannot go on")]

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
};

use telemetry::{QueuedOutput, dropped_log_lines};

/// A reader that takes nothing before it is told to.
struct Stalled {
    /// Told once lines may be taken.
    go_on: Receiver<()>,
    /// Gets what was written.
    written: Sender<Vec<u8>>,
}

impl Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.go_on.recv();
        let _ = self.written.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_for_a_stalled_reader_are_dropped_and_counted() {
    let (go_on, told) = channel();
    let (written, taken) = channel();
    let stalled = Stalled { go_on: told, written };
    let mut output = QueuedOutput::start(Box::new(stalled)).unwrap();
    // Five times what the queue holds; each write returns though nobody reads.
    for number in 0..40_960 {
        output.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    let dropped = dropped_log_lines();
    assert!(dropped >= 40_960 - 2 * 8_192, "{dropped}");
    drop(go_on);
    let mut text = Vec::new();
    while !String::from_utf8_lossy(&text).contains("log lines dropped total=") {
        text.extend(taken.recv().unwrap());
    }
    assert!(text.starts_with(b"line 0\n"));
}
