//! Detects crowded routers: those that receive far more than their share of the requests.
//!
//! Callers keep connections open and send any number of requests on each, so one router may
//! receive many times the load of the others. A crowded router asks its callers to reconnect.

/// Request rate and processor capacity of a router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterLoad {
    /// Rate of callers' requests, in requests per second.
    pub arrivals_per_s: f64,
    /// Processor capacity, in thousandths of a core.
    pub processor_millis: u32,
}

/// Multiple of the fleet's mean request rate per core above which a router is crowded. It is
/// higher than the spread that unequal hosts and chance cause when connections are shared
/// evenly.
const CROWDED_FACTOR: f64 = 2.0;

/// Requests per second and thousandth of a core below which a router is never crowded: a
/// fraction of what it can serve.
const ARRIVALS_MIN_PER_MILLI: f64 = 0.08;

impl RouterLoad {
    /// Returns the mean request rate of a fleet, in requests per second and thousandth of a core.
    pub fn mean(fleet: &[RouterLoad]) -> f64 {
        let arrivals: f64 = fleet.iter().map(|it| it.arrivals_per_s).sum();
        let processors: f64 = fleet.iter().map(|it| f64::from(it.processor_millis)).sum();
        arrivals / processors.max(1.0)
    }

    /// Returns whether the router is crowded, given the [`mean`](Self::mean) of its fleet.
    pub fn is_crowded(&self, mean: f64) -> bool {
        let own = self.arrivals_per_s / f64::from(self.processor_millis.max(1));
        own >= ARRIVALS_MIN_PER_MILLI && own > mean * CROWDED_FACTOR
    }
}
