//! Routers of two builds: while callers send requests, routers of an earlier landing are replaced by those
//! of this build one after the other, and back.

use std::{
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use rand::Rng as _;
use rustix::process::Signal;
use tokio::time::Instant;
use utils::Rng;

use crate::{faults::TimedAction, router::SHUTDOWN_GRACE, world::SoakFleet};

/// A build of an earlier landing.
pub(crate) struct EarlierBuild {
    commit: &'static str,
    /// Whether it keeps all guarantees that the soak checks. Otherwise those on cuts from endpoints,
    /// silences, changes of the desired state and brittle endpoints are not checked.
    keeps_all: bool,
    /// Seeds that run with it.
    pub(crate) seeds: [u64; 2],
}

/// Builds whose routers are replaced by those of this one. The first does not know tunnels and brittle
/// endpoints.
pub(crate) const EARLIER_BUILDS: [EarlierBuild; 2] = [
    EarlierBuild { commit: "10e7d03", keeps_all: false, seeds: [1, 2] },
    EarlierBuild { commit: "d6881f2", keeps_all: true, seeds: [3, 300] },
];

/// The program of an earlier build, and what is expected of it.
#[derive(Clone)]
pub(crate) struct EarlierProgram {
    pub(crate) path: PathBuf,
    pub(crate) keeps_all: bool,
}

/// Time in which all routers are replaced once; more than a graceful shutdown takes for each of few.
const REPLACEMENT_TIME: Duration = Duration::from_secs(10);

/// Returns the program of this build.
pub(crate) fn current_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_auburncrank-relay"))
}

/// Returns the program of an earlier build; builds it from the history of the repository if that was not
/// done before.
pub(crate) fn earlier_program(build: &EarlierBuild) -> EarlierProgram {
    let commit = build.commit;
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("earlier-{commit}"));
    let program = folder.join("target/debug/auburncrank-relay");
    if !program.exists() {
        std::fs::create_dir_all(&folder).unwrap();
        let archive = folder.join("sources.tar");
        let repository = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
        run(Command::new("git")
            .args(["-C", repository, "archive", "-o"])
            .arg(&archive)
            .arg(commit));
        run(Command::new("tar").arg("-xf").arg(&archive).arg("-C").arg(&folder));
        let build = ["build", "--locked", "-p", "auburncrank-relay", "--target-dir", "target"];
        run(Command::new(env!("CARGO")).args(build).current_dir(&folder));
    }
    EarlierProgram { path: program, keeps_all: build.keeps_all }
}

fn run(command: &mut Command) {
    let status = command.status().unwrap();
    assert!(status.success(), "{command:?} ended with {status}");
}

/// Returns when each of `routers` routers is replaced by this build, and then by the earlier one.
pub(crate) fn plan(
    from: Instant,
    routers: usize,
    earlier: &Path,
    rng: &mut Rng,
) -> Vec<(Instant, TimedAction)> {
    let step = REPLACEMENT_TIME / routers as u32;
    let rounds = [(Duration::ZERO, current_program()), (REPLACEMENT_TIME, earlier.to_owned())];
    let mut actions = Vec::new();
    for (begin, program) in rounds {
        for router in 0..routers {
            let delay = step.mul_f64(rng.random_range(0.0..0.5));
            let at = from + begin + step * router as u32 + delay;
            actions.push((at, TimedAction::ReplaceRouter(router, program.clone())));
        }
    }
    actions
}

impl SoakFleet {
    /// Shuts a router down; its next process runs `program`.
    pub(crate) fn replace_router(&mut self, router: usize, program: &Path) {
        let now = Instant::now();
        self.routers[router].program = program.to_owned();
        self.routers[router].signal(Signal::TERM);
        self.record_disturbance(router, now, now + SHUTDOWN_GRACE);
        self.faults.push(format!("replace router {router}"));
    }
}
