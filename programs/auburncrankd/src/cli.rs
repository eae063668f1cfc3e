//! Command line of the daemon: settings and help text.

use std::time::Duration;

use config::KeyHash;
use log::LevelFilter;
use router::{HttpLimits, RouterSettings};
use rustix::process::{Resource, getrlimit};
use settings::{
    LOG_FORMAT_SETTING, LOG_LEVEL_SETTING, ProgramSpec, ProgramStart, SettingFaults, SettingSpec,
    SettingValues,
};
use telemetry::LogFormat;
use types::{FailureDomain, RouterName};
use utils::Digest;

/// Pause within an endpoint's stream after which the request may go on at another endpoint.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

const SPEC: ProgramSpec = ProgramSpec {
    name: "auburncrankd",
    about: "Runs one router of an auburncrank fleet.",
    arguments: "",
    details: "Signals: SIGTERM or SIGINT shuts the router down gracefully; a second one ends it at \
        once.\n\nExit codes:\n  0  shut down gracefully\n  1  could not start, or requests were \
        cut off\n  2  invalid settings",
    settings: &[
        SettingSpec {
            flag: "name",
            env: "AUBURNCRANK_NAME",
            value: "NAME",
            default: None,
            help: "Name of this router; must stay the same across restarts.",
        },
        SettingSpec {
            flag: "failure-domain",
            env: "AUBURNCRANK_FAILURE_DOMAIN",
            value: "NAME",
            default: None,
            help: "Failure domain of this host.",
        },
        SettingSpec {
            flag: "caller-address",
            env: "AUBURNCRANK_CALLER_ADDRESS",
            value: "IP:PORT",
            default: Some("127.0.0.1:8080"),
            help: "Address that callers and operators connect to.",
        },
        SettingSpec {
            flag: "peer-address",
            env: "AUBURNCRANK_PEER_ADDRESS",
            value: "IP:PORT",
            default: Some("127.0.0.1:8081"),
            help: "Address that other routers connect to.",
        },
        SettingSpec {
            flag: "seeds",
            env: "AUBURNCRANK_SEEDS",
            value: "IP:PORT,...",
            default: Some(""),
            help: "Peer addresses of some other routers, to join the fleet.",
        },
        SettingSpec {
            flag: "platform",
            env: "AUBURNCRANK_PLATFORM",
            value: "IP:PORT",
            default: None,
            help: "Address of the platform's services.",
        },
        SettingSpec {
            flag: "platform-timeout",
            env: "AUBURNCRANK_PLATFORM_TIMEOUT",
            value: "DURATION",
            default: Some("2s"),
            help: "Maximum time until an answer of the platform begins, and between two pieces of it.",
        },
        SettingSpec {
            flag: "drain-timeout",
            env: "AUBURNCRANK_DRAIN_TIMEOUT",
            value: "DURATION",
            default: Some("10m"),
            help: "Maximum duration of a graceful shutdown.",
        },
        SettingSpec {
            flag: "body-max-bytes",
            env: "AUBURNCRANK_BODY_MAX_BYTES",
            value: "BYTES",
            default: Some("16777216"),
            help: "Maximum size of a request body.",
        },
        SettingSpec {
            flag: "body-timeout",
            env: "AUBURNCRANK_BODY_TIMEOUT",
            value: "DURATION",
            default: Some("30s"),
            help: "Maximum time for the body of a request to arrive.",
        },
        SettingSpec {
            flag: "head-timeout",
            env: "AUBURNCRANK_HEAD_TIMEOUT",
            value: "DURATION",
            default: Some("10s"),
            help: "Maximum time for the head of a request to arrive.",
        },
        SettingSpec {
            flag: "memory-max-bytes",
            env: "AUBURNCRANK_MEMORY_MAX_BYTES",
            value: "BYTES",
            default: Some("2147483648"),
            help: "Memory that the process may use; what clients make it hold is limited to shares of it.",
        },
        SettingSpec {
            flag: "descriptors-max",
            env: "AUBURNCRANK_DESCRIPTORS_MAX",
            value: "COUNT",
            default: Some(""),
            help: "Number of descriptors that the process may use; by default the limit that the system sets.",
        },
        SettingSpec {
            flag: "traffic-threads",
            env: "AUBURNCRANK_TRAFFIC_THREADS",
            value: "COUNT",
            default: Some("2"),
            help: "Number of threads that handle traffic.",
        },
        SettingSpec {
            flag: "bootstrap-operator-key-hash",
            env: "AUBURNCRANK_BOOTSTRAP_OPERATOR_KEY_HASH",
            value: "SHA256",
            default: Some(""),
            help: "Hash of the key that has every permission while no operator is configured; \
                'auburncrank key' generates a key and its hash.",
        },
        LOG_LEVEL_SETTING,
        LOG_FORMAT_SETTING,
    ],
};

