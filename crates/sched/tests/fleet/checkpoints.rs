//! Checkpoints on virtual time: whatever goes wrong, a start carries no checkpoint or one that its own task saved.
//!
//! Guards against starts that carry checkpoints of other tasks; users' workers once got such starts. Checkpoints that
//! workers listed were not checked: any text listed with a task was used as its checkpoint, each member of a gang and
//! each attempt of a start carried the text known at that moment, and a start that was refused for its checkpoint was
//! sent again with it without end.

use std::env;

use gaplock_jobs::job::Repeat;
use gaplock_jobs::{Job, Step};
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, run_twenty_jobs, step, Faults, Simulation};

/// How long a task runs, in milliseconds: long enough for several checkpoints.
const WORK_MS: u64 = 2_000;

/// Builds a step of `count` tasks that save checkpoints.
fn checkpointing_step(count: u32, after: &[u16]) -> Step {
    Step { checkpoints: true, ..step(count, after) }
}

#[test]
fn a_task_resumes_from_the_checkpoint_of_its_stopped_run() {
    let mut sim = Simulation::open(901, 3);
    sim.work_ms = WORK_MS;
    sim.submit(job(1, vec![checkpointing_step(6, &[])]));
    sim.run(1_000);
    sim.drain(0, 2_000);
    sim.run(3_500);
    assert!(sim.is_completed(1));
    assert!(sim.checkpoints.starts_with_checkpoint > 0, "no start carried a checkpoint");
    assert_eq!(sim.checkpoints.repeated_work_ms, 0);
    assert_no_violations(&sim);
}

#[test]
fn starts_of_a_step_without_checkpoints_carry_none() {
    let mut sim = Simulation::open(902, 3);
    sim.work_ms = WORK_MS;
    sim.checkpoints.list_for_all_steps = true;
    sim.submit(job(1, vec![step(6, &[])]));
    sim.submit(job(2, vec![Step { duplicates: true, ..step(6, &[]) }]));
    sim.run(1_000);
    sim.drain(0, 2_000);
    sim.run(8_000);
    assert!(sim.is_completed(1) && sim.is_completed(2));
    assert_no_violations(&sim);
}

#[test]
fn starts_of_all_members_of_a_gang_carry_the_same_checkpoint() {
    let mut sim = Simulation::open(903, 3);
    sim.work_ms = WORK_MS;
    sim.submit(job(1, vec![Step { gang: true, ..checkpointing_step(6, &[]) }]));
    sim.run(1_100);
    let worker = sim.busy_worker();
    sim.crash(worker);
    sim.run(3_000);
    sim.unlist(worker);
    sim.run(12_000);
    assert!(sim.checkpoints.starts_with_checkpoint > 0, "no start carried a checkpoint");
    assert_no_violations(&sim);
}

#[test]
fn every_attempt_of_a_start_carries_the_same_checkpoint() {
    let mut sim = Simulation::open(910, 2);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![checkpointing_step(1, &[])]));
    sim.run(1_000);
    let (first, second) = (sim.busy_worker(), 1 - sim.busy_worker());
    sim.workers[first].partitioned = true;
    // The leader gets the end of the first run between two attempts of the second run's start.
    sim.workers[second].next_start_delay_ms = Some(2_500);
    while sim.starts_under_way() == 0 {
        sim.run(1);
    }
    sim.workers[first].partitioned = false;
    sim.run(10_000);
    assert!(
        sim.checkpoints.starts_with_checkpoint >= 2,
        "{} starts carried a checkpoint, expected at least 2 attempts",
        sim.checkpoints.starts_with_checkpoint
    );
    assert_no_violations(&sim);
}

#[test]
fn a_start_refused_for_its_checkpoint_is_sent_again_without_it() {
    let mut sim = Simulation::open(904, 3);
    sim.work_ms = WORK_MS;
    sim.submit(job(1, vec![checkpointing_step(6, &[])]));
    sim.run(1_000);
    sim.workers.iter_mut().for_each(|w| w.refuses_checkpoints = true);
    sim.drain(0, 2_000);
    sim.run(8_000);
    assert!(
        sim.is_completed(1),
        "job 1 has not completed: starts carry a checkpoint that all workers refuse"
    );
    assert!(
        sim.checkpoints.starts_with_checkpoint < 30,
        "{} starts carried the refused checkpoint, expected fewer than 30",
        sim.checkpoints.starts_with_checkpoint
    );
    assert_no_violations(&sim);
}

