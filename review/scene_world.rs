//! A small deployment: a store, runners, routers and one tenant.

use super::*;

/// Service of the streams, and of the plain requests.
pub const ENGINES: &str = "model-bednar";
pub const PORTAL: &str = "portal-druzstva";

pub struct World {
    pub store: Store,
    pub engines: Vec<Runner>,
    pub portals: Vec<Runner>,
    pub routers: Vec<Router>,
    pub record: Record,
}

const ZONES: [&str; 3] = ["zlin", "kromeriz", "vsetin"];

impl World {
    /// Starts a deployment whose store states an era.
    pub fn start_with_era(
        folder: &PathBuf,
        record: &Record,
        counts: (u8, usize, usize),
        pace: Pace,
        prepaid: u64,
    ) -> Result<World, String> {
        let store = Store::start();
        store.state_era();
        World::start_at(store, folder, record, counts, pace, prepaid, &Bounds::default())
    }

    /// Starts everything and waits until all routers are ready and know each other.
    pub fn start(
        folder: &PathBuf,
        record: &Record,
        counts: (u8, usize, usize),
        pace: Pace,
        prepaid: u64,
        bounds: &Bounds,
    ) -> Result<World, String> {
        World::start_at(Store::start(), folder, record, counts, pace, prepaid, bounds)
    }

    fn start_at(
        store: Store,
        folder: &PathBuf,
        record: &Record,
        (routers, engines, portals): (u8, usize, usize),
        pace: Pace,
        prepaid: u64,
        bounds: &Bounds,
    ) -> Result<World, String> {
        store.write("op", "config", &desired_state(1, prepaid, 15_000));
        let born = unix_ms();
        let start = |prefix: &str, count: usize, is_stream: bool, pace: Pace| -> Vec<Runner> {
            (0..count).map(|it| Runner::start(&format!("{prefix}-{it}"), is_stream, pace, record)).collect()
        };
        let engines = start("i-engine", engines, true, pace);
        let portals = start("i-portal", portals, false, Pace { first_ms: 30, gap_ms: 0, events: 0 });
        for (number, it) in engines.iter().enumerate() {
            store.write("servers", &it.name, &it.entry(ENGINES, ZONES[number % 3], "ready", born));
        }
        for (number, it) in portals.iter().enumerate() {
            store.write("servers", &it.name, &it.entry(PORTAL, ZONES[number % 3], "ready", born));
        }
        let ports = Ports::find(routers.max(3));
        let mut routers: Vec<Router> = (0..routers)
            .map(|it| Router::new(folder, it, ZONES[usize::from(it) % 3], store.address, &ports, bounds))
            .collect();
        routers.iter_mut().for_each(Router::start);
        let mut world = World { store, engines, portals, routers, record: record.clone() };
        world.wait_until_ready()?;
        // Traffic starts ten seconds after the machines do; this is enough for the routers to settle.
        sleep_ms(5_000);
        Ok(world)
    }

    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        for _ in 0..200 {
            if self.routers.iter().all(Router::is_ready) {
                self.record.add("all routers are ready");
                return Ok(());
            }
            if self.routers.iter_mut().any(Router::has_ended) {
                return Err("a router has ended".to_owned());
            }
            sleep_ms(50);
        }
        Err("the routers did not become ready".to_owned())
    }

    /// Returns all runs of the engines.
    pub fn runs(&self) -> Vec<Run> {
        self.engines.iter().chain(&self.portals).flat_map(|it| it.runs.lock().unwrap().clone()).collect()
    }
}

/// Returns a desired state with a stream route, a stream route that may be resumed, and two plain ones.
pub fn desired_state(version: u64, prepaid: u64, idle_ms: u64) -> String {
    desired_state_for(version, &[(TENANT, KEY, prepaid)], idle_ms)
}

/// The same for these tenants, each with its name, its key and its prepaid tokens.
pub fn desired_state_for(version: u64, tenants: &[(&str, &str, u64)], idle_ms: u64) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key, prepaid)| {
            format!(r#"{{"name":"{name}","api_keys":["{key}"],"priority":1,"prepaid":{prepaid}}}"#)
        })
        .collect();
    let tenants = tenants.join(",");
    let route = |name: &str, kind: &str, service: &str, timeout: u64, target: u64, attempts: u32, more: &str| {
        format!(
            r#"{{"name":"r-{name}","hostname":"{HOST}","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"priority":1,"service":"{service}","max_attempts":{attempts},"anonymous":false{more}}}"#
        )
    };
    let routes = [
        route("posudek", "streaming", ENGINES, 6_000, 1_000, 1, r#","session_affinity":true,"stream_resume":false,"itl_target_ms":300"#),
        route("dotaz", "streaming", ENGINES, 15_000, 600, 2, r#","session_affinity":true,"stream_resume":true,"itl_target_ms":300"#),
        route("objednavka", "non_idempotent", PORTAL, 1_200, 150, 1, ""),
        route("stav", "idempotent", PORTAL, 1_200, 150, 2, ""),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{ENGINES}","health_path":"/healthz","max_connections":500,"protocol":"h1","tls_enabled":false,"runtime":{{"capacity":96,"kv_capacity":253891,"kv_token_bytes":131072,"link_mbps":130000.0,"interval":3,"model_list":[{{"name":"m"}}]}}}},{{"name":"{PORTAL}","health_path":"/healthz","max_connections":110,"protocol":"h1","tls_enabled":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":{idle_ms}}},"tenants":[{tenants}]}}"#,
        routes.join(",")
    )
}

/// Time without an event after which clients of the route `dotaz` leave: four times its target.
pub const DOTAZ_GAP_MS: u64 = 2_400;

/// Returns a question with this number of prompt tokens and of events at most.
pub fn question(id: &str, prompt: u64, events: u64) -> Call {
    Call {
        method: "POST",
        path: "/dotaz/2f".to_owned(),
        id: id.to_owned(),
        key: KEY,
        deadline_ms: 15_000,
        tokens: Some((prompt, events * TOKENS_PER_EVENT)),
        gap_ms: DOTAZ_GAP_MS,
        more_headers: String::new(),
    }
}

/// Returns a request for the status of an order, which needs no tokens.
pub fn status_request(id: &str) -> Call {
    Call {
        method: "GET",
        path: "/stav/2f".to_owned(),
        id: id.to_owned(),
        key: KEY,
        deadline_ms: 2_500,
        tokens: None,
        gap_ms: 2_500,
        more_headers: String::new(),
    }
}
