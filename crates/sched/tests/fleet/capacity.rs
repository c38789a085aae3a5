//! Workers whose room shrinks and grows while they run, and which do not guard it themselves.

use gaplock_jobs::Step;
use gaplock_types::sizes::Resources;

use crate::world::{assert_all_end, assert_kept, job, lasting, step, Faults, World};

/// Builds a world whose workers take whatever they are told to start.
fn with_unguarded_workers(seed: u64, workers: usize) -> World {
    let mut world = World::open(seed, workers);
    for worker in &mut world.workers {
        worker.unguarded = true;
    }
    world
}

#[test]
fn nothing_starts_beyond_a_reduced_capacity() {
    let mut world = with_unguarded_workers(611, 3);
    world.submit(job(1, vec![lasting(12)]));
    world.run(1_000);
    let before = world.running_at(0);
    world.resize(0, Resources::new(2_000, 16_000, 0));
    world.submit(job(2, vec![lasting(20)]));
    world.run(8_000);
    world.submit(job(3, vec![step(4, &[])]));
    world.run(2_000);
    assert_eq!(world.running_at(0), before, "runs were started or stopped there");
    assert_kept(&world);
}

#[test]
fn restored_capacity_is_used() {
    let mut world = with_unguarded_workers(612, 1);
    world.resize(0, Resources::new(1_000, 16_000, 0));
    world.submit(job(1, vec![lasting(6)]));
    world.run(2_000);
    assert_eq!(world.running_of(1), 1);
    world.resize(0, Resources::new(8_000, 16_000, 0));
    world.run(2_000);
    assert_eq!(world.running_of(1), 6);
    assert_kept(&world);
}

/// A successor goes by what the directory says now, not by the room that the roster was stored with.
#[test]
fn a_successor_uses_the_reduced_capacity() {
    let mut world = with_unguarded_workers(613, 2);
    world.submit(job(1, vec![lasting(6)]));
    world.run(1_000);
    world.resize(0, Resources::new(1_000, 16_000, 0));
    world.resize(1, Resources::new(1_000, 16_000, 0));
    world.run(300);
    world.change_leader(500);
    world.submit(job(2, vec![step(8, &[])]));
    world.run(4_000);
    assert!(!world.is_completed(2));
    assert_kept(&world);
}

/// What is being stopped takes room until it is seen to be over.
#[test]
fn capacity_of_stopping_runs_is_not_reused() {
    let mut world = with_unguarded_workers(614, 1);
    world.workers[0].stop_ms = 900;
    world.submit(job(1, vec![lasting(8)]));
    world.run(1_000);
    world.cancel(1);
    world.submit(job(2, vec![step(8, &[])]));
    world.run(4_000);
    assert!(world.is_completed(2));
    assert_kept(&world);
}

/// Gangs and single tasks beside rooms that change all the time, lost answers and changes of leader.
#[test]
fn changing_capacities_beside_other_faults() {
    for seed in 620..640 {
        let mut world = with_unguarded_workers(seed, 8);
        world.faults = Faults {
            lost_per_mille: 20,
            unanswered_per_mille: 40,
            late_per_mille: 20,
            unwell_per_mille: 20,
            ..Faults::default()
        };
        for key in 0..20 {
            let gang = Step { gang: true, ..step(5, &[]) };
            let steps = if key % 3 == 0 { vec![gang] } else { vec![step(5, &[]), step(3, &[0])] };
            world.submit(job(key, steps));
            world.run(200);
            let (at, cores) = (world.draw(8) as usize, 1 + world.draw(8) as u32);
            world.resize(at, Resources::new(cores * 1_000, 16_000, 0));
            if world.draw(10) == 0 {
                world.change_leader(300);
            }
        }
        for at in 0..8 {
            world.resize(at, Resources::new(8_000, 16_000, 0));
        }
        assert_all_end(&mut world, seed);
    }
}
