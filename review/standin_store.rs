//! The platform's metadata store: rows, transactions and feeds, linearizable.

use super::*;

type Key = (String, String);

#[derive(Default, Clone)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    removed: Vec<(Key, u64)>,
    revision: u64,
}

/// Copies of the rows from which the store may come back, each with its time.
type Copies = Vec<(Instant, Rows)>;

/// What the store does with calls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    Up,
    /// Answers 503.
    Busy,
    /// Answers nothing.
    Silent,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    mode: Arc<Mutex<Mode>>,
    copies: Arc<Mutex<Copies>>,
    /// Stated in all answers as `Store-Era`; zero if the store states none.
    era: Arc<AtomicU64>,
    start: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Store {
            rows: Arc::default(),
            mode: Arc::new(Mutex::new(Mode::Up)),
            copies: Arc::default(),
            era: Arc::default(),
            start: Instant::now(),
            address: listener.local_addr().unwrap(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// States an era in all answers from now on, and makes copies of the rows.
    pub fn state_era(&self) {
        self.era.store(1, Ordering::Relaxed);
        let store = self.clone();
        thread::spawn(move || {
            loop {
                let rows = store.rows.lock().unwrap().clone();
                store.copies.lock().unwrap().push((Instant::now(), rows));
                sleep_ms(100);
            }
        });
    }

    /// Comes back from the newest copy that is at least as old as `age`; the era rises by one. What the
    /// operator and the runners wrote since is written again.
    pub fn return_to_copy(&self, age: Duration) {
        let mut rows = self.rows.lock().unwrap();
        let copies = self.copies.lock().unwrap();
        let copy = copies.iter().rev().find(|it| it.0.elapsed() >= age).expect("there is a copy").1.clone();
        let written = rows.rows.iter().filter(|it| ["op", "servers"].contains(&it.0.0.as_str()));
        let written: Vec<_> = written.map(|(id, (data, _))| (id.clone(), data.clone())).collect();
        *rows = copy;
        for (id, data) in written {
            rows.revision += 1;
            let revision = rows.revision;
            rows.rows.insert(id, (data, revision));
        }
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Writes a row as the operator or a runner does. Returns its revision.
    pub fn write(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.revision += 1;
        let row = (json::base64(value.as_bytes()), rows.revision);
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        rows.revision
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.revision += 1;
        let (id, revision) = ((table.to_owned(), key.to_owned()), rows.revision);
        rows.rows.remove(&id);
        rows.removed.push((id, revision));
    }

    /// Returns the values of a table.
    pub fn values(&self, table: &str) -> Vec<(String, String)> {
        let rows = self.rows.lock().unwrap();
        let of_table = rows.rows.iter().filter(|it| it.0.0 == table);
        let decode = |data: &str| String::from_utf8_lossy(&json::decode_base64(data)).into_owned();
        of_table.map(|it| (it.0.1.clone(), decode(&it.1.0))).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buf) {
            let mode = *self.mode.lock().unwrap();
            if mode == Mode::Silent {
                // Held without an answer, and not performed.
                sleep_ms(5_000);
                return;
            }
            sleep_ms(4);
            let (status, body) = match mode {
                Mode::Busy => (503, "{}".to_owned()),
                _ => self.answer(&request),
            };
            if *self.mode.lock().unwrap() == Mode::Silent {
                sleep_ms(5_000);
                return;
            }
            let era = match self.era.load(Ordering::Relaxed) {
                0 => String::new(),
                era => format!("Store-Era: {era}\r\n"),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.first_line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|it| it.0 == name).map(|it| it.1.to_owned()).next()
        };
        let table = parameter("table_name").unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let (from, until) = (parameter("from").unwrap_or_default(), parameter("target"));
                let found = rows.rows.iter().filter(|((in_table, key), _)| {
                    *in_table == table && *key >= from && until.as_ref().is_none_or(|it| key < it)
                });
                let found: Vec<String> = found.map(|(id, row)| row_text(id, row)).collect();
                (200, self.rows_text(&found, rows.revision))
            }
            "/v1/rows-feed" => {
                let since: u64 = parameter("since_revision").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait: u64 = parameter("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let rows = self.rows.lock().unwrap();
                    if since > rows.revision {
                        return (410, "{}".to_owned());
                    }
                    let written = rows.rows.iter().filter(|it| it.0.0 == table && it.1.1 > since);
                    let mut found: Vec<String> = written.map(|(id, row)| row_text(id, row)).collect();
                    let removed = rows.removed.iter().filter(|it| {
                        it.0.0 == table && it.1 > since && !rows.rows.contains_key(&it.0)
                    });
                    found.extend(removed.map(|((table, key), revision)| {
                        format!(
                            r#"{{"table_name":"{table}","part":"","key":"{key}","schema_version":{revision},"deleted":true}}"#
                        )
                    }));
                    if !found.is_empty() || Instant::now() >= until {
                        return (200, self.rows_text(&found, rows.revision));
                    }
                    drop(rows);
                    if *self.mode.lock().unwrap() != Mode::Up {
                        return (503, "{}".to_owned());
                    }
                    sleep_ms(5);
                }
            }
            "/v1/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows_text(&self, rows: &[String], revision: u64) -> String {
        format!(
            r#"{{"rows":[{}],"has_more":false,"schema_version":{revision},"server_time_ms":{}}}"#,
            rows.join(","),
            self.time_ms()
        )
    }

    fn time_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let id = |it: &Json| (it.text("table_name"), it.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let holds = call.list("expected_revision").iter().all(|it| {
            let found = rows.rows.get(&id(it)).map_or(0, |row| row.1);
            it.number("schema_version") == Some(found as f64)
        });
        if !holds {
            return (412, r#"{"rows":[]}"#.to_owned());
        }
        rows.revision += 1;
        let revision = rows.revision;
        for it in call.list("write") {
            rows.rows.insert(id(it), (it.text("data"), revision));
        }
        for it in call.list("remove") {
            rows.rows.remove(&id(it));
            rows.removed.push((id(it), revision));
        }
        (200, format!(r#"{{"schema_version":{revision},"server_time_ms":{}}}"#, self.time_ms()))
    }
}

fn row_text((table, key): &Key, (data, revision): &(String, u64)) -> String {
    format!(
        r#"{{"table_name":"{table}","part":"","key":"{key}","data":"{data}","schema_version":{revision}}}"#
    )
}
