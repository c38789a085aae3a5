//! Accepted jobs whose queue is removed from the configuration or gets another name.

use gaplock_jobs::config::Config;
use gaplock_jobs::job::Repeat;
use gaplock_jobs::progress::JobState;
use gaplock_jobs::Step;
use gaplock_types::time::Millis;

use crate::simulation::{
    assert_no_runnable_task_waits, assert_no_violations, job, long_running_step, step, Simulation,
    QUEUE,
};

fn remove_queues(config: &mut Config) {
    config.queues.clear();
}

fn rename_queues(config: &mut Config) {
    config.queues.iter_mut().for_each(|queue| queue.name.push_str("-2"));
}

/// The changes of the configuration that take a queue away from its jobs.
const CHANGES: [fn(&mut Config); 2] = [remove_queues, rename_queues];

/// Opens a simulation in which tasks of two steps are under way, and takes their queue away.
fn open_without_queue(seed: u64, change: fn(&mut Config)) -> Simulation {
    let mut sim = Simulation::open(seed, 4);
    sim.work_ms = 1_000;
    sim.submit(job(1, vec![step(4, &[]), step(4, &[0])]));
    sim.run(300);
    sim.change_config(change);
    sim
}

fn assert_completed(sim: &mut Simulation, key: u64) {
    assert!(sim.is_completed(key), "the job is shown as {:?}", sim.state(key));
    assert_no_runnable_task_waits(sim);
    assert_no_violations(sim);
}

/// Guards against accepted jobs that are never finished once the operator has removed their queue.
#[test]
fn later_steps_start_after_the_queue_is_gone() {
    for change in CHANGES {
        let mut sim = open_without_queue(601, change);
        sim.run(4_000);
        assert_completed(&mut sim, 1);
    }
}

#[test]
fn failed_runs_are_repeated_after_the_queue_is_gone() {
    for change in CHANGES {
        let mut sim = open_without_queue(602, change);
        sim.faults.failing_per_mille = 200;
        sim.run(4_000);
        sim.faults.failing_per_mille = 0;
        sim.run(6_000);
        assert_ne!(sim.state(1), Some(JobState::Active));
        assert_no_runnable_task_waits(&mut sim);
        assert_no_violations(&sim);
    }
}

#[test]
fn long_running_tasks_start_again_after_the_queue_is_gone() {
    for change in CHANGES {
        let mut sim = Simulation::open(603, 4);
        sim.submit(job(1, vec![long_running_step(6)]));
        sim.run(500);
        sim.change_config(change);
        sim.crash(sim.busy_worker());
        sim.run(10_000);
        assert_eq!(sim.running_of(1), 6);
        assert_no_violations(&sim);
    }
}

#[test]
fn suspects_are_tried_after_the_queue_is_gone() {
    for change in CHANGES {
        let mut sim = Simulation::open(604, 4);
        sim.work_ms = 3_000;
        sim.submit(job(1, vec![step(4, &[]), step(4, &[0])]));
        sim.run(200);
        sim.change_config(change);
        sim.crash_and_replace(sim.busy_worker());
        sim.run(20_000);
        assert_completed(&mut sim, 1);
    }
}

#[test]
fn gangs_and_rounds_start_after_the_queue_is_gone() {
    for change in CHANGES {
        let mut sim = Simulation::open(605, 4);
        sim.work_ms = 500;
        let gang = Step { gang: true, ..step(4, &[0]) };
        sim.submit(job(1, vec![step(2, &[]), gang]));
        let first_unix_ms = sim.unix();
        let repeat = Repeat { times: 3, first_unix_ms, every: Millis(1_500) };
        sim.submit(gaplock_jobs::Job { repeat: Some(repeat), ..job(2, vec![step(2, &[])]) });
        sim.run(200);
        sim.change_config(change);
        sim.run(8_000);
        assert_completed(&mut sim, 1);
        assert_completed(&mut sim, 2);
    }
}

#[test]
fn a_new_leader_finishes_the_jobs_of_a_queue_that_is_gone() {
    for change in CHANGES {
        let mut sim = open_without_queue(606, change);
        sim.change_leader(200);
        sim.run(5_000);
        assert_completed(&mut sim, 1);
    }
}

/// Hosts of an earlier version store no queue with a job, so the leader does with its progress.
#[test]
fn a_new_leader_finishes_jobs_that_an_earlier_version_accepted() {
    for change in CHANGES {
        let mut sim = Simulation::open(607, 4);
        sim.hosts_are_old = true;
        sim.work_ms = 1_000;
        sim.submit(job(1, vec![step(4, &[]), step(4, &[0])]));
        sim.run(300);
        sim.change_config(change);
        sim.change_leader(200);
        sim.run(5_000);
        assert_completed(&mut sim, 1);
    }
}

