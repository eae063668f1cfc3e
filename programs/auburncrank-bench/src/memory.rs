//! Memory that is held, by allocations of the whole process.

use std::{alloc::System, time::Duration};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use tokio::{sync::oneshot, task::JoinHandle};

/// Time between two samples of the memory held.
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Counts the bytes that are allocated from now on and not freed.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    /// Allocations from the start on, of all threads.
    region: Region<'static, System>,
}

impl HeldMemory {
    /// Starts to count.
    pub(crate) fn start() -> HeldMemory {
        HeldMemory { region: Region::new(ALLOCATOR) }
    }

    /// Returns the bytes allocated and not freed.
    pub(crate) fn bytes(&self) -> f64 {
        let change = self.region.change();
        change.bytes_allocated as f64 - change.bytes_deallocated as f64
    }
}

/// Samples the memory held and knows the most of it.
#[derive(Debug)]
pub(crate) struct PeakMemory {
    /// Ends the samples.
    stop: oneshot::Sender<()>,
    /// Takes the samples; yields the most bytes held.
    sampler: JoinHandle<f64>,
}

impl PeakMemory {
    /// Starts to sample.
    pub(crate) fn start() -> PeakMemory {
        let (stop, stopped) = oneshot::channel();
        let sampler = tokio::spawn(sample_until(HeldMemory::start(), stopped));
        PeakMemory { stop, sampler }
    }

    /// Ends the samples; returns the most bytes held beside those held at the start.
    pub(crate) async fn stop(self) -> f64 {
        let _ = self.stop.send(());
        self.sampler.await.unwrap_or(0.0)
    }
}

async fn sample_until(held: HeldMemory, mut stopped: oneshot::Receiver<()>) -> f64 {
    let mut peak = 0.0_f64;
    loop {
        peak = peak.max(held.bytes());
        tokio::select! {
            _ = &mut stopped => return peak,
            () = tokio::time::sleep(SAMPLE_PERIOD) => {}
        }
    }
}
