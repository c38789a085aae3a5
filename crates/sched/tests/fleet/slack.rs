//! Paces, moves and starts of best-effort tasks by the time that their jobs have left, beside a
//! serving task whose tail follows its load and the paces in force.

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_overload::summary::WorkClass;
use gaplock_sched::pacing::{Learned, LearnedFactor, LearnedImage};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation};

const TAIL_TARGET_MS: u64 = 50;

/// The tail of the serving image without load and its lowest reading, in milliseconds. The model
/// takes the lowest reading for that under a load of 0.2.
const UNLOADED_MS: f64 = 8.0;
const LOWEST_MS: f64 = 10.0;

/// How much the best-effort image interferes when it uses a whole worker.
const FACTOR: f64 = 4.0;

const WORKER_MILLICORES: f64 = 8_000.0;

const SERVING_MILLICORES: u32 = 4_000;

/// The key of the serving job.
const SERVING: u64 = 1;

fn serving_job(key: u64) -> Job {
    let tail_target = Some(Millis(TAIL_TARGET_MS));
    let image = Some("touchy".to_string());
    let demand = Resources::new(SERVING_MILLICORES, 512, 0);
    job(key, vec![Step { lasting: true, tail_target, image, demand, ..step(1, &[]) }])
}

/// Builds a step of one best-effort task, which saves its progress.
fn best_effort_step(millicores: u32, estimate_ms: u64, after: &[u16]) -> Step {
    Step {
        fills: true,
        checkpoints: true,
        image: Some("heavy".to_string()),
        demand: Resources::new(millicores, 512, 0),
        estimate: Millis(estimate_ms),
        ..step(1, after)
    }
}

/// Builds a job of one best-effort task. Its objective is 1.5 times the estimate and 250 ms.
fn best_effort_job(key: u64, millicores: u32, estimate_ms: u64) -> Job {
    job(key, vec![best_effort_step(millicores, estimate_ms, &[])])
}

/// Builds a simulation with a serving task, under a leader that knows how the images interfere.
fn simulation(seed: u64, by_slack: bool) -> Simulation {
    let mut sim = Simulation::open(seed, 1);
    sim.work_ms = 60_000;
    sim.settings.pace_by_slack = by_slack;
    let factor = LearnedFactor { image: "heavy".into(), factor: FACTOR, variance: 0.1 };
    let image =
        LearnedImage { image: "touchy".into(), lowest_ms: LOWEST_MS, factors: vec![factor] };
    sim.learned = Learned { images: vec![image], ..Learned::default() };
    sim.start_new_leader();
    sim.submit(serving_job(SERVING));
    run_under(&mut sim, 0.2, &[], 3_000);
    sim
}

/// Runs with a given load of the serving task; its tail follows the paces of the best-effort jobs,
/// each given by its key and demand, that are on the first worker.
fn run_under(sim: &mut Simulation, load: f64, jobs: &[(u64, u32)], ms: u64) {
    for _ in 0..ms / 20 {
        let interference: f64 = jobs
            .iter()
            .map(|&(key, millicores)| {
                let paces = sim.paces_at(0, key).into_iter().map(f64::from);
                paces.sum::<f64>() / 100.0 * f64::from(millicores) / WORKER_MILLICORES * FACTOR
            })
            .sum();
        let utilization = (load * (1.0 + interference)).min(0.98);
        sim.readings.insert(JobKey(SERVING), (UNLOADED_MS / (1.0 - utilization)) as u32);
        sim.run(20);
    }
}

/// Returns the mean paces of two jobs on one worker while the load has risen so far that the serving
/// task tolerates about one of them. Each job is given with its demand and the time since it was
/// accepted.
fn mean_paces_under_high_load(mut sim: Simulation, jobs: [(Job, u32, u64); 2]) -> [u32; 2] {
    let keys = jobs.each_ref().map(|(job, millicores, _)| (job.key.0, *millicores));
    for (job, _, accepted_ago) in jobs {
        sim.submit_accepted(job, accepted_ago);
    }
    run_under(&mut sim, 0.2, &keys, 400);
    let mut sums = [0, 0];
    for tenth in 0..30 {
        run_under(&mut sim, 0.2 + 0.01 * f64::from(tenth), &keys, 100);
        let paces = keys.map(|(key, _)| sim.paces_at(0, key).iter().sum::<u32>());
        if tenth >= 20 {
            sums = [sums[0] + paces[0], sums[1] + paces[1]];
        }
    }
    assert_no_violations(&sim);
    sums.map(|sum| sum / 10)
}

