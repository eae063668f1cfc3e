//! The thread that owns control state.

use std::{io, thread};

use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// The thread that owns control state. Dropping it ends its tasks.
pub(super) struct ControlThread {
    /// Spawns tasks on the thread.
    handle: Handle,
    /// Ends the thread when dropped.
    _stop: oneshot::Sender<()>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// Where the system has no thread to give.
    pub(super) fn start() -> io::Result<ControlThread> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        thread::Builder::new().name("control".to_owned()).spawn(move || {
            // The sender is dropped, never used.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        })?;
        Ok(ControlThread { handle, _stop: stop })
    }

    /// Returns the handle that spawns tasks on the thread.
    pub(super) fn handle(&self) -> &Handle {
        &self.handle
    }
}
