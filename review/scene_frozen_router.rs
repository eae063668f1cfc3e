//! A router freezes for four seconds while requests wait for their first event there. Their clients leave
//! meanwhile. Then the tenant uses what is left of its prepaid tokens.

use super::{world::*, *};

const PREPAID: u64 = 120_000;
/// Requests that are on the router when it freezes.
const WAITING: usize = 12;
const PROMPT: u64 = 3_000;
const EVENTS: u64 = 20;

pub fn play(is_troubled: bool, folder: &PathBuf, record: &Record) -> Result<Vec<String>, String> {
    let pace = Pace { first_ms: 300, gap_ms: 20, events: EVENTS };
    let world = World::start(folder, record, (3, 3, 0), pace, PREPAID, &Bounds::default())?;
    record.add(&format!("tenant {TENANT} has {PREPAID} prepaid tokens"));
    let replies: Arc<Mutex<Vec<(u64, clients::Reply)>>> = Arc::default();
    let send = |id: String, address: SocketAddr| {
        let (replies, record) = (replies.clone(), record.clone());
        thread::spawn(move || {
            record.add(&format!("client sends {id} ({PROMPT} prompt tokens) to {address}"));
            let reply = question(&id, PROMPT, EVENTS).send(address);
            let end = if reply.has_left { "leaves" } else { "has its answer" };
            record.add(&format!(
                "client of {id} {end}: status {}, {} events, complete {}",
                reply.status, reply.events.len(), reply.is_complete
            ));
            let status = reply.status;
            replies.lock().unwrap().push((PROMPT, reply));
            status
        })
    };
    // The tenant's usual requests come to all routers first, so that each has tokens of it.
    let first: Vec<_> = (0..3).map(|it| send(format!("a{it}"), world.routers[it].caller)).collect();
    first.into_iter().for_each(|it| drop(it.join()));
    let frozen = &world.routers[0];
    let waiting: Vec<_> = (0..WAITING).map(|it| send(format!("b{it}"), frozen.caller)).collect();
    sleep_ms(150);
    if is_troubled {
        record.add(&format!("{} freezes", frozen.name));
        frozen.signal(SIGSTOP);
    }
    sleep_ms(4_000);
    if is_troubled {
        frozen.signal(SIGCONT);
        record.add(&format!("{} wakes", frozen.name));
    }
    waiting.into_iter().for_each(|it| drop(it.join()));
    sleep_ms(4_000);
    // Requests one after the other, at all routers in turn, until the tokens are used up.
    let (mut number, mut refused) = (0, 0);
    let until = Instant::now() + Duration::from_secs(60);
    while refused < 6 && Instant::now() < until {
        let round: Vec<_> = (0..3)
            .map(|it| send(format!("c{}", number + it), world.routers[it].caller))
            .collect();
        number += 3;
        let statuses: Vec<u16> = round.into_iter().map(|it| it.join().unwrap_or(0)).collect();
        let has_served = statuses.contains(&200);
        refused = if has_served { 0 } else { refused + 1 };
        if !has_served {
            sleep_ms(500);
        }
    }
    Ok(judge(&world, &replies.lock().unwrap(), record))
}

/// Adds up what the tenant got: the prompt of each request that a runner ran, once, and three tokens
/// for each event that its client received.
fn judge(world: &World, replies: &[(u64, clients::Reply)], record: &Record) -> Vec<String> {
    let runs = world.runs();
    let (mut prompts, mut outputs) = (0, 0);
    for (prompt, reply) in replies {
        if runs.iter().any(|it| it.id == reply.id && it.began.is_some()) {
            prompts += prompt;
            outputs += reply.events.len() as u64 * TOKENS_PER_EVENT;
        }
    }
    let total = prompts + outputs;
    let text = format!("the tenant got {total} tokens ({prompts} in, {outputs} out) of {PREPAID} prepaid");
    record.add(&text);
    for (name, value) in world.store.values("allowance") {
        record.add(&format!("row of {name} in the store: {value}"));
    }
    if total > PREPAID { vec![format!("BUDGET: {text}")] } else { Vec::new() }
}