/// Load: a rising serving load on a worker with a task of a job that is due soon and one of a job
/// that has time. The first interferes more, so it was slowed down and made its job late.
#[test]
fn a_task_with_time_is_slowed_down_for_one_that_is_due_soon() {
    let jobs = || {
        let (due_soon, with_time) =
            (best_effort_job(2, 1_100, 8_000), best_effort_job(3, 1_000, 40_000));
        [(due_soon, 1_100, 0), (with_time, 1_000, 0)]
    };
    let [due_soon, with_time] = mean_paces_under_high_load(simulation(311, true), jobs());
    assert!(due_soon > with_time + 40, "due soon: {due_soon} %, with time: {with_time} %");
    let [due_soon, with_time] = mean_paces_under_high_load(simulation(311, false), jobs());
    assert!(due_soon + 40 < with_time, "slack decides although the setting is off");
}

/// Load: a worker shared by a job that is past all use and one with little slack.
#[test]
fn a_task_of_no_more_use_is_slowed_down_first() {
    let jobs = || {
        let (useless, of_use) =
            (best_effort_job(2, 1_000, 4_000), best_effort_job(3, 1_100, 12_000));
        [(useless, 1_000, 20_000), (of_use, 1_100, 0)]
    };
    let [useless, of_use] = mean_paces_under_high_load(simulation(311, true), jobs());
    assert!(of_use > useless + 40, "of use: {of_use} %, of no more use: {useless} %");
    let [useless, of_use] = mean_paces_under_high_load(simulation(311, false), jobs());
    assert!(of_use + 40 < useless, "usefulness decides although the setting is off");
}

/// Load: a task that is well ahead of another task of its step, which waits and makes the job late.
/// By its own slack it kept its pace, and a job that can be on time was slowed down for it.
#[test]
fn a_task_is_slowed_down_whose_job_another_task_makes_late() {
    let mut sim = simulation(315, true);
    sim.work_ms = 5_000;
    let only_one_fits =
        Step { count: 2, most_per_worker: Some(1), ..best_effort_step(1_000, 4_000, &[]) };
    let held_up = job(2, vec![only_one_fits]);
    let with_time = best_effort_job(3, 1_100, 40_000);
    let jobs = [(held_up, 1_000, 1_500), (with_time, 1_100, 0)];
    let [held_up, with_time] = mean_paces_under_high_load(sim, jobs);
    assert!(held_up + 40 < with_time, "held up: {held_up} %, with time: {with_time} %");
}

/// Load: two halted tasks, one of which holds up a job whose other tasks are done, and a worker
/// that becomes free for one of them. Tasks were moved in the order of the workers' tables, after
/// 1.2 s each.
#[test]
fn the_halted_last_task_of_a_job_moves_first() {
    let mut sim = simulation(312, true);
    let both = [(2, 1_000), (3, 1_000)];
    sim.submit_accepted(best_effort_job(2, 1_000, 60_000), 0);
    sim.run(300);
    sim.work_ms = 300;
    let steps = vec![best_effort_step(100, 300, &[]), best_effort_step(1_000, 9_000, &[0])];
    sim.submit_accepted(job(3, steps), 0);
    sim.run(200);
    sim.work_ms = 60_000;
    sim.run(300);
    assert_eq!(sim.paces_at(0, 3).len(), 1, "the last task of the job does not run");
    for tenth in 0..30 {
        run_under(&mut sim, 0.2 + 0.02 * f64::from(tenth), &both, 100);
    }
    let added = sim.add_worker("w1");
    sim.resize(added, Resources::new(SERVING_MILLICORES - 1, 16_000, 0));
    let mut waited_ms = 0;
    while sim.paces_at(added, 2).is_empty() && sim.paces_at(added, 3).is_empty() {
        run_under(&mut sim, 0.8, &both, 20);
        waited_ms += 20;
        assert!(waited_ms < 5_000, "no task was moved within 5 s");
    }
    assert_eq!(sim.paces_at(added, 3).len(), 1, "the task with time was moved first");
    assert_no_violations(&sim);
}