#[test]
fn a_late_end_of_an_older_run_does_not_replace_a_newer_checkpoint() {
    let mut sim = Simulation::open(905, 2);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![checkpointing_step(1, &[])]));
    sim.run(1_000);
    let (first, second) = (sim.busy_worker(), 1 - sim.busy_worker());
    sim.workers[first].partitioned = true;
    sim.run(20_000);
    sim.workers[first].partitioned = false;
    let before = sim.ends_listed(first);
    while sim.ends_listed(first) == before {
        sim.run(1);
    }
    sim.crash(second);
    sim.unlist(second);
    sim.run(12_000);
    assert_eq!(sim.running_of(1), 1);
    assert_eq!(sim.checkpoints.repeated_work_ms, 0);
    assert_no_violations(&sim);
}

#[test]
fn a_successor_knows_the_checkpoints_of_ends_that_workers_no_longer_list() {
    let mut sim = Simulation::open(906, 2);
    sim.work_ms = 6_000;
    sim.submit(job(1, vec![checkpointing_step(16, &[])]));
    sim.run(1_000);
    sim.drain(0, 1_500);
    sim.run(1_600);
    assert_eq!(sim.running_at(0), 0);
    sim.crash(0);
    sim.unlist(0);
    sim.change_leader(100);
    sim.run(10_000);
    assert!(sim.is_completed(1));
    assert_eq!(
        sim.checkpoints.repeated_work_ms, 0,
        "{} ms of saved work were done again",
        sim.checkpoints.repeated_work_ms
    );
    assert_no_violations(&sim);
}

#[test]
fn a_successor_knows_the_checkpoints_of_tasks_that_wait_after_a_partition() {
    let mut sim = Simulation::open(915, 2);
    sim.work_ms = 20_000;
    sim.submit(job(1, vec![checkpointing_step(16, &[])]));
    sim.run(1_500);
    sim.workers[0].partitioned = true;
    // The other worker has no free capacity, so the tasks wait.
    sim.run(9_000);
    sim.crash(0);
    sim.unlist(0);
    sim.change_leader(100);
    sim.run(50_000);
    assert!(sim.is_completed(1));
    assert!(sim.checkpoints.starts_with_checkpoint > 0, "no start carried a checkpoint");
    assert_eq!(
        sim.checkpoints.repeated_work_ms, 0,
        "{} ms of saved work were done again",
        sim.checkpoints.repeated_work_ms
    );
    assert_no_violations(&sim);
}

#[test]
fn rounds_of_a_repeating_job_have_separate_checkpoints() {
    let mut sim = Simulation::open(907, 3);
    sim.work_ms = WORK_MS;
    let repeat = Some(Repeat { times: 4, first_unix_ms: 0, every: Millis(300) });
    sim.submit(Job {
        repeat,
        ..job(1, vec![checkpointing_step(3, &[]), checkpointing_step(2, &[0])])
    });
    sim.run(1_000);
    sim.drain(0, 2_000);
    sim.run(1_500);
    sim.change_leader(200);
    sim.run(12_000);
    assert!(sim.is_completed(1));
    assert!(sim.checkpoints.starts_with_checkpoint > 0, "no start carried a checkpoint");
    assert_eq!(sim.checkpoints.repeated_work_ms, 0);
    assert_no_violations(&sim);
}

#[test]
fn the_end_of_a_speculative_copy_leaves_no_checkpoint_of_a_done_task() {
    let mut sim = Simulation::open(908, 4);
    sim.work_ms = WORK_MS;
    sim.workers[0].slowness = 8;
    let after = Step { lasting: true, ..step(1, &[0]) };
    sim.submit(job(1, vec![Step { duplicates: true, ..checkpointing_step(24, &[]) }, after]));
    sim.run(20_000);
    assert!(sim.starts > 25, "no speculative copy was started: {} starts", sim.starts);
    assert_eq!(sim.checkpoints_known(1), 0, "the leader knows a checkpoint of a done task");
    assert_no_violations(&sim);
}

