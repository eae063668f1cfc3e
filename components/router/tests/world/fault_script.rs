//! Injects random faults.

use std::sync::Arc;

use standins::TableFaults;

use super::{TOP_UP, World};
use crate::fakes::ProcessState;

/// Number of steps in one run, each of which injects a fault, heals all faults or deposits tokens.
const STEP_COUNT: u64 = 14;

/// Injects faults one after another and heals all of them at the end.
pub(super) async fn run(world: &Arc<World>) {
    let mut has_killed = false;
    for _ in 0..STEP_COUNT {
        tokio::time::sleep(world.draw_time(100..1_500)).await;
        match world.draw(0..9) {
            0 => set_table(world, TableFaults { down: true, ..TableFaults::default() }),
            1 => set_table(world, TableFaults { lost_answers: 0.5, ..TableFaults::default() }),
            2 => world.fleet.lock().unwrap().set_faults(0.3, 0.3),
            3 => world.endpoint.set_loss(0.4),
            4 => partition_pair(world),
            5 => set_process(world, ProcessState::Paused),
            6 => set_process(world, ProcessState::TableUnreachable),
            7 if !has_killed => {
                has_killed = true;
                kill_and_replace(world).await;
            }
            7 => world.deposit(TOP_UP),
            _ => heal(world),
        }
    }
    heal(world);
}

fn set_table(world: &World, faults: TableFaults) {
    world.fleet.lock().unwrap().table.set_faults(faults);
}

fn partition_pair(world: &World) {
    let pairs = [("r1", "r2"), ("r1", "r3"), ("r2", "r3"), ("r1", "r4"), ("r3", "r4")];
    let (a, b) = pairs[usize::try_from(world.draw(0..5)).unwrap()];
    world.fleet.lock().unwrap().set_partitioned(a, b, true);
}

fn set_process(world: &World, state: ProcessState) {
    let routers: Vec<_> = world.routers.lock().unwrap().values().cloned().collect();
    let index = usize::try_from(world.draw(0..routers.len() as u64)).unwrap();
    routers[index].gate.set(state);
}

async fn kill_and_replace(world: &Arc<World>) {
    let name = ["r1", "r2", "r3"][usize::try_from(world.draw(0..3)).unwrap()];
    world.kill_router(name);
    tokio::time::sleep(world.draw_time(10..500)).await;
    world.fleet.lock().unwrap().add_member("r4");
    world.start_router("r4");
}

fn heal(world: &World) {
    set_table(world, TableFaults::default());
    world.endpoint.set_loss(0.0);
    {
        let fleet = world.fleet.lock().unwrap();
        fleet.set_faults(0.0, 0.0);
        fleet.clear_partitions();
    }
    for router in world.routers.lock().unwrap().values() {
        router.gate.set(ProcessState::Running);
    }
}