/// The queue was removed before the upgrade, so only the workers that run tasks of the job show
/// which pool it belongs to.
#[test]
fn a_new_leader_infers_the_pool_of_an_unknown_queue_from_a_worker() {
    let mut sim = Simulation::open(608, 4);
    sim.hosts_are_old = true;
    sim.work_ms = 2_000;
    sim.submit(job(1, vec![step(4, &[]), step(4, &[0])]));
    sim.run(500);
    sim.lose_leader();
    sim.forget_stored_queues();
    sim.change_config(remove_queues);
    sim.start_new_leader();
    sim.run(6_000);
    assert_completed(&mut sim, 1);
}

/// Starting such a job in any pool might start it where no configuration sends its queue.
#[test]
fn a_job_of_whose_queue_nothing_is_known_waits_until_a_configuration_has_it() {
    let mut sim = Simulation::open(609, 4);
    sim.hosts_are_old = true;
    sim.lose_leader();
    sim.change_config(remove_queues);
    sim.submit(job(1, vec![step(4, &[]), step(4, &[0])]));
    sim.start_new_leader();
    sim.run(4_000);
    assert_eq!(sim.starts, 0);
    sim.reset_queues();
    sim.run(4_000);
    assert_completed(&mut sim, 1);
}

/// A later version sends the queue to another pool before it is removed.
#[test]
fn the_last_pool_of_a_queue_holds_under_a_new_leader_too() {
    let mut sim = Simulation::open(610, 3);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![long_running_step(4)]));
    sim.run(500);
    sim.add_pool_to_config("other");
    sim.add_worker_of_pool("other-0", "other");
    let other = 3;
    sim.change_config(|config| config.queues[0].service = "other".into());
    sim.run(500);
    sim.change_config(remove_queues);
    sim.run(500);
    sim.change_leader(200);
    sim.run(1_000);
    (0..3).for_each(|worker| sim.crash(worker));
    sim.run(10_000);
    assert_eq!(sim.running_at(other), 4);
    assert_no_violations(&sim);
}

#[test]
fn jobs_of_a_renamed_queue_are_counted_under_its_new_name() {
    let mut sim = Simulation::open(611, 2);
    sim.submit(job(1, vec![step(40, &[])]));
    sim.change_config(rename_queues);
    assert_eq!(sim.queue_that_lists(1), format!("{QUEUE}-2"));
    sim.change_config(remove_queues);
    assert_eq!(sim.queue_that_lists(1), QUEUE);
}

/// How many random simulations run.
fn seeds() -> u64 {
    std::env::var("CONFIG_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(12)
}

/// Queues are removed, renamed and added again at random, while jobs of all kinds run, workers and
/// leaders are lost and runs fail.
#[test]
fn all_jobs_end_however_the_queues_change() {
    for seed in 0..seeds() {
        let mut sim = Simulation::open(700 + seed, 5);
        sim.faults.failing_per_mille = 50;
        let mut submitted = Vec::new();
        for key in 1..=20 {
            sim.hosts_are_old = sim.draw(3) == 0;
            sim.work_ms = 200 + sim.draw(900);
            let steps = match sim.draw(3) {
                0 => vec![step(3, &[]), Step { gang: true, ..step(3, &[0]) }],
                1 => vec![step(5, &[]), step(4, &[0]), step(2, &[1])],
                _ => vec![Step { checkpoints: true, ..step(6, &[]) }],
            };
            if sim.has_queue() {
                sim.submit(job(key, steps));
                submitted.push(key);
            }
            let pause = 100 + sim.draw(400);
            sim.run(pause);
            match sim.draw(8) {
                0 => sim.change_config(remove_queues),
                1 => sim.change_config(rename_queues),
                2 | 3 => sim.reset_queues(),
                4 => {
                    let gap = sim.draw(500);
                    sim.change_leader(gap);
                }
                5 => {
                    let worker = sim.draw(5) as usize;
                    sim.crash_and_replace(worker);
                }
                _ => {}
            }
        }
        sim.faults.failing_per_mille = 0;
        sim.change_config(remove_queues);
        sim.run(40_000);
        for key in submitted {
            let state = sim.state(key);
            assert!(state.is_some_and(JobState::is_final), "seed {seed}: job {key} is {state:?}");
        }
        assert_no_runnable_task_waits(&mut sim);
        assert_no_violations(&sim);
    }
}