/// Settings of the daemon.
pub(crate) struct DaemonSettings {
    /// Settings passed to the router process.
    pub(crate) router: RouterSettings,
    /// Lowest level of the messages that are logged.
    pub(crate) log_level: LevelFilter,
    /// Format of log lines.
    pub(crate) log_format: LogFormat,
}

/// Reads the command line and the environment; prints the help text or the faults.
pub(crate) fn read_command_line() -> ProgramStart<DaemonSettings> {
    SPEC.start(read_settings)
}

fn read_settings(values: &SettingValues, faults: &mut SettingFaults) -> Option<DaemonSettings> {
    // Parses every setting before returning early for a missing one, so that all faults are
    // reported together.
    let name = values.parse::<RouterName>("name", faults);
    let failure_domain = values.parse::<FailureDomain>("failure-domain", faults);
    let caller_address = values.parse("caller-address", faults);
    let peer_address = values.parse("peer-address", faults);
    let seeds = values.list("seeds", faults);
    let platform_address = values.parse("platform", faults);
    let platform_timeout = values.duration("platform-timeout", faults);
    let drain_timeout = values.duration("drain-timeout", faults);
    let http_limits = read_http_limits(values, faults);
    let traffic_threads = values.parse::<usize>("traffic-threads", faults);
    let bootstrap = values.optional("bootstrap-operator-key-hash").unwrap_or_default();
    let bootstrap_operator_key = if bootstrap.is_empty() {
        None
    } else {
        values.parse::<Digest>("bootstrap-operator-key-hash", faults).map(KeyHash::from_digest)
    };
    let log_level = values.parse("log-level", faults);
    let log_format = values.parse("log-format", faults);
    if traffic_threads == Some(0) {
        faults.push("--traffic-threads", "expected at least 1");
    }
    let router = RouterSettings {
        name: name?,
        failure_domain: failure_domain?,
        caller_address: caller_address?,
        peer_address: peer_address?,
        seeds,
        platform_address: platform_address?,
        platform_timeout,
        http_limits,
        drain_timeout,
        stream_idle_timeout: STREAM_IDLE_TIMEOUT,
        traffic_threads: traffic_threads?,
        bootstrap_operator_key,
    };
    Some(DaemonSettings { router, log_level: log_level?, log_format: log_format? })
}

fn read_http_limits(values: &SettingValues, faults: &mut SettingFaults) -> HttpLimits {
    let is_set = values.optional("descriptors-max").is_some_and(|it| !it.is_empty());
    let descriptors_max =
        if is_set { values.parse("descriptors-max", faults) } else { descriptor_limit() };
    HttpLimits {
        body_max_bytes: values.parse("body-max-bytes", faults).unwrap_or_default(),
        body_timeout: values.duration("body-timeout", faults),
        head_timeout: values.duration("head-timeout", faults),
        memory_max_bytes: values.parse("memory-max-bytes", faults).unwrap_or_default(),
        descriptors_max,
    }
}

/// Returns the number of descriptors that the system allows the process; `None` if it is not limited.
fn descriptor_limit() -> Option<u32> {
    let limit = getrlimit(Resource::Nofile).current?;
    Some(u32::try_from(limit).unwrap_or(u32::MAX))
}
