//! Two software versions serve side by side. Runners of the older version end and start again under their ids
//! with the newer version, one after the other. Streams begin there; then the runner ends once more.

use super::{world::*, *};

const PREPAID: u64 = 2_000_000;
const PROMPT: u64 = 800;
const EVENTS: u64 = 60;
const STREAMS: usize = 240;
/// Time between the beginnings of two streams.
const PAUSE_MS: u64 = 20;
/// Time for which the store is away if OUTAGE=1, and for which the runner is down.
const AWAY_MS: u64 = 4_500;
const DOWN_MS: u64 = 1_500;
/// Time for which the runner serves with the newer version until it ends again.
const SERVING_MS: u64 = 2_600;
/// Time until the runner ends.
const BEFORE_MS: u64 = 200;
/// Times that a client takes a stream up, as in the users' day `rejoined`.
const RETRIES: u32 = 3;

pub fn play(is_troubled: bool, folder: &PathBuf, record: &Record) -> Result<Vec<String>, String> {
    let has_outage = std::env::var("OUTAGE").is_ok_and(|it| it == "1");
    let pace = Pace { first_ms: 100, gap_ms: 100, events: EVENTS };
    let world = World::start(folder, record, (3, 4, 0), pace, PREPAID, &Bounds::default())?;
    let new = &world.engines[1];
    // The second runner has been serving with the newer version for some seconds.
    *new.version.lock().unwrap() = "v2".to_owned();
    world.store.write("servers", &new.name, &new.entry(ENGINES, "kromeriz", "ready", unix_ms()));
    sleep_ms(5_000);
    let addresses: Vec<SocketAddr> = world.routers.iter().map(|it| it.caller).collect();
    let mut clients = Vec::new();
    for old in [&world.engines[0], &world.engines[2]] {
        if is_troubled {
            renew(&world.store, old, has_outage, record);
        }
        let started_at = Instant::now();
        for _ in 0..STREAMS / 2 {
            let (addresses, record, number) = (addresses.clone(), record.clone(), clients.len());
            sleep_ms(PAUSE_MS);
            clients.push(thread::spawn(move || read_stream(number, &addresses, &record)));
        }
        thread::sleep(Duration::from_millis(SERVING_MS).saturating_sub(started_at.elapsed()));
        if is_troubled {
            record.add(&format!("{} ends again", old.name));
            old.crash();
            sleep_ms(DOWN_MS);
            old.restart("v2");
            record.add(&format!("{} starts again with v2", old.name));
            world.store.write("servers", &old.name, &old.entry(ENGINES, "zlin", "ready", unix_ms()));
        }
        sleep_ms(AWAY_MS);
    }
    let streams: Vec<String> = clients.into_iter().map(|it| it.join().unwrap()).collect();
    let is_joined = |it: &&String| it.contains("from v1") && it.contains("from v2");
    let joined = streams.iter().filter(is_joined).count();
    let text = format!("{joined} of {STREAMS} streams hold events from runners of two versions");
    record.add(&text);
    Ok(if joined > 2 { vec![format!("ORDER: {text}")] } else { Vec::new() })
}

/// Ends a runner and starts it again with the newer version. It registers at once, or, if the store is away,
/// once that is back.
fn renew(store: &Store, old: &Runner, has_outage: bool, record: &Record) {
    if has_outage {
        record.add("the store is away");
        store.set_mode(Mode::Busy);
    }
    sleep_ms(BEFORE_MS);
    record.add(&format!("{} ends", old.name));
    old.crash();
    sleep_ms(DOWN_MS);
    old.restart("v2");
    record.add(&format!("{} starts again with v2", old.name));
    let entry = old.entry(ENGINES, "zlin", "ready", unix_ms());
    if !has_outage {
        store.write("servers", &old.name, &entry);
        return;
    }
    let (store, name, record) = (store.clone(), old.name.clone(), record.clone());
    thread::spawn(move || {
        sleep_ms(AWAY_MS - BEFORE_MS - DOWN_MS);
        store.set_mode(Mode::Up);
        record.add("the store is back");
        store.write("servers", &name, &entry);
    });
}

/// Reads a stream as a client does and takes it up if it breaks. Returns all of its text.
fn read_stream(number: usize, addresses: &[SocketAddr], record: &Record) -> String {
    let mut text = String::new();
    let (mut last, mut began_at): (u64, Option<String>) = (0, None);
    let until = Instant::now() + Duration::from_secs(15);
    for attempt in 0..=RETRIES {
        let id = format!("s{number}-{attempt}");
        let mut call = question(&id, PROMPT, EVENTS);
        call.deadline_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        if let Some(first) = &began_at {
            call.more_headers = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        }
        let address = addresses[(number + attempt as usize) % addresses.len()];
        let reply = call.send(address);
        record.add(&format!(
            "{id} at {address} after event {last}: status {}, events {:?} to {:?}, complete {}",
            reply.status, reply.events.first(), reply.events.last(), reply.is_complete
        ));
        if reply.status == 200 && !reply.events.is_empty() {
            began_at.get_or_insert(id);
            last = *reply.events.last().unwrap();
            text += &reply.body;
        }
        if reply.status == 200 && reply.is_complete {
            break;
        }
        let named = reply.headers.iter().find(|it| it.0.eq_ignore_ascii_case("retry-after"));
        let named = named.and_then(|it| it.1.parse::<f64>().ok());
        let left = until.saturating_duration_since(Instant::now());
        let pause = named.map_or(Duration::from_millis(100), Duration::from_secs_f64).min(left / 3);
        thread::sleep(pause);
    }
    text
}
