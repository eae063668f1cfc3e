//! Two of four routers are killed and start again; a few seconds later the store is away for a moment and
//! comes back from a copy some seconds old.

use std::sync::atomic::AtomicUsize;

use super::{world::*, *};

const PREPAID: u64 = 2_000_000;
const PROMPT: u64 = 500;
const EVENTS: u64 = 20;
/// Tokens of a request at its most.
const MOST: u64 = PROMPT + EVENTS * TOKENS_PER_EVENT;
const CLIENTS: usize = 12;
/// Age of the copy.
const COPY_AGE: Duration = Duration::from_secs(3);
/// Time for which the scene goes on after the store is back.
const AFTERWARDS: Duration = Duration::from_secs(45);
/// Machines are in touch, and the store is stable, this long after the last disturbance (`contact_ms`).
const CONTACT: Duration = Duration::from_millis(3_000);

struct State {
    sent: AtomicUsize,
    denied: AtomicUsize,
    later: AtomicUsize,
    later_served: AtomicUsize,
    is_over: AtomicBool,
    calm_since: Mutex<Option<Instant>>,
}

fn used(runners: &[Runner]) -> u64 {
    let of_runner = |it: &Runner| -> u64 {
        let runs = it.runs.lock().unwrap();
        let begun = runs.iter().filter(|it| it.began.is_some());
        begun.map(|it| it.prompt_tokens + it.events * TOKENS_PER_EVENT).sum()
    };
    runners.iter().map(of_runner).sum()
}

pub fn play(is_troubled: bool, folder: &PathBuf, record: &Record) -> Result<Vec<String>, String> {
    let has = |part: &str| std::env::var("ONLY").map_or(true, |it| it == part);
    let pace = Pace { first_ms: 100, gap_ms: 20, events: EVENTS };
    let mut world = World::start_with_era(folder, record, (4, 3, 0), pace, PREPAID)?;
    record.add(&format!("tenant {TENANT} has {PREPAID} prepaid tokens; a request has {MOST} at its most"));
    let state = Arc::new(State {
        sent: AtomicUsize::new(0),
        denied: AtomicUsize::new(0),
        later: AtomicUsize::new(0),
        later_served: AtomicUsize::new(0),
        is_over: AtomicBool::new(false),
        calm_since: Mutex::new(None),
    });
    let addresses: Vec<SocketAddr> = world.routers.iter().map(|it| it.caller).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (state, addresses, record) = (state.clone(), addresses.clone(), record.clone());
            thread::spawn(move || send_requests(number, &state, &addresses, &record))
        })
        .collect();
    sleep_ms(10_000);
    if is_troubled && has("kill") {
        record.add("two of four routers are killed");
        for router in &mut world.routers[..2] {
            router.signal(SIGKILL);
            router.end();
        }
        sleep_ms(1_000);
        world.routers[..2].iter_mut().for_each(Router::start);
        record.add("they start again");
        world.wait_until_ready()?;
    }
    sleep_ms(3_000);
    if is_troubled && has("copy") {
        record.add("the store is away");
        world.store.set_mode(Mode::Busy);
        sleep_ms(1_000);
        world.store.return_to_copy(COPY_AGE);
        world.store.set_mode(Mode::Up);
        record.add(&format!("the store is back from a copy {COPY_AGE:?} old"));
    }
    let used_before = used(&world.engines);
    *state.calm_since.lock().unwrap() = Some(Instant::now() + CONTACT);
    thread::sleep(AFTERWARDS);
    state.is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    let load = |it: &AtomicUsize| it.load(Ordering::Relaxed);
    let (sent, denied) = (load(&state.sent), load(&state.denied));
    let total = used(&world.engines);
    record.add(&format!(
        "the tenant got {total} of {PREPAID} prepaid tokens ({used_before} until the store was back); {sent} requests sent; {denied} got 402 from {CONTACT:?} after the last disturbance on; of {} sent in the last 20 s {} were served",
        load(&state.later), load(&state.later_served)
    ));
    for (name, value) in world.store.values("allowance") {
        record.add(&format!("row of {name} in the store: {value}"));
    }
    for (name, value) in world.store.values("recovery") {
        record.add(&format!("recovery row {name}: {value}"));
    }
    let allowed = 5 + sent / 500;
    // Whatever was in flight, far more than it needed was left all the time.
    let fits = total + CLIENTS as u64 * MOST <= PREPAID / 100 * 97;
    Ok(if fits && denied > allowed {
        vec![format!(
            "DENIED: {denied} requests got 402 though {} prepaid tokens are left (allowed: {allowed})",
            PREPAID - total
        )]
    } else {
        Vec::new()
    })
}

fn send_requests(number: usize, state: &State, addresses: &[SocketAddr], record: &Record) {
    let mut count = 0;
    while !state.is_over.load(Ordering::Relaxed) {
        let id = format!("c{number}-{count}");
        let address = addresses[(number + count) % addresses.len()];
        count += 1;
        let calm_since = *state.calm_since.lock().unwrap();
        let is_calm = calm_since.is_some_and(|at| at <= Instant::now());
        let is_late = calm_since.is_some_and(|at| at - CONTACT + AFTERWARDS <= Instant::now() + Duration::from_secs(20));
        state.sent.fetch_add(1, Ordering::Relaxed);
        let reply = question(&id, PROMPT, EVENTS).send(address);
        let is_served = reply.status == 200 && reply.is_complete;
        if is_late {
            state.later.fetch_add(1, Ordering::Relaxed);
            state.later_served.fetch_add(usize::from(is_served), Ordering::Relaxed);
        }
        if !is_served {
            record.add(&format!("{id} at {address}: status {}, complete {}", reply.status, reply.is_complete));
            state.denied.fetch_add(usize::from(is_calm && reply.status == 402), Ordering::Relaxed);
            sleep_ms(300);
        }
    }
}
