//! Finds routers that get more than their part of the callers' requests.
//!
//! Callers keep connections open and send as much on each as they like, so that one router
//! may get many times what the others get. Such a router asks callers to connect anew.

/// Requests of a router, beside the processor that serves them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterLoad {
    /// Requests that arrive in a second.
    pub arrivals_per_s: f64,
    /// Processor, in thousandths of a core.
    pub processor_millis: u32,
}

/// Multiple of the fleet's mean requests a core from which a router is crowded. Above what
/// unequal hosts and chance make of equal shares.
const CROWDED_FACTOR: f64 = 2.0;

/// Requests a second and thousandth of a core below which a router is not crowded: a fraction
/// of what it can serve.
const ARRIVALS_MIN_PER_MILLI: f64 = 0.08;

impl RouterLoad {
    /// Returns the mean requests a second and thousandth of a core of a fleet.
    pub fn mean(fleet: &[RouterLoad]) -> f64 {
        let arrivals: f64 = fleet.iter().map(|it| it.arrivals_per_s).sum();
        let processors: f64 = fleet.iter().map(|it| f64::from(it.processor_millis)).sum();
        arrivals / processors.max(1.0)
    }

    /// Tells whether the router is crowded, beside the mean of its fleet.
    pub fn is_crowded(&self, mean: f64) -> bool {
        let own = self.arrivals_per_s / f64::from(self.processor_millis.max(1));
        own >= ARRIVALS_MIN_PER_MILLI && own > mean * CROWDED_FACTOR
    }
}
