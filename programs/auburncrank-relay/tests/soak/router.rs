//! A router that runs the real program in its own process.

use std::{
    fs::File,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::Instant;

/// Shutdown grace period in the router's settings.
pub(crate) const SHUTDOWN_GRACE: Duration = Duration::from_secs(8);

/// Time within which the system has loaded the program, even on a busy machine.
const PROGRAM_LOAD_TIME: Duration = Duration::from_millis(100);

/// Limits of the hosts, as on the users' smaller sites.
const MEMORY_MB: u64 = 260;
const DESCRIPTORS: u32 = 4_100;

/// Ports, the same for each router; the IP addresses differ.
const CALLER_PORT: u16 = 18_740;
const READY_PORT: u16 = 18_741;
const DIRECTORY_PORT: u16 = 18_742;
const INTERNAL_PORTS: [u16; 2] = [18_750, 18_760];

/// A router process; the soak test restarts it whenever it has ended.
pub(crate) struct Router {
    pub(crate) name: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) ready_address: SocketAddr,
    /// Number of processes started so far.
    pub(crate) start_count: u32,
    /// Program that the next process runs.
    pub(crate) program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    started_at: Instant,
}

impl Router {
    /// Creates a router at `ip` and writes its settings file; [`start`](Self::start) starts it.
    pub(crate) fn new(
        name: &str,
        failure_domain: &str,
        ip: IpAddr,
        store: SocketAddr,
        seeds: &[IpAddr],
        program: PathBuf,
    ) -> Router {
        let folder = std::env::temp_dir().join(format!("auburncrank-soak-{ip}"));
        std::fs::create_dir_all(&folder).unwrap();
        let at = |port| SocketAddr::new(ip, port);
        let seeds: Vec<SocketAddr> = seeds.iter().map(|it| SocketAddr::new(*it, 1)).collect();
        let settings = json!({"name": name, "failure_domain": failure_domain, "processor_share": 1.0,
            "processor_speed": 1, "memory_mb": MEMORY_MB, "descriptors_max": DESCRIPTORS,
            "caller_address": at(CALLER_PORT),
            "ready_address": at(READY_PORT), "directory_address": at(DIRECTORY_PORT),
            "store_address": store, "internal_ports": INTERNAL_PORTS, "seeds": seeds,
            "retry_ratio": 0.2, "retry_allowance": 56, "retry_window_s": 10,
            "shutdown_grace_s": SHUTDOWN_GRACE.as_secs(), "addresses_max_age_s": 5});
        std::fs::write(folder.join("settings.json"), settings.to_string()).unwrap();
        let _ = std::fs::remove_file(folder.join("log"));
        Router {
            name: name.to_owned(),
            caller_address: at(CALLER_PORT),
            ready_address: at(READY_PORT),
            start_count: 0,
            program,
            folder,
            child: None,
            started_at: Instant::now(),
        }
    }

    pub(crate) fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new(&self.program)
            .arg("--settings-file")
            .arg(self.folder.join("settings.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
        self.started_at = Instant::now();
        self.start_count += 1;
    }

    /// Sends a signal to the process. Does nothing if there is no process, or if it started so
    /// recently that the program may not be loaded yet and cannot handle signals.
    pub(crate) fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if self.started_at.elapsed() < PROGRAM_LOAD_TIME {
            return;
        }
        let pid = Pid::from_child(child);
        if let Err(error) = kill_process(pid, signal) {
            println!("{}: signal not sent: {error}", self.name);
        }
    }

    /// Kills the process and waits until it is gone.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            child.wait().unwrap();
        }
    }

    /// Returns the exit status if the process has ended since the last call.
    pub(crate) fn poll_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().unwrap()?;
        self.child = None;
        Some(status)
    }

    /// Waits up to `time` for the process to end; returns `None` on a timeout.
    pub(crate) async fn wait_for_exit(&mut self, time: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if let Some(status) = self.poll_exit() {
                return Some(status);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) fn log(&self) -> String {
        let bytes = std::fs::read(self.folder.join("log")).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Returns the path of the log file.
    pub(crate) fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