/// The demand of a best-effort task beside which no second one finds room.
const LARGE_MILLICORES: u32 = 4_000;

/// Load: more work than a worker can run, so that one task starts at a time. Work that is due first
/// went first, although its result was of no more use. The timing keeps the pass of every twenty in
/// which such jobs go first away from the start of a task.
#[test]
fn waiting_jobs_start_by_the_use_of_their_results() {
    let mut sim = simulation(313, true);
    sim.work_ms = 400;
    for (key, accepted_ago) in [(2, 0), (3, 60_000), (4, 8_000), (5, 0)] {
        sim.submit_accepted(best_effort_job(key, LARGE_MILLICORES, 4_000), accepted_ago);
        sim.run(20);
    }
    let mut completed = Vec::new();
    for _ in 0..400 {
        sim.run(10);
        for key in 2..=5 {
            if sim.is_completed(key) && !completed.contains(&key) {
                completed.push(key);
            }
        }
    }
    assert_eq!(completed, [2, 5, 4, 3], "expected: the first one, on time, late, of no more use");
    assert_no_violations(&sim);
}

/// Load: more short jobs arrive than a pool can run. Jobs that were due first went first, so that each job was late
/// once the first one was.
#[test]
fn a_short_job_that_can_be_on_time_goes_before_one_past_all_use() {
    for (by_slack, expected) in [(true, [2, 4, 3]), (false, [2, 3, 4])] {
        let mut sim = Simulation::open(317, 1);
        sim.settings.pace_by_slack = by_slack;
        sim.lose_leader();
        sim.start_new_leader();
        sim.work_ms = 400;
        let whole_worker = Resources::new(WORKER_MILLICORES as u32, 512, 0);
        for (key, accepted_ago) in [(2, 0), (3, 60_000), (4, 0)] {
            let steps =
                vec![Step { demand: whole_worker, estimate: Millis(4_000), ..step(1, &[]) }];
            sim.submit_accepted(job(key, steps), accepted_ago);
            sim.run(20);
        }
        let mut completed = Vec::new();
        for _ in 0..300 {
            sim.run(10);
            let ended = (2..=4).filter(|&key| sim.is_completed(key) && !completed.contains(&key));
            let ended: Vec<u64> = ended.collect();
            completed.extend(ended);
        }
        assert_eq!(completed, expected, "by slack: {by_slack}");
        assert_no_violations(&sim);
    }
}

/// Load: work that can be on time arrives faster than it can run. A job of no more use must not wait
/// for ever, since it was accepted.
#[test]
fn a_job_of_no_more_use_is_run_in_the_end() {
    let mut sim = simulation(314, true);
    sim.work_ms = 300;
    for key in 2..5 {
        sim.submit_accepted(best_effort_job(key, LARGE_MILLICORES, 60_000), 0);
    }
    sim.run(20);
    sim.submit_accepted(best_effort_job(1_000, LARGE_MILLICORES, 1_000), 60_000);
    let mut key = 5;
    while !sim.is_completed(1_000) {
        sim.submit_accepted(best_effort_job(key, LARGE_MILLICORES, 60_000), 0);
        sim.run(250);
        key += 1;
        assert!(key < 245, "the job has not run within 60 s");
    }
    assert!(key > 7, "the job of no more use was run before jobs that can be on time");
    assert_no_violations(&sim);
}

/// Guards against slack that rests on estimates which the work of a queue has long disproved.
#[test]
fn the_leader_learns_how_far_estimates_are_off() {
    let mut sim = Simulation::open(316, 4);
    sim.work_ms = 1_500;
    sim.submit(job(2, vec![step(30, &[])]));
    sim.submit(job(3, vec![Step { count: 30, ..best_effort_step(1_000, 1_000, &[]) }]));
    sim.run(10_000);
    let (short, batch) =
        (sim.estimate_ratio(WorkClass::Short), sim.estimate_ratio(WorkClass::BestEffort));
    assert!((2.3..3.2).contains(&short), "tasks take 3 times their estimate, learned {short}");
    assert!((1.2..1.7).contains(&batch), "tasks take 1.5 times their estimate, learned {batch}");
}
