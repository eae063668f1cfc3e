//! Runners: model engines that answer with streams of events, and plain services.

use super::*;

/// Tokens in each event of a stream; `interval` of the desired state.
pub const TOKENS_PER_EVENT: u64 = 3;

/// How a runner answers.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Time from a request to its first event, or to the whole of a plain answer.
    pub first_ms: u64,
    /// Time between two events.
    pub gap_ms: u64,
    /// Events of a stream.
    pub events: u64,
}

/// What a runner did with one request.
#[derive(Clone, Debug)]
pub struct Run {
    pub runner: String,
    pub id: String,
    pub method_and_path: String,
    pub prompt_tokens: u64,
    pub last_event: u64,
    /// When it began to run; `None` if it ended before its first token.
    pub began: Option<Instant>,
    pub events: u64,
}

#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub address: SocketAddr,
    pub pace: Arc<Mutex<Pace>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether it takes requests; if not, it refuses them as full.
    pub is_open: Arc<AtomicBool>,
    /// Version of its software, which each event names.
    pub version: Arc<Mutex<String>>,
    /// Whether its process runs.
    is_up: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_stream: bool,
    record: Record,
}

impl Runner {
    pub fn start(name: &str, is_stream: bool, pace: Pace, record: &Record) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let runner = Runner {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            pace: Arc::new(Mutex::new(pace)),
            runs: Arc::default(),
            is_open: Arc::new(AtomicBool::new(true)),
            version: Arc::new(Mutex::new("v1".to_owned())),
            is_up: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            is_stream,
            record: record.clone(),
        };
        runner.accept_on(listener);
        runner
    }

    fn accept_on(&self, listener: TcpListener) {
        let server = self.clone();
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while server.is_up.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                server.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
    }

    /// Ends the process: its connections break and its address refuses new ones.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::Relaxed);
        for it in self.connections.lock().unwrap().drain(..) {
            let _ = it.shutdown(std::net::Shutdown::Both);
        }
        sleep_ms(10);
    }

    /// Starts the process again at its address, with software of this version.
    pub fn restart(&self, version: &str) {
        *self.version.lock().unwrap() = version.to_owned();
        self.is_up.store(true, Ordering::Relaxed);
        self.accept_on(TcpListener::bind(self.address).unwrap());
    }

    /// Returns the entry with which the runner registers itself.
    pub fn entry(&self, service: &str, zone: &str, phase: &str, born: u64) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"{}","capacity":96,"phase":"{phase}","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#,
            self.address,
            self.version.lock().unwrap()
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buf) {
            let is_answered = if request.first_line.contains(" /healthz") {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Auburncrank-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                stream.write_all(head.as_bytes()).is_ok()
            } else {
                self.run(&mut stream, &request)
            };
            if !is_answered {
                return;
            }
        }
    }

    /// Runs one request; returns whether the connection may be used again.
    fn run(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let id = request.header("x-auburncrank-attempt-id").unwrap_or_default().to_owned();
        let target = request.header("x-auburncrank-target-instance").unwrap_or_default();
        if target != self.name {
            let text = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(text.as_bytes()).is_ok();
        }
        if !self.is_open.load(Ordering::Relaxed) {
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Auburncrank-Attempt-Id: {id}\r\nX-Auburncrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let tokens = request.header("x-auburncrank-token-usage").unwrap_or("0,0");
        let prompt_tokens = tokens.split(',').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        let last_event = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let words: Vec<&str> = request.first_line.split(' ').collect();
        let run = Run {
            runner: self.name.clone(),
            id: id.clone(),
            method_and_path: words[..2].join(" "),
            prompt_tokens,
            last_event,
            began: None,
            events: 0,
        };
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        let deadline_ms: u64 =
            request.header("x-auburncrank-deadline-ms").and_then(|it| it.parse().ok()).unwrap_or(60_000);
        let until = Instant::now() + Duration::from_millis(deadline_ms);
        let pace = *self.pace.lock().unwrap();
        let version = self.version.lock().unwrap().clone();
        if !self.work(stream, pace.first_ms, until) {
            self.record.add(&format!("{} drops {id} before it runs", self.name));
            return false;
        }
        self.runs.lock().unwrap()[number].began = Some(Instant::now());
        self.record.add(&format!("{} ({version}) runs {id} after event {last_event}", self.name));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Auburncrank-Attempt-Id: {id}\r\nX-Auburncrank-Response-Signature: sig-{id}\r\nX-Auburncrank-Weight-Versions: 1\r\n"
        );
        if !self.is_stream {
            let body = format!("answer to {id}");
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in last_event + 1..=pace.events {
            let text = format!("id: {event}\ndata: piece {event} from {version}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            self.runs.lock().unwrap()[number].events += 1;
            if event < pace.events && !self.work(stream, pace.gap_ms, until) {
                self.record.add(&format!("{} drops {id} after event {event}", self.name));
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Works for a time; returns `false` if the connection is closed meanwhile or the time limit passes.
    fn work(&self, stream: &mut TcpStream, millis: u64, until: Instant) -> bool {
        let end = Instant::now() + Duration::from_millis(millis);
        let mut byte = [0];
        let _ = stream.set_nonblocking(true);
        let is_open = loop {
            match stream.peek(&mut byte) {
                Ok(0) => break false,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => break false,
                _ => {}
            }
            let now = Instant::now();
            if now >= until {
                break false;
            }
            if now >= end {
                break true;
            }
            thread::sleep((end - now).min(Duration::from_millis(2)));
        };
        let _ = stream.set_nonblocking(false);
        is_open
    }
}
