//! Evacuated failure domains: nothing new goes there, whatever else goes wrong, until they are taken back.
//!
//! Seen on a day of the users: nine thousand starts in evacuated domains, since nothing in the scheduler
//! knew the operators' word. The tests failed while [`gaplock_sched::evacuation::update_worker`] marked no worker,
//! but for those of what runs on and of what is taken back.

use std::env;

use gaplock_jobs::{Job, Step};

use crate::world::{assert_kept, job, lasting, step, Faults, World};

/// A fleet of three failure domains; workers 0 to 7 lie in the first.
const WORKERS: usize = 24;

const FIRST: usize = 0;
const SECOND: usize = 8;
const THIRD: usize = 16;

/// A job whose tasks want to be in one rack of the first domain.
fn near_the_first(key: u64) -> Job {
    job(key, vec![Step { rack: Some("r0".into()), ..step(4, &[]) }])
}

/// Returns how many tasks run in the domain that begins with a worker.
fn running_in(world: &World, first: usize) -> usize {
    (first..first + SECOND).map(|at| world.running_at(at)).sum()
}

#[test]
fn nothing_new_goes_to_an_evacuated_domain_and_what_runs_there_runs_on() {
    let mut world = World::open(701, WORKERS);
    world.work_ms = 20_000;
    world.submit(job(1, vec![step(30, &[])]));
    world.submit(job(2, vec![lasting(30)]));
    world.run(1_000);
    let before = running_in(&world, FIRST);
    assert!(before > 0);
    world.evacuate(FIRST);
    world.run(600);
    for key in 10..20 {
        world.submit(job(key, vec![step(6, &[])]));
        world.submit(near_the_first(100 + key));
        world.run(300);
    }
    assert_eq!(running_in(&world, FIRST), before);
    assert_eq!(world.running_of(2), 30);
    assert_kept(&world);
}

#[test]
fn all_domains_at_once_hold_everything_back_until_one_is_taken_back() {
    let mut world = World::open(702, WORKERS);
    for first in [FIRST, SECOND, THIRD] {
        world.evacuate(first);
    }
    world.run(600);
    world.submit(job(1, vec![step(12, &[]), step(4, &[0])]));
    world.run(10_000);
    assert!(!world.is_completed(1));
    assert_eq!(world.starts, 0);
    world.take_back(SECOND);
    world.run(3_000);
    assert!(world.is_completed(1));
    assert_kept(&world);
}

#[test]
fn a_successor_knows_the_word_before_its_first_start() {
    let mut world = World::open(703, WORKERS);
    world.evacuate(FIRST);
    for key in 0..8 {
        world.lose_leader();
        world.submit(near_the_first(key));
        world.run(50);
        world.take_over();
        world.run(300);
        assert_eq!(running_in(&world, FIRST), 0, "after takeover {key}");
    }
    assert_kept(&world);
}

#[test]
fn an_older_reading_does_not_undo_a_newer_one() {
    let mut world = World::open(704, WORKERS);
    let none = world.evacuated();
    world.evacuate(FIRST);
    let first = world.evacuated();
    world.run(600);
    world.hear_evacuated(none);
    world.submit(near_the_first(1));
    world.run(100);
    assert_eq!(running_in(&world, FIRST), 0);
    world.take_back(FIRST);
    world.run(600);
    world.hear_evacuated(first);
    world.work_ms = 5_000;
    world.submit(near_the_first(2));
    world.run(100);
    assert!(running_in(&world, FIRST) > 0);
    assert_kept(&world);
}

#[test]
fn a_start_whose_fate_is_unknown_is_not_sent_again() {
    let mut world = World::open(705, WORKERS);
    world.run(100);
    for at in SECOND..WORKERS {
        world.workers[at].unwell = true;
    }
    for at in FIRST..SECOND {
        world.workers[at].cut = true;
    }
    world.submit(job(1, vec![step(4, &[])]));
    world.run(50);
    world.evacuate(FIRST);
    let evacuated = world.evacuated();
    world.hear_evacuated(evacuated);
    world.run(4_000);
    for worker in &mut world.workers {
        (worker.cut, worker.unwell) = (false, false);
    }
    world.run(20_000);
    assert!(world.is_completed(1));
    assert_kept(&world);
}

#[test]
fn a_worker_that_is_born_in_an_evacuated_domain_gets_nothing() {
    let mut world = World::open(706, WORKERS);
    world.evacuate(FIRST);
    world.run(600);
    world.crash_and_return(FIRST);
    world.run(5_000);
    world.submit(near_the_first(1));
    world.run(200);
    assert_eq!(running_in(&world, FIRST), 0);
    assert_kept(&world);
}

#[test]
fn room_that_is_taken_back_is_used_at_once() {
    let mut world = World::open(707, SECOND);
    world.evacuate(FIRST);
    world.run(600);
    world.submit(job(1, vec![step(40, &[])]));
    world.run(2_000);
    assert_eq!(world.starts, 0);
    world.take_back(FIRST);
    world.run(600);
    assert_eq!(world.starts, 40);
    assert_kept(&world);
}

/// Plays evacuations beside changes of leader, an absent store, lost and late orders, and crashes.
fn play_evacuations(seed: u64) {
    let mut world = World::open(seed, WORKERS);
    world.faults = Faults {
        lost_per_mille: 20,
        unanswered_per_mille: 20,
        late_per_mille: 30,
        failing_per_mille: 20,
        unwell_per_mille: 10,
    };
    for key in 0..40 {
        let steps = vec![step(5, &[]), Step { duplicates: true, ..step(3, &[0]) }];
        let near = world.draw(3) == 0;
        world.submit(if near { near_the_first(key) } else { job(key, steps) });
        world.submit(job(1_000 + key, vec![lasting(2)]));
        let first = [FIRST, SECOND, THIRD][world.draw(3) as usize];
        match world.draw(8) {
            0..=1 if !world.store_down => world.evacuate(first),
            2..=3 if !world.store_down => world.take_back(first),
            4 => world.store_down = !world.store_down,
            5 if !world.store_down => {
                let gap = world.draw(1_500);
                world.change_leader(gap);
            }
            6 => {
                let at = world.draw(WORKERS as u64) as usize;
                if world.workers[at].up {
                    world.crash_and_return(at);
                }
            }
            _ => {}
        }
        let gap = 100 + world.draw(900);
        world.run(gap);
    }
    world.store_down = false;
    world.faults = Faults::default();
    for first in [FIRST, SECOND, THIRD] {
        world.take_back(first);
    }
    world.run(40_000);
    assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    let left = (0..40).filter(|&key| world.state(key).is_none_or(|s| !s.is_final())).count();
    assert_eq!(left, 0, "seed {seed}: jobs never ended");
}

/// The seeds that are played in CI; `EVACUATION_SEEDS` asks for more.
const SEEDS: u64 = 6;

#[test]
fn evacuations_hold_beside_everything_else() {
    let seeds = env::var("EVACUATION_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        play_evacuations(710_000 + seed);
    }
}
