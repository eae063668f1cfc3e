//! Heap memory of the whole process, from the counters of the allocator.

use std::{alloc::System, time::Duration};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use tokio::{sync::oneshot, task::JoinHandle};

/// Time between two samples of the allocated memory.
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the net number of bytes allocated since its creation.
#[derive(Debug)]
pub(crate) struct AllocationMeter {
    /// Allocations of all threads since the start.
    region: Region<'static, System>,
}

impl AllocationMeter {
    /// Starts the measurement.
    pub(crate) fn start() -> AllocationMeter {
        AllocationMeter { region: Region::new(ALLOCATOR) }
    }

    /// Returns the bytes allocated since the start minus those freed; negative if more were freed.
    pub(crate) fn net_bytes(&self) -> f64 {
        let change = self.region.change();
        change.bytes_allocated as f64 - change.bytes_deallocated as f64
    }
}

/// Samples the allocated memory in the background and records its peak.
#[derive(Debug)]
pub(crate) struct PeakMemory {
    /// Stops the sampler.
    stop: oneshot::Sender<()>,
    /// Task that takes the samples and returns the peak in bytes.
    sampler: JoinHandle<f64>,
}

impl PeakMemory {
    /// Starts sampling. Must be called within a Tokio runtime.
    pub(crate) fn start() -> PeakMemory {
        let (stop, stopped) = oneshot::channel();
        let sampler = tokio::spawn(sample_until(AllocationMeter::start(), stopped));
        PeakMemory { stop, sampler }
    }

    /// Stops sampling and returns the peak in bytes, relative to the memory allocated at the start.
    pub(crate) async fn stop(self) -> f64 {
        let _ = self.stop.send(());
        self.sampler.await.unwrap_or(0.0)
    }
}

async fn sample_until(meter: AllocationMeter, mut stopped: oneshot::Receiver<()>) -> f64 {
    let mut peak = 0.0_f64;
    loop {
        peak = peak.max(meter.net_bytes());
        tokio::select! {
            _ = &mut stopped => return peak,
            () = tokio::time::sleep(SAMPLE_PERIOD) => {}
        }
    }
}
