//! The control thread, which runs the control tasks of all subsystems.

use std::{io, thread};

use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// The control thread, which runs the control tasks of all subsystems. Dropping it ends them.
pub(super) struct ControlThread {
    /// Spawns tasks on the thread.
    handle: Handle,
    /// Stops the thread when dropped.
    _stop: oneshot::Sender<()>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// If the thread or its runtime cannot be created.
    pub(super) fn start() -> io::Result<ControlThread> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        thread::Builder::new().name("control".to_owned()).spawn(move || {
            // Nothing is ever sent: this returns when the sender is dropped.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        })?;
        Ok(ControlThread { handle, _stop: stop })
    }

    /// Returns the runtime handle that spawns tasks on the thread.
    pub(super) fn handle(&self) -> &Handle {
        &self.handle
    }
}
