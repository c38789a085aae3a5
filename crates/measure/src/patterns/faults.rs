//! What goes wrong, and when.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::load::{BEGIN_MS, TRAFFIC_MS};
use super::shape::Faults;
use super::simulation::{SimEvent, Simulation};

/// How long after a crash the directory drops a worker, and how long after it the host has another one,
/// in milliseconds.
const UNLISTED_AFTER_MS: u64 = 2_000;
const REPLACED_AFTER_MS: u64 = 15_000;

/// For how long there is no leader at a change, in milliseconds.
const NO_LEADER_MS: std::ops::Range<u64> = 1_000..2_500;

/// How far the moments of trouble lie from even ones at most, in milliseconds.
const FAULT_JITTER_MS: u64 = 2_000;

/// Sets tasks of the draw apart from those of the load.
const FAULT_RNG_STREAM: u64 = 7;

/// Plans what goes wrong in a world.
pub fn plan(world: &mut Simulation, trouble: &Faults, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(FAULT_RNG_STREAM);
    if trouble.domain_lost {
        let at = BEGIN_MS + TRAFFIC_MS / 3 + rng.random_range(0..FAULT_JITTER_MS);
        let domain = world.load.workers[rng.random_range(0..world.load.workers.len())].domain;
        let load = world.load.clone();
        let members = load.workers.iter().enumerate().filter(|(_, w)| w.domain == domain);
        for (worker, _) in members.step_by(3) {
            world.schedule(at, SimEvent::WorkerCrashes(worker));
            world.schedule(at + UNLISTED_AFTER_MS, SimEvent::WorkerUnlisted(worker));
            world.schedule(at + REPLACED_AFTER_MS, SimEvent::WorkerReplaced(worker));
        }
    }
    for n in 1..=trouble.leader_changes {
        let even = TRAFFIC_MS * n / (trouble.leader_changes + 1);
        let at = BEGIN_MS + even + rng.random_range(0..FAULT_JITTER_MS);
        world.schedule(at, SimEvent::LeaderLost);
        world.schedule(at + rng.random_range(NO_LEADER_MS), SimEvent::LeaderTakesOver);
    }
}
