//! Logging setup and the two log formats.

use std::{fmt::Write, io, time::SystemTime};

use log::{
    LevelFilter, Record,
    kv::{self, VisitSource},
};
use thiserror::Error;

use crate::{LogFormat, queued_output::QueuedOutput};

/// Error that prevented logging from being set up.
#[derive(Debug, Error)]
pub enum LogSetupError {
    /// Logging was already set up in this process.
    #[error("logging is already set up")]
    AlreadySetUp,
    /// The thread that writes the queued lines could not be started.
    #[error("cannot start the log writer thread: {0}")]
    WriterThread(io::Error),
}

/// Logs records of `level` and above to standard error.
///
/// # Errors
/// [`LogSetupError::AlreadySetUp`] if logging was already set up in this process.
pub fn set_up_logs(level: LevelFilter, format: LogFormat) -> Result<(), LogSetupError> {
    install(dispatch(level, format).chain(io::stderr()))
}

/// Logs records of `level` and above to standard output through a bounded queue. Logging
/// never blocks; lines are dropped while the queue is full.
///
/// # Errors
/// [`LogSetupError::AlreadySetUp`] if logging was already set up in this process, or
/// [`LogSetupError::WriterThread`] if the writer thread could not be started.
pub fn set_up_queued_logs(level: LevelFilter, format: LogFormat) -> Result<(), LogSetupError> {
    let output =
        QueuedOutput::start(Box::new(io::stdout())).map_err(LogSetupError::WriterThread)?;
    let output: Box<dyn io::Write + Send> = Box::new(output);
    install(dispatch(level, format).chain(output))
}

fn dispatch(level: LevelFilter, format: LogFormat) -> fern::Dispatch {
    fern::Dispatch::new().level(level).format(move |out, _, record| {
        let line = match format {
            LogFormat::Text => format_text(SystemTime::now(), record),
            LogFormat::Json => format_json(SystemTime::now(), record),
        };
        out.finish(format_args!("{line}"));
    })
}

fn install(dispatch: fern::Dispatch) -> Result<(), LogSetupError> {
    dispatch.apply().map_err(|_| LogSetupError::AlreadySetUp)
}

fn format_text(now: SystemTime, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(now);
    let mut line = format!("{time} {:5} {}", record.level(), record.args());
    for (name, value) in collect_fields(record) {
        let _ = write!(line, " {name}={value}");
    }
    line
}

fn format_json(now: SystemTime, record: &Record<'_>) -> String {
    let mut object = serde_json::Map::new();
    let time = humantime::format_rfc3339_millis(now).to_string();
    object.insert("time".to_owned(), time.into());
    object.insert("level".to_owned(), record.level().as_str().into());
    object.insert("target".to_owned(), record.target().into());
    object.insert("message".to_owned(), record.args().to_string().into());
    for (name, value) in collect_fields(record) {
        object.insert(name, value.into());
    }
    serde_json::Value::Object(object).to_string()
}

fn collect_fields(record: &Record<'_>) -> Vec<(String, String)> {
    struct Fields(Vec<(String, String)>);

    impl<'kvs> VisitSource<'kvs> for Fields {
        fn visit_pair(
            &mut self,
            key: kv::Key<'kvs>,
            value: kv::Value<'kvs>,
        ) -> Result<(), kv::Error> {
            self.0.push((key.to_string(), value.to_string()));
            Ok(())
        }
    }

    let mut fields = Fields(Vec::new());
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

#[cfg(test)]
#[path = "logs_tests.rs"]
mod tests;
