//! The operator adds a tenant whose name has two words. The other tenant goes on as before.

use std::sync::atomic::AtomicUsize;

use super::{world::*, *};

const PREPAID: u64 = 3_000_000;
const PROMPT: u64 = 3_000;
const EVENTS: u64 = 20;
const CLIENTS: usize = 4;
const KEY_OF_NEW: &str = "key-of-novak";
/// Time before the change, and time for which requests count after it.
const BEFORE_MS: u64 = 8_000;
const AFTER_MS: u64 = 40_000;
/// Time from the change until requests count: far longer than `config_apply_ms` and what routers hold.
const SETTLING_MS: u64 = 30_000;

/// Requests of one kind, and those that were served.
#[derive(Default)]
struct Count {
    asked: AtomicUsize,
    served: AtomicUsize,
}

#[derive(Default)]
struct State {
    streams: Count,
    plain: Count,
    new_streams: Count,
    counts: AtomicBool,
    is_over: AtomicBool,
}

pub fn play(is_troubled: bool, folder: &PathBuf, record: &Record) -> Result<Vec<String>, String> {
    let pace = Pace { first_ms: 100, gap_ms: 20, events: EVENTS };
    let world = World::start(folder, record, (3, 3, 2), pace, PREPAID, &Bounds::default())?;
    record.add(&format!("tenant {TENANT} has {PREPAID} prepaid tokens"));
    let state = Arc::new(State::default());
    let addresses: Vec<SocketAddr> = world.routers.iter().map(|it| it.caller).collect();
    let start = |numbers: std::ops::Range<usize>| -> Vec<thread::JoinHandle<()>> {
        let start_one = |number| {
            let (state, addresses, record) = (state.clone(), addresses.clone(), record.clone());
            thread::spawn(move || send_requests(number, &state, &addresses, &record))
        };
        numbers.map(start_one).collect()
    };
    let mut clients = start(0..2 * CLIENTS);
    sleep_ms(BEFORE_MS);
    let name = if is_troubled { "vinarstvi novak" } else { "vinarstvi-novak" };
    let tenants = [(TENANT, KEY, PREPAID), (name, KEY_OF_NEW, PREPAID)];
    world.store.write("op", "config", &desired_state_for(2, &tenants, 15_000));
    record.add(&format!("the operator adds the tenant '{name}'"));
    sleep_ms(1_000);
    clients.extend(start(2 * CLIENTS..3 * CLIENTS));
    sleep_ms(SETTLING_MS);
    state.counts.store(true, Ordering::Relaxed);
    record.add("requests count from here on");
    sleep_ms(AFTER_MS);
    state.is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    let load = |it: &AtomicUsize| it.load(Ordering::Relaxed) as f64;
    let share = |served: f64, asked: f64| served / asked.max(1.0);
    let (streams, plain) = (&state.streams, &state.plain);
    let of_streams = share(load(&streams.served), load(&streams.asked));
    let of_all = share(
        load(&streams.served) + load(&plain.served) + load(&state.new_streams.served),
        load(&streams.asked) + load(&plain.asked) + load(&state.new_streams.asked),
    );
    let text = format!(
        "of {} streams of the tenant {TENANT} {:.0} in 100 are served, of all requests {:.0} in 100",
        load(&streams.asked),
        100.0 * of_streams,
        100.0 * of_all
    );
    record.add(&text);
    let new = &state.new_streams;
    record.add(&format!("of {} streams of the new tenant {} are served", load(&new.asked), load(&new.served)));
    for (name, value) in world.store.values("allowance") {
        record.add(&format!("row of {name} in the store: {value}"));
    }
    Ok(if of_streams < of_all / 4.0 { vec![format!("Starved: {text}")] } else { Vec::new() })
}

fn send_requests(number: usize, state: &State, addresses: &[SocketAddr], record: &Record) {
    // Streams of the old tenant, plain requests of the old tenant, streams of the new tenant.
    let (is_stream, is_new) = (number / CLIENTS != 1, number / CLIENTS == 2);
    let count = [&state.streams, &state.plain, &state.new_streams][number / CLIENTS];
    let mut sent = 0;
    while !state.is_over.load(Ordering::Relaxed) {
        let id = format!("c{number}-{sent}");
        let address = addresses[(number + sent) % addresses.len()];
        sent += 1;
        let call = if is_stream { question(&id, PROMPT, EVENTS) } else { status_request(&id) };
        let call = Call { key: if is_new { KEY_OF_NEW } else { KEY }, ..call };
        let counts = state.counts.load(Ordering::Relaxed);
        let reply = call.send(address);
        let is_served = reply.status == 200 && reply.is_complete;
        record.add(&format!("{id} at {address}: status {}, complete {}", reply.status, reply.is_complete));
        if counts {
            count.asked.fetch_add(1, Ordering::Relaxed);
            count.served.fetch_add(usize::from(is_served), Ordering::Relaxed);
        }
        sleep_ms(if is_served { 200 } else { 500 });
    }
}
