//! Plans the faults of a simulation: crashes of workers and changes of the leader.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::load::{BEGIN_MS, TRAFFIC_MS};
use super::shape::Faults;
use super::simulation::{SimEvent, Simulation};

/// How long after a crash the directory removes the worker, and how long after the crash a new worker replaces
/// it, in milliseconds.
const UNLISTED_AFTER_MS: u64 = 2_000;
const REPLACED_AFTER_MS: u64 = 15_000;

/// The time without a leader during a leader change, in milliseconds.
const NO_LEADER_MS: std::ops::Range<u64> = 1_000..2_500;

/// The longest random delay of a fault after its evenly spaced time, in milliseconds.
const FAULT_JITTER_MS: u64 = 2_000;

/// The random number stream for faults, so that they do not change what the same seed draws for the load.
const FAULT_RNG_STREAM: u64 = 7;

/// Schedules the events of all faults in a simulation.
pub fn plan(simulation: &mut Simulation, faults: &Faults, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(FAULT_RNG_STREAM);
    if faults.domain_lost {
        let at = BEGIN_MS + TRAFFIC_MS / 3 + rng.random_range(0..FAULT_JITTER_MS);
        let domain =
            simulation.load.workers[rng.random_range(0..simulation.load.workers.len())].domain;
        let load = simulation.load.clone();
        let members = load.workers.iter().enumerate().filter(|(_, w)| w.domain == domain);
        for (worker, _) in members.step_by(3) {
            simulation.schedule(at, SimEvent::WorkerCrashes(worker));
            simulation.schedule(at + UNLISTED_AFTER_MS, SimEvent::WorkerUnlisted(worker));
            simulation.schedule(at + REPLACED_AFTER_MS, SimEvent::WorkerReplaced(worker));
        }
    }
    for n in 1..=faults.leader_changes {
        let offset = TRAFFIC_MS * n / (faults.leader_changes + 1);
        let at = BEGIN_MS + offset + rng.random_range(0..FAULT_JITTER_MS);
        simulation.schedule(at, SimEvent::LeaderLost);
        simulation.schedule(at + rng.random_range(NO_LEADER_MS), SimEvent::LeaderTakesOver);
    }
}
