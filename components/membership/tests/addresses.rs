//! Tests of the choice of addresses for callers: which routers are chosen, and how the load
//! of simulated callers that cache their answers is distributed.

#![allow(clippy::unwrap_used, clippy::cast_possible_truncation)]

use std::{net::SocketAddr, time::Duration};

use membership::{
    ADDRESSES_PER_ANSWER, Member, MemberState, MembershipView, choose_addresses, random_answer_ttl,
};
use rand::Rng as _;
use types::{ConfigVersion, FailureDomain, Incarnation, RouterId, RouterName};
use utils::{Rng, seeded_rng};

/// Number of routers, two in each failure domain.
const ROUTERS: u16 = 8;

/// Number of failure domains.
const DOMAINS: u16 = 4;

/// Number of callers, each with one request in progress at any time.
const CALLERS: usize = 8_000;

/// Longest time for which a caller caches its answer.
const ANSWER_TTL_MAX: Duration = Duration::from_secs(10);

/// The same in steps.
const ANSWER_TTL_MAX_STEPS: usize = 100;

/// Duration of one simulation step.
const STEP_DURATION: Duration = Duration::from_millis(100);

/// Age of the loads by which addresses are chosen, in steps.
const LOAD_LAG_STEPS: usize = 10;

fn domain(number: u16) -> FailureDomain {
    FailureDomain::new(&format!("domain-{number}")).unwrap()
}

fn member(number: u16, load: u32, state: MemberState) -> Member {
    Member {
        id: RouterId::new(RouterName::new(&format!("router-{number}")).unwrap(), Incarnation(1)),
        failure_domain: domain(number % DOMAINS),
        caller_address: SocketAddr::from(([10, 0, 0, 1], number)),
        peer_address: SocketAddr::from(([10, 0, 0, 2], number)),
        state,
        load,
        config_version: ConfigVersion(1),
    }
}

fn view(members: Vec<Member>) -> MembershipView {
    let mut members = members.into_iter();
    MembershipView { local: members.next().unwrap(), others: members.collect() }
}

#[test]
fn first_address_is_in_the_callers_failure_domain_and_the_second_in_another() {
    let view = view((0..ROUTERS).map(|it| member(it, 100, MemberState::Alive)).collect());
    let mut rng = seeded_rng(1);
    for _ in 0..1_000 {
        let chosen = choose_addresses(&view, Some(&domain(2)), &mut rng);
        assert_eq!(chosen.len(), ADDRESSES_PER_ANSWER);
        assert_eq!(chosen[0].failure_domain, domain(2));
        assert_ne!(chosen[1].failure_domain, domain(2));
        let mut ports: Vec<_> = chosen.iter().map(|it| it.caller_address.port()).collect();
        ports.sort_unstable();
        ports.dedup();
        assert_eq!(ports.len(), ADDRESSES_PER_ANSWER);
    }
}

#[test]
fn leaving_routers_are_never_chosen_and_suspected_ones_only_last() {
    let states = [MemberState::Leaving, MemberState::Suspect, MemberState::Alive];
    let view = view((0..3).map(|it| member(it, 0, states[usize::from(it)])).collect());
    let mut rng = seeded_rng(2);
    for near in 0..DOMAINS {
        let chosen = choose_addresses(&view, Some(&domain(near)), &mut rng);
        let ports: Vec<_> = chosen.iter().map(|it| it.caller_address.port()).collect();
        assert_eq!(ports, [2, 1]);
    }
    let leaving = MembershipView::from_local(member(0, 0, MemberState::Leaving));
    assert!(choose_addresses(&leaving, None, &mut rng).is_empty());
}

/// A simulated caller that caches its answer.
struct Caller {
    domain: FailureDomain,
    /// Number of the router that it uses.
    router: u16,
    /// Step in which it requests addresses again.
    refresh_step: usize,
}

/// Simulation of callers and routers in steps of 100 ms.
struct LoadSimulation {
    callers: Vec<Caller>,
    /// Loads of all routers in each past step.
    history: Vec<Vec<u32>>,
    rng: Rng,
}

impl LoadSimulation {
    fn new(seed: u64) -> LoadSimulation {
        let mut rng = seeded_rng(seed);
        let mut new_caller = |number: usize| Caller {
            domain: domain(u16::try_from(number).unwrap() % DOMAINS),
            router: u16::try_from(number).unwrap() % ROUTERS,
            refresh_step: rng.random_range(0..ANSWER_TTL_MAX_STEPS),
        };
        let callers = (0..CALLERS).map(&mut new_caller).collect();
        LoadSimulation { callers, history: Vec::new(), rng }
    }

    /// Runs `steps` steps with the routers in `states`. Returns the highest ratio, in any
    /// step, of the largest load of a live router to the mean load of live routers.
    fn run(&mut self, steps: usize, states: &[MemberState]) -> f64 {
        (0..steps).map(|_| self.step(states)).fold(0.0, f64::max)
    }

    fn step(&mut self, states: &[MemberState]) -> f64 {
        let now = self.history.len();
        let known = self.history.get(now.saturating_sub(LOAD_LAG_STEPS));
        let known = known.cloned().unwrap_or_else(|| vec![0; states.len()]);
        let members = (0..ROUTERS).zip(states).zip(known);
        let view = view(members.map(|((it, &state), load)| member(it, load, state)).collect());
        for caller in self.callers.iter_mut().filter(|it| it.refresh_step <= now) {
            let chosen = choose_addresses(&view, Some(&caller.domain), &mut self.rng);
            caller.router = chosen[0].caller_address.port();
            let ttl = random_answer_ttl(ANSWER_TTL_MAX, &mut self.rng);
            caller.refresh_step = now + ttl.div_duration_f64(STEP_DURATION).ceil() as usize;
        }
        let mut loads = vec![0; states.len()];
        for caller in &self.callers {
            loads[usize::from(caller.router)] += 1;
        }
        let alive = loads.iter().zip(states).filter(|(_, state)| **state == MemberState::Alive);
        let alive: Vec<u32> = alive.map(|(load, _)| *load).collect();
        let mean = CALLERS as f64 / alive.len() as f64;
        self.history.push(loads);
        f64::from(*alive.iter().max().unwrap()) / mean
    }
}

#[test]
fn load_stays_even_when_one_router_leaves_and_returns() {
    for seed in 0..8 {
        let mut simulation = LoadSimulation::new(seed);
        let all = vec![MemberState::Alive; usize::from(ROUTERS)];
        let mut one_leaving = all.clone();
        one_leaving[5] = MemberState::Leaving;
        for (steps, states) in [(300, &all), (300, &one_leaving), (600, &all)] {
            let ratio = simulation.run(steps, states);
            assert!(ratio <= 1.25, "seed {seed}: max over mean {ratio:.3} with {states:?}");
        }
        // The router that left has no callers once the cached answers have expired.
        assert!(
            simulation.history[300 + ANSWER_TTL_MAX_STEPS..600].iter().all(|loads| loads[5] == 0)
        );
        let last = simulation.history.last().unwrap();
        assert!(last[5] > 800, "{last:?}");
    }
}

#[test]
fn callers_stay_in_their_failure_domain_while_the_load_is_even() {
    let mut simulation = LoadSimulation::new(3);
    simulation.run(600, &[MemberState::Alive; ROUTERS as usize]);
    let is_near = |it: &&Caller| it.domain == domain(it.router % DOMAINS);
    let near = simulation.callers.iter().filter(is_near).count();
    assert!(near * 10 >= CALLERS * 9, "{near} of {CALLERS}");
}
