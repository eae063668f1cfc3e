//! Checks that the size of a batch of log lines is limited. This is a separate test program because
//! the count of dropped lines is shared by the whole process.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    io::{self, Write},
    sync::mpsc::{Sender, channel},
};

use telemetry::QueuedOutput;

/// Output that sends each batch to a channel.
struct BatchSender(Sender<Vec<u8>>);

impl Write for BatchSender {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn batch_size_is_limited_while_lines_are_queued() {
    let (written, batches) = channel();
    let mut output = QueuedOutput::start(Box::new(BatchSender(written))).unwrap();
    let writer = std::thread::spawn(move || {
        for _ in 0..2_000_000 {
            output.write_all(b"x\n").unwrap();
        }
    });
    for _ in 0..2 {
        let batch: Vec<u8> = batches.recv().unwrap();
        let lines = batch.split(|it| *it == b'\n').filter(|it| *it == b"x").count();
        assert!(lines <= 8_192, "{lines} lines in a batch");
    }
    writer.join().unwrap();
}
