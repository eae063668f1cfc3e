//! Scenarios.

use std::time::Duration;

use super::deployment::{COOPERATIVE, Deployment, UNIFORM_MAKER};

/// What goes wrong in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// Nothing.
    None,
    /// One engine is ten times slow.
    SlowEndpoint,
    /// One engine crashes again and again.
    CrashingEndpoint,
    /// The engines of one failure domain are gone for a while.
    FailureDomainGone,
    /// One caller sends content that crashes engines, again and again.
    Poison,
}

/// A scenario.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scenario {
    /// Name.
    pub(super) name: &'static str,
    /// Deployment.
    pub(super) deployment: &'static Deployment,
    /// Offered load over the capacity of the engines.
    pub(super) load: f64,
    /// What goes wrong.
    pub(super) fault: Fault,
    /// Time that is measured, after the warm-up.
    pub(super) measured: Duration,
}

/// Time before the measured one.
pub(super) const WARM_UP: Duration = Duration::from_secs(10);

/// Measured time of most scenarios.
const MEASURED: Duration = Duration::from_secs(40);

/// Measured time under overload, where the callers that retry grow in number.
const MEASURED_OVERLOAD: Duration = Duration::from_secs(20);

/// All scenarios.
pub(super) const SCENARIOS: &[Scenario] = &[
    calm_or_busy("cooperative_calm", &COOPERATIVE, 0.3),
    calm_or_busy("cooperative_busy", &COOPERATIVE, 0.9),
    calm_or_busy("uniform_calm", &UNIFORM_MAKER, 0.3),
    calm_or_busy("uniform_busy", &UNIFORM_MAKER, 0.9),
    faulty("slow_endpoint", Fault::SlowEndpoint),
    faulty("crashing_endpoint", Fault::CrashingEndpoint),
    faulty("failure_domain_gone", Fault::FailureDomainGone),
    overload("overload_05", 0.5),
    overload("overload_1", 1.0),
    overload("overload_2", 2.0),
    overload("overload_5", 5.0),
    faulty("poison", Fault::Poison),
];

const fn calm_or_busy(name: &'static str, deployment: &'static Deployment, load: f64) -> Scenario {
    Scenario { name, deployment, load, fault: Fault::None, measured: MEASURED }
}

const fn faulty(name: &'static str, fault: Fault) -> Scenario {
    Scenario { name, deployment: &COOPERATIVE, load: 0.6, fault, measured: MEASURED }
}

const fn overload(name: &'static str, load: f64) -> Scenario {
    let (deployment, fault) = (&UNIFORM_MAKER, Fault::None);
    Scenario { name, deployment, load, fault, measured: MEASURED_OVERLOAD }
}