/// Guards against a checkpoint that is lost with the leader. The worker of a run is partitioned, and a newer run of the
/// task has begun but saved nothing yet when the first worker answers again and lists the end of the first run. The
/// leader used that run's checkpoint and acknowledged the end, but did not store the job, since the task's newer run
/// did not change; a successor began the task from its start.
#[test]
fn a_successor_knows_the_checkpoint_of_an_older_run_that_was_listed_late() {
    let mut sim = Simulation::open(911, 2);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![checkpointing_step(1, &[])]));
    sim.run(150);
    let (first, second) = (sim.busy_worker(), 1 - sim.busy_worker());
    sim.workers[first].partitioned = true;
    // Slow work: the second run saves nothing for a while.
    sim.workers[second].slowness = 100;
    while sim.running_at(second) == 0 {
        sim.run(1);
    }
    sim.workers[first].partitioned = false;
    while sim.checkpoints_known(1) == 0 {
        sim.run(1);
    }
    while sim.ends_listed(first) > 0 {
        sim.run(1);
    }
    sim.crash(second);
    sim.unlist(second);
    sim.change_leader(100);
    sim.run(20_000);
    assert_eq!(sim.running_of(1), 1);
    assert_eq!(
        sim.checkpoints.repeated_work_ms, 0,
        "{} ms of saved work were done again",
        sim.checkpoints.repeated_work_ms
    );
    assert_no_violations(&sim);
}

/// How many seeds are run unless `CHECKPOINT_SEEDS` gives another number.
const SEEDS: u64 = 12;

/// Injects a random fault that makes runs end before their work is done.
fn inject_fault(sim: &mut Simulation) {
    let worker = sim.draw(6) as usize;
    match sim.draw(8) {
        0 => sim.workers[worker].partitioned = true,
        1 => sim.workers.iter_mut().for_each(|w| w.partitioned = false),
        2 => sim.drain(worker, 1_500),
        3 => {
            sim.crash(worker);
            sim.unlist(worker);
            sim.add_worker(&format!("again-{}", sim.now));
        }
        4 => {
            let gap = sim.draw(3_000);
            sim.change_leader(gap);
        }
        5 => sim.workers[worker].refuses_checkpoints = true,
        6 => sim.workers[worker].next_start_delay_ms = Some(3_000),
        _ => sim.cancel(20 + sim.now % 10),
    }
}

#[test]
fn a_start_carries_only_its_own_checkpoint_under_any_fault() {
    let seeds = env::var("CHECKPOINT_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    let mut carried = 0;
    for seed in 930..930 + seeds {
        let mut sim = Simulation::open(seed, 6);
        sim.work_ms = 2 * WORK_MS;
        sim.checkpoints.list_for_all_steps = true;
        sim.faults = Faults {
            lost_per_mille: 20,
            unanswered_per_mille: 50,
            late_per_mille: 50,
            failing_per_mille: 20,
            unhealthy_per_mille: 20,
        };
        for key in 20..30 {
            let gang = Step { gang: true, ..checkpointing_step(3, &[]) };
            let speculative = Step { duplicates: true, ..checkpointing_step(3, &[]) };
            sim.submit(job(
                key,
                vec![checkpointing_step(6, &[]), step(2, &[0]), gang, speculative],
            ));
            sim.run(400);
            inject_fault(&mut sim);
            sim.run(400);
            inject_fault(&mut sim);
        }
        sim.workers.iter_mut().for_each(|w| w.partitioned = false);
        for n in 0..4 {
            sim.add_worker(&format!("sound-{n}"));
        }
        run_twenty_jobs(&mut sim, seed);
        carried += sim.checkpoints.starts_with_checkpoint;
    }
    assert!(carried > 5 * seeds, "only {carried} starts carried a checkpoint with {seeds} seeds");
}
