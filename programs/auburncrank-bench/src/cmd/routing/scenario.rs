//! Scenarios of the routing study.

use std::time::Duration;

use super::deployment::{COOPERATIVE, Deployment, UNIFORM_MAKER};

/// Fault that a scenario injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// No fault.
    None,
    /// One engine is ten times slower than the others.
    SlowEndpoint,
    /// One engine crashes repeatedly.
    CrashingEndpoint,
    /// All engines of one failure domain are down for some time.
    FailureDomainOutage,
    /// One caller repeatedly sends content that crashes engines.
    Poison,
}

/// A deployment under a given load, with an optional fault.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scenario {
    /// Name in the output and for `--scenario`.
    pub(super) name: &'static str,
    /// Simulated deployment.
    pub(super) deployment: &'static Deployment,
    /// Ratio of the offered load to the capacity of the engines.
    pub(super) load: f64,
    /// Injected fault.
    pub(super) fault: Fault,
    /// Length of the measured time, which follows the warm-up.
    pub(super) measured: Duration,
}

/// Simulated time before the measurement.
pub(super) const WARM_UP: Duration = Duration::from_secs(10);

/// Measured time of most scenarios.
const MEASURED_TIME: Duration = Duration::from_secs(40);

/// Measured time under overload. Shorter than the usual one, as the number of retrying callers
/// grows with time.
const OVERLOAD_MEASURED_TIME: Duration = Duration::from_secs(20);

/// All scenarios of the study.
pub(super) const SCENARIOS: &[Scenario] = &[
    without_fault("cooperative_calm", &COOPERATIVE, 0.3),
    without_fault("cooperative_busy", &COOPERATIVE, 0.9),
    without_fault("uniform_calm", &UNIFORM_MAKER, 0.3),
    without_fault("uniform_busy", &UNIFORM_MAKER, 0.9),
    with_fault("slow_endpoint", Fault::SlowEndpoint),
    with_fault("crashing_endpoint", Fault::CrashingEndpoint),
    with_fault("failure_domain_gone", Fault::FailureDomainOutage),
    overload("overload_05", 0.5),
    overload("overload_1", 1.0),
    overload("overload_2", 2.0),
    overload("overload_5", 5.0),
    with_fault("poison", Fault::Poison),
];

const fn without_fault(name: &'static str, deployment: &'static Deployment, load: f64) -> Scenario {
    Scenario { name, deployment, load, fault: Fault::None, measured: MEASURED_TIME }
}

const fn with_fault(name: &'static str, fault: Fault) -> Scenario {
    Scenario { name, deployment: &COOPERATIVE, load: 0.6, fault, measured: MEASURED_TIME }
}

const fn overload(name: &'static str, load: f64) -> Scenario {
    let (deployment, fault) = (&UNIFORM_MAKER, Fault::None);
    Scenario { name, deployment, load, fault, measured: OVERLOAD_MEASURED_TIME }
}
