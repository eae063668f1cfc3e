//! A daemon process on a host with little memory and few descriptors.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use tokio::net::TcpStream;

use crate::clients::get;

/// Memory of the process, in bytes.
pub(crate) const MEMORY_BYTES: u64 = 160_000_000;

/// Maximum size of a body, in bytes.
pub(crate) const BODY_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// Time after which the daemon must be ready.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// A daemon process, killed on drop.
pub(crate) struct Daemon {
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    descriptors: u32,
    child: Child,
}

impl Daemon {
    /// Starts a daemon whose address `number` makes, and waits until it is ready.
    pub(crate) async fn start(number: u8, platform: SocketAddr, descriptors: u32) -> Daemon {
        let ip = Ipv4Addr::new(127, 59, 1, number);
        let (caller_address, peer_address) = ((ip, 18_080).into(), (ip, 18_081).into());
        let log = std::env::temp_dir().join(format!("auburncrankd-crowd-{ip}.log"));
        let log = File::create(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_auburncrankd"))
            .args(["--name", "router-zlin", "--failure-domain", "zlin"])
            .args(["--caller-address", &format!("{caller_address}")])
            .args(["--peer-address", &format!("{peer_address}")])
            .args(["--platform", &platform.to_string()])
            .args(["--body-max-bytes", &BODY_MAX_BYTES.to_string()])
            .args(["--head-timeout", "120s", "--body-timeout", "120s"])
            .env("AUBURNCRANK_MEMORY_MAX_BYTES", MEMORY_BYTES.to_string())
            .env("AUBURNCRANK_DESCRIPTORS_MAX", descriptors.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let limit = Some(u64::from(descriptors));
        let limit = Rlimit { current: limit, maximum: limit };
        prlimit(Some(Pid::from_child(&child)), Resource::Nofile, limit).unwrap();
        let mut daemon = Daemon { caller_address, peer_address, descriptors, child };
        let ready = tokio::time::timeout(START_PATIENCE, daemon.wait_until_ready());
        ready.await.expect("the daemon must become ready");
        daemon
    }

    async fn wait_until_ready(&mut self) {
        loop {
            self.check_alive();
            let is_listening = TcpStream::connect(self.caller_address).await.is_ok();
            if is_listening && get(self.caller_address, "/ready").await.contains(" 200 ") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Checks that the process lives and has stayed within its limits.
    pub(crate) fn check_limits(&mut self) {
        self.check_alive();
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
        let peak: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count();
        println!("peak memory {peak} of {} KiB, {open} descriptors open", MEMORY_BYTES / 1_024);
        assert!(
            peak <= MEMORY_BYTES / 1_024,
            "peak memory: {peak} KiB of {}",
            MEMORY_BYTES / 1_024
        );
        assert!(open <= self.descriptors as usize, "open descriptors: {open}");
    }

    fn check_alive(&mut self) {
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
