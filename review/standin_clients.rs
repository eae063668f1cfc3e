//! Clients, as the pages tell them.

use super::*;

/// What a client saw of one request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub id: String,
    /// Status; zero if no answer came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Ids of the events that arrived as a whole.
    pub events: Vec<u64>,
    /// Whether the answer ended as its framing says.
    pub is_complete: bool,
    pub has_left: bool,
}

/// Returns the status of a call; `None` if there is no answer within a second.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").ok()?;
    let head = read_head(&mut stream, &mut Vec::new()).ok()??;
    head.first_line.split(' ').nth(1)?.parse().ok()
}

/// A request of a client.
#[derive(Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: &'static str,
    pub deadline_ms: u64,
    /// Prompt tokens and output tokens at most.
    pub tokens: Option<(u64, u64)>,
    /// Time without an event, or without an answer, after which the client leaves.
    pub gap_ms: u64,
    pub more_headers: String,
}

impl Call {
    fn text(&self) -> String {
        let tokens = self.tokens.map_or_else(String::new, |(prompt, output)| {
            format!(
                "X-Auburncrank-Model: m\r\nX-Auburncrank-Token-Usage: {prompt},{output}\r\nX-Auburncrank-Prefix-Hash: 5c1e07a2:100,{}:{}\r\n",
                self.id,
                prompt.saturating_sub(100)
            )
        });
        let body = if self.method == "GET" { "" } else { "the body" };
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Auburncrank-Attempt-Id: {}\r\n{tokens}X-Auburncrank-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.method, self.path, self.id, self.deadline_ms, self.key, self.more_headers, body.len()
        )
    }

    /// Sends the request on a new connection and reads the answer.
    pub fn send(&self, address: SocketAddr) -> Reply {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return Reply { id: self.id.clone(), ..Reply::default() };
        };
        let _ = stream.set_nodelay(true);
        self.send_on(&mut stream)
    }

    /// Sends the request on an open connection and reads the answer.
    pub fn send_on(&self, stream: &mut TcpStream) -> Reply {
        let mut reply = Reply { id: self.id.clone(), ..Reply::default() };
        if stream.write_all(self.text().as_bytes()).is_err() {
            return reply;
        }
        let until = Instant::now() + Duration::from_millis(self.deadline_ms);
        let mut buf = Vec::new();
        let _ = stream.set_read_timeout(Some(self.wait(until)));
        match read_head(stream, &mut buf) {
            Ok(Some(head)) => {
                reply.status = head.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
                reply.headers = head.headers.clone();
                self.read_body(stream, &head, buf, until, &mut reply);
            }
            Ok(None) => {}
            Err(error) => reply.has_left = is_timeout(&error),
        }
        reply
    }

    fn wait(&self, until: Instant) -> Duration {
        let left = until.saturating_duration_since(Instant::now());
        left.min(Duration::from_millis(self.gap_ms)).max(Duration::from_millis(1))
    }

    fn read_body(&self, stream: &mut TcpStream, head: &Message, mut buf: Vec<u8>, until: Instant, reply: &mut Reply) {
        let length: Option<usize> = head.header("content-length").and_then(|it| it.parse().ok());
        let is_chunked = head.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        let mut body: Vec<u8> = Vec::new();
        loop {
            if is_chunked {
                reply.is_complete |= take_chunks(&mut buf, &mut body);
            } else {
                body.append(&mut buf);
                reply.is_complete = length.is_some_and(|it| body.len() >= it);
            }
            reply.body = String::from_utf8_lossy(&body).into_owned();
            let whole = reply.body.rfind("\n\n").map_or("", |it| &reply.body[..it]);
            let ids = whole.lines().filter_map(|it| it.strip_prefix("id: "));
            reply.events = ids.filter_map(|it| it.trim().parse().ok()).collect();
            if reply.is_complete {
                return;
            }
            let _ = stream.set_read_timeout(Some(self.wait(until)));
            match fill(stream, &mut buf) {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    reply.has_left = is_timeout(&error);
                    return;
                }
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Moves the whole chunks from `buf` to `body`; returns whether the last one has come.
fn take_chunks(buf: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(end) = buf.windows(2).position(|it| it == b"\r\n") else { return false };
        let size = std::str::from_utf8(&buf[..end]).ok().and_then(|it| usize::from_str_radix(it.trim(), 16).ok());
        let Some(size) = size else { return false };
        if buf.len() < end + 2 + size + 2 {
            return false;
        }
        body.extend_from_slice(&buf[end + 2..end + 2 + size]);
        buf.drain(..end + 4 + size);
        if size == 0 {
            return true;
        }
    }
}
