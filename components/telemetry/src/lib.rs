//! Logging and metrics: setup, metric names, and analysis of log lines.

mod log_format;
mod log_line;
mod logs;
mod metric_names;
mod metrics_recorder;
mod queued_output;
mod request_timeline;

pub use self::{
    log_format::LogFormat,
    log_line::LogLine,
    logs::{LogSetupError, set_up_logs, set_up_queued_logs},
    metric_names::*,
    metrics_recorder::{MetricsHandle, set_up_metrics},
    queued_output::{QueuedOutput, dropped_log_lines, flush_queued_logs},
    request_timeline::RequestTimeline,
};
