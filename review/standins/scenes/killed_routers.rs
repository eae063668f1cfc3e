//! All routers lose power at once and are back two seconds later. A tenant goes on using its prepaid tokens.

use std::sync::atomic::AtomicUsize;

use super::{world::*, *};

const PREPAID: u64 = 600_000;
const PROMPT: u64 = 500;
const EVENTS: u64 = 20;
/// Tokens of a request at its most.
const MOST: u64 = PROMPT + EVENTS * TOKENS_PER_EVENT;
/// Clients that send one request after the other.
const CLIENTS: usize = 12;
/// Machines are in touch this long after their processes have started again (`contact_ms`).
const CONTACT: Duration = Duration::from_millis(3_000);
/// A request isn't owed if it doesn't fit into 97 in 100 of the prepaid tokens.
const OWED: u64 = PREPAID / 100 * 97;

struct State {
    sent: AtomicUsize,
    denied: AtomicUsize,
    falsely_denied: AtomicUsize,
    in_flight: AtomicUsize,
    is_over: AtomicBool,
    in_touch_since: Mutex<Option<Instant>>,
}

/// Returns what the tenant has got at most: the prompts of all requests that began, and all tokens that the
/// runners made for them, delivered or not.
fn used(runners: &[Runner]) -> u64 {
    let of_runner = |it: &Runner| -> u64 {
        let runs = it.runs.lock().unwrap();
        let begun = runs.iter().filter(|it| it.began.is_some());
        begun.map(|it| it.prompt_tokens + it.events * TOKENS_PER_EVENT).sum()
    };
    runners.iter().map(of_runner).sum()
}

pub fn play(is_troubled: bool, folder: &PathBuf, record: &Record) -> Result<Vec<String>, String> {
    let pace = Pace { first_ms: 100, gap_ms: 20, events: EVENTS };
    let mut world = World::start(folder, record, (3, 3, 0), pace, PREPAID, &Bounds::default())?;
    record.add(&format!("tenant {TENANT} has {PREPAID} prepaid tokens; a request has {MOST} at its most"));
    let state = Arc::new(State {
        sent: AtomicUsize::new(0),
        denied: AtomicUsize::new(0),
        falsely_denied: AtomicUsize::new(0),
        in_flight: AtomicUsize::new(0),
        is_over: AtomicBool::new(false),
        in_touch_since: Mutex::new(Some(Instant::now())),
    });
    let addresses: Vec<SocketAddr> = world.routers.iter().map(|it| it.caller).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (state, addresses) = (state.clone(), addresses.clone());
            let (runners, record) = (world.engines.clone(), record.clone());
            thread::spawn(move || send_requests(number, &state, &addresses, &runners, &record))
        })
        .collect();
    sleep_ms(15_000);
    if is_troubled {
        *state.in_touch_since.lock().unwrap() = None;
        record.add(&format!("all routers lose power; used so far: {}", used(&world.engines)));
        world.routers.iter().for_each(|it| it.signal(SIGKILL));
        world.routers.iter_mut().for_each(Router::end);
        sleep_ms(2_000);
        world.routers.iter_mut().for_each(Router::start);
        record.add("the routers start again");
        world.wait_until_ready()?;
        *state.in_touch_since.lock().unwrap() = Some(Instant::now() + CONTACT);
    }
    let until = Instant::now() + Duration::from_secs(75);
    while Instant::now() < until && state.denied.load(Ordering::Relaxed) < 60 {
        sleep_ms(100);
    }
    state.is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    let (sent, falsely) = (state.sent.load(Ordering::Relaxed), state.falsely_denied.load(Ordering::Relaxed));
    let total = used(&world.engines);
    record.add(&format!(
        "the tenant got {total} of {PREPAID} prepaid tokens; {sent} requests sent, {} got 402, {falsely} of them though they fit",
        state.denied.load(Ordering::Relaxed)
    ));
    for (name, value) in world.store.values("allowance") {
        record.add(&format!("row of {name} in the store: {value}"));
    }
    if state.denied.load(Ordering::Relaxed) < 60 && falsely <= 5 + sent / 500 {
        return Err("the tokens were not used up in time".to_owned());
    }
    let allowed = 5 + sent / 500;
    Ok(if falsely > allowed {
        vec![format!(
            "DENIED: {falsely} requests got 402 though they fit into what was left (allowed: {allowed}); {} tokens of the tenant are lost",
            PREPAID - total
        )]
    } else {
        Vec::new()
    })
}

fn send_requests(number: usize, state: &State, addresses: &[SocketAddr], runners: &[Runner], record: &Record) {
    let mut count = 0;
    while !state.is_over.load(Ordering::Relaxed) {
        let id = format!("c{number}-{count}");
        let address = addresses[(number + count) % addresses.len()];
        count += 1;
        let is_in_touch = state.in_touch_since.lock().unwrap().is_some_and(|at| at <= Instant::now());
        state.sent.fetch_add(1, Ordering::Relaxed);
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        let reply = question(&id, PROMPT, EVENTS).send(address);
        let in_flight = state.in_flight.fetch_sub(1, Ordering::Relaxed) as u64;
        if reply.status == 402 {
            state.denied.fetch_add(1, Ordering::Relaxed);
            // All that run count at their most, this one too.
            let used = used(runners) + in_flight * MOST;
            let fits = used <= OWED;
            record.add(&format!(
                "{id} at {address}: 402; used, with all in flight at their most: {used}; fits into 97 in 100: {fits}; in touch: {is_in_touch}"
            ));
            if fits && is_in_touch {
                state.falsely_denied.fetch_add(1, Ordering::Relaxed);
            }
            sleep_ms(300);
        } else if reply.status != 200 || !reply.is_complete {
            record.add(&format!("{id} at {address}: status {}, complete {}", reply.status, reply.is_complete));
            sleep_ms(200);
        }
    }
}
