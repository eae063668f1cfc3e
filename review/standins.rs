//! Stand-ins for the review cases: the platform's store, runners, clients and the platform that starts
//! routers. Uses the standard library only. The first argument names the scene.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt as _,
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

#[path = "standin_clients.rs"]
mod clients;
#[path = "standin_json.rs"]
mod json;
#[path = "standin_runners.rs"]
mod runners;
#[path = "scenes.rs"]
mod scenes;
#[path = "standin_store.rs"]
mod store;

use json::Json;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, unused: u64, unused_too: u64, also_unused: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Host of all routes.
pub const HOST: &str = "dilna.example";
/// Tenant of all requests, and its key.
pub const TENANT: &str = "dilna";
pub const KEY: &str = "key-of-dilna";

/// Times of the record, counted from the start of the scene.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:9.3} {line}");
    }

    pub fn save(&self, path: &PathBuf) {
        fs::write(path, &*self.lines.lock().unwrap()).unwrap();
    }
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An HTTP message as read from a connection.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }
}

/// Reads the head of a message; `None` if the connection ends before one begins.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|it| it.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Message { first_line, headers, body: Vec::new() }));
        }
        if !fill(stream, buf)? {
            return Ok(None);
        }
    }
}

/// Reads more bytes; returns `false` at the end of the connection.
pub fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk)?;
    buf.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

/// Reads a request with its body.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, buf)? else { return Ok(None) };
    let length: usize = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    while buf.len() < length {
        if !fill(stream, buf)? {
            return Ok(None);
        }
    }
    message.body = buf.drain(..length).collect();
    Ok(Some(message))
}

/// A router of the deploy file, as the platform starts it.
pub struct Router {
    pub name: String,
    pub ip: Ipv4Addr,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Ports that are free on the addresses of all routers.
pub struct Ports {
    frontend: u16,
    ready: u16,
    registry: u16,
    control: u16,
    internal: (u16, u16),
}

pub fn router_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 10 + number)
}

impl Ports {
    pub fn find(routers: u8) -> Ports {
        let is_free = |port: u16| {
            (0..routers).all(|it| {
                let address = SocketAddr::new(IpAddr::V4(router_ip(it)), port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        };
        let mut base = 20_000 + (std::process::id() * 16 % 11_200) as u16;
        while !(base..base + 16).all(is_free) {
            base += 16;
        }
        Ports {
            frontend: base,
            ready: base + 1,
            registry: base + 2,
            control: base + 3,
            internal: (base + 4, base + 15),
        }
    }
}

/// Bounds of the settings that a scene sets.
#[derive(Clone)]
pub struct Bounds {
    pub retry_allowance: u32,
    pub contracts: Vec<&'static str>,
}

impl Default for Bounds {
    fn default() -> Bounds {
        let contracts = vec![
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform",
        ];
        Bounds { retry_allowance: 56, contracts }
    }
}

impl Router {
    /// Fills in `deploy/settings.json` for a router, as the platform does.
    pub fn new(folder: &PathBuf, number: u8, zone: &str, store: SocketAddr, ports: &Ports, bounds: &Bounds) -> Router {
        let ip = router_ip(number);
        let name = format!("edge-{zone}-{}", number + 1);
        let at = |port: u16| format!("{ip}:{port}");
        let seeds: Vec<String> =
            (0..3).map(|it| format!("\"{}:{}\"", router_ip(it), ports.control)).collect();
        let contracts: Vec<String> = bounds.contracts.iter().map(|it| format!("\"{it}\"")).collect();
        let values: HashMap<&str, String> = HashMap::from([
            ("node_name|json", format!("\"{name}\"")),
            ("zone|json", format!("\"{zone}\"")),
            ("limits.cpu_fraction|json", "0.25".to_owned()),
            ("limits.cpu_cores|json", "1".to_owned()),
            ("listen.frontend|json", format!("\"{}\"", at(ports.frontend))),
            ("listen.ready|json", format!("\"{}\"", at(ports.ready))),
            ("listen.registry|json", format!("\"{}\"", at(ports.registry))),
            ("platform.address|json", format!("\"{store}\"")),
            ("internal_ports|json", format!("[{}, {}]", ports.internal.0, ports.internal.1)),
            ("seed_nodes|json", format!("[{}]", seeds.join(", "))),
            ("bounds.retry_ratio|json", "0.2".to_owned()),
            ("bounds.retry_allowance|json", bounds.retry_allowance.to_string()),
            ("bounds.retry_window_s|json", "10".to_owned()),
            ("bounds.grace_s|json", "8".to_owned()),
            ("bounds.ttl_max_s|json", "5".to_owned()),
        ]);
        let template = fs::read_to_string("deploy/settings.json").unwrap();
        let sections = [
            ("{{#region}}", "{{/region}}", "\"area\": \"morava\",".to_owned()),
            (
                "{{#zones}}",
                "{{/zones}}",
                "\"zlin\": \"morava\", \"kromeriz\": \"morava\", \"vsetin\": \"morava\"".to_owned(),
            ),
            ("{{#limits.link_mbps}}", "{{/limits.link_mbps}}", "\"link_mbps\": 1000.0,".to_owned()),
            ("{{#limits.memory_mb}}", "{{/limits.memory_mb}}", "\"memory_mb\": 260,".to_owned()),
            ("{{#limits.max_fds}}", "{{/limits.max_fds}}", "\"descriptors_max\": 4100,".to_owned()),
            ("{{#bounds.cold_overage}}", "{{/bounds.cold_overage}}", String::new()),
            ("{{#bounds.cold_allowance}}", "{{/bounds.cold_allowance}}", String::new()),
            ("{{#contracts}}", "{{/contracts}}", contracts.join(", ")),
        ];
        let mut text = template;
        for (begin, end, value) in sections {
            let from = text.find(begin).unwrap();
            let until = text.find(end).unwrap() + end.len();
            text.replace_range(from..until, &value);
        }
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "the template has a field that the stand-in does not know: {text}");
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).unwrap();
        Router {
            log: folder.join(format!("{name}.log")),
            caller: SocketAddr::new(IpAddr::V4(ip), ports.frontend),
            ready: SocketAddr::new(IpAddr::V4(ip), ports.ready),
            name,
            ip,
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new("target/release/auburncrank-relay");
        command.env_clear().env("AUBURNCRANK_BOOT", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // Ends with this process, however that ends.
        let die_with_parent = || {
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) };
            Ok(())
        };
        unsafe { command.pre_exec(die_with_parent) };
        self.child = Some(command.spawn().expect("the build of the deploy file must have run"));
    }

    pub fn signal(&self, signal: i32) {
        let child = self.child.as_ref().expect("the router runs");
        assert_eq!(unsafe { kill(child.id() as i32, signal) }, 0);
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| it.try_wait().unwrap().is_some())
    }

    pub fn is_ready(&self) -> bool {
        clients::get(self.ready, "/v1/readyz").is_some_and(|it| it == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let is_troubled = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let case = PathBuf::from(&arguments[2]);
    let folder = std::env::temp_dir().join(format!("auburncrank-review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let record = Record::new();
    let result = scenes::play(&arguments[1], is_troubled, &folder, &record);
    match &result {
        Ok(faults) if faults.is_empty() => record.add("the rule held"),
        Ok(faults) => faults.iter().for_each(|it| record.add(&format!("RULE BROKEN: {it}"))),
        Err(reason) => record.add(&format!("the case could not run: {reason}")),
    }
    record.save(&case.join("record.txt"));
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    exit(match result {
        Ok(faults) => i32::from(!faults.is_empty()),
        Err(_) => 2,
    });
}
