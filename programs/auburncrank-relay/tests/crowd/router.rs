//! A router process on a host with little memory and few descriptors.

use std::{
    fs::File,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::{Value, json};

use crate::support::readiness_status;

/// Ports, the same for each router; the IP addresses differ.
const CALLER_PORT: u16 = 18_740;
const READY_PORT: u16 = 18_741;
const DIRECTORY_PORT: u16 = 18_742;
const INTERNAL_PORTS: [u16; 2] = [18_750, 18_760];

/// Limits of the host that a router runs on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Host {
    /// Memory of the process, in megabytes.
    pub(crate) memory_mb: u64,
    /// Descriptors of the process; the system enforces them.
    pub(crate) descriptors: u32,
}

/// A router process, killed on drop.
pub(crate) struct Router {
    pub(crate) caller_address: SocketAddr,
    pub(crate) ready_address: SocketAddr,
    pub(crate) directory_address: SocketAddr,
    pub(crate) tunnel_address: SocketAddr,
    pub(crate) metrics_address: SocketAddr,
    host: Host,
    child: Child,
}

impl Router {
    /// Starts a router at `ip` and waits until it is ready.
    pub(crate) async fn start(ip: IpAddr, store: SocketAddr, host: Host) -> Router {
        let folder = std::env::temp_dir().join(format!("auburncrank-crowd-{ip}"));
        std::fs::create_dir_all(&folder).unwrap();
        let at = |port| SocketAddr::new(ip, port);
        let settings = json!({"name": "router-1", "failure_domain": "zlin", "processor_share": 0.25,
            "processor_speed": 1, "memory_mb": host.memory_mb, "descriptors_max": host.descriptors,
            "caller_address": at(CALLER_PORT), "ready_address": at(READY_PORT),
            "directory_address": at(DIRECTORY_PORT), "store_address": store,
            "internal_ports": INTERNAL_PORTS, "seeds": Vec::<Value>::new(),
            "retry_ratio": 0.2, "retry_allowance": 56, "retry_window_s": 10,
            "shutdown_grace_s": 8, "addresses_max_age_s": 5});
        let path = folder.join("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let log = File::create(folder.join("log")).unwrap();
        let child = Command::new(PathBuf::from(env!("CARGO_BIN_EXE_auburncrank-relay")))
            .arg("--settings-file")
            .arg(path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let limit = Some(u64::from(host.descriptors));
        let limit = Rlimit { current: limit, maximum: limit };
        prlimit(Some(Pid::from_child(&child)), Resource::Nofile, limit).unwrap();
        let mut router = Router {
            caller_address: at(CALLER_PORT),
            ready_address: at(READY_PORT),
            directory_address: at(DIRECTORY_PORT),
            tunnel_address: at(INTERNAL_PORTS[0]),
            metrics_address: at(INTERNAL_PORTS[0] + 1),
            host,
            child,
        };
        router.wait_until_ready().await;
        router
    }

    async fn wait_until_ready(&mut self) {
        for _ in 0..400 {
            self.check_alive();
            let is_listening = tokio::net::TcpStream::connect(self.ready_address).await.is_ok();
            if is_listening && readiness_status(self.ready_address).await == 200 {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(25)).await;
        }
        panic!("the router did not become ready");
    }

    /// Checks that the process lives and has stayed within the limits of its host.
    pub(crate) fn check_limits(&mut self) {
        self.check_alive();
        let (peak, limit) = (self.peak_memory_kb(), self.host.memory_mb * 1_000_000 / 1_024);
        let descriptors = self.open_descriptors();
        println!("peak memory {peak} of {limit} KiB, {descriptors} descriptors open");
        assert!(peak <= limit, "peak memory: {peak} KiB of {limit}");
        assert!(
            descriptors <= self.host.descriptors as usize,
            "open descriptors: {descriptors} of {}",
            self.host.descriptors
        );
    }

    fn check_alive(&mut self) {
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended");
    }

    /// Returns the peak of the resident memory, in KiB.
    fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
