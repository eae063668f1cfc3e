//! Batches of log lines stay bounded. A file of its own: the count of dropped lines is one
//! for the process.

#![allow(clippy::unwrap_used, reason = "a test ends where it cannot go on")]

use std::{
    io::{self, Write},
    sync::mpsc::{Sender, channel},
};

use telemetry::QueuedOutput;

/// A reader that passes each batch on.
struct Batches(Sender<Vec<u8>>);

impl Write for Batches {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn batch_ends_although_lines_keep_coming() {
    let (written, taken) = channel();
    let mut output = QueuedOutput::start(Box::new(Batches(written))).unwrap();
    let writing = std::thread::spawn(move || {
        for _ in 0..2_000_000 {
            output.write_all(b"x\n").unwrap();
        }
    });
    for _ in 0..2 {
        let batch: Vec<u8> = taken.recv().unwrap();
        let lines = batch.split(|it| *it == b'\n').filter(|it| *it == b"x").count();
        assert!(lines <= 8_192, "{lines} lines in a batch");
    }
    writing.join().unwrap();
}
