//! Shares of classes of work in a pool that long-running tasks fill, on virtual time: short tasks
//! get room while they wait, and long-running tasks lose no more than their caller allows.

use gaplock_jobs::{Job, Step};
use gaplock_types::sizes::Resources;

use crate::simulation::{assert_no_violations, job, step, Simulation};

const WORKERS: usize = 12;

/// How many tasks each long-running job has.
const TASKS_PER_SERVICE: u32 = 4;

/// How many tasks of a long-running job may be unavailable.
const MAY_MISS: u32 = 1;

/// The long-running jobs; together they hold all processors of all workers but one.
const SERVICES: std::ops::Range<u64> = 1..12;

/// The demand of each task, in thousandths of a core: a quarter of a worker.
const TASK_MILLICORES: u32 = 2_000;

/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 400;

/// Within how many milliseconds of its submission a short job is of use: three times its work.
const SHORT_JOB_LIMIT_MS: u64 = 1_500;

fn demand() -> Resources {
    Resources::new(TASK_MILLICORES, 512, 0)
}

fn service(key: u64) -> Job {
    let may_miss = Some(MAY_MISS);
    let demand = demand();
    job(key, vec![Step { lasting: true, may_miss, demand, ..step(TASKS_PER_SERVICE, &[]) }])
}

fn short_job(key: u64) -> Job {
    job(key, vec![Step { demand: demand(), ..step(4, &[]) }])
}

/// Builds a pool that long-running jobs fill but for one worker.
fn full_pool(seed: u64, class_shares: bool) -> Simulation {
    let mut sim = Simulation::open(seed, 0);
    sim.settings.class_shares = class_shares;
    sim.start_new_leader();
    for n in 0..WORKERS {
        let at = sim.add_worker(&format!("w{n}"));
        sim.workers[at].stop_ms = STOP_MS;
    }
    for key in SERVICES {
        sim.submit(service(key));
        sim.run(100);
    }
    sim.run(8_000);
    sim
}

/// Submits a short job every `period` milliseconds for `ms` milliseconds, and returns how many of
/// them ended within [`SHORT_JOB_LIMIT_MS`].
fn submit_short_jobs(sim: &mut Simulation, first: u64, period: u64, ms: u64) -> (usize, u64) {
    let began = sim.now;
    let mut in_time = 0;
    let mut submitted: Vec<(u64, u64)> = Vec::new();
    let mut count = 0;
    while sim.now - began < ms + SHORT_JOB_LIMIT_MS {
        if (sim.now - began).is_multiple_of(period) && sim.now - began < ms {
            sim.submit(short_job(first + count));
            submitted.push((first + count, sim.now));
            count += 1;
        }
        sim.run(50);
        let now = sim.now;
        submitted.retain(|&(key, at)| {
            let done = sim.is_completed(key);
            in_time += usize::from(done && now - at <= SHORT_JOB_LIMIT_MS);
            !done
        });
    }
    (in_time, count)
}

/// Crashes a third of the workers of a full pool while short jobs arrive, and returns how many short
/// jobs were in time, and how many there were.
fn lose_a_third(sim: &mut Simulation) -> (usize, u64) {
    for at in WORKERS - WORKERS / 3..WORKERS {
        sim.crash(at);
    }
    submit_short_jobs(sim, 100, 400, 12_000)
}

/// Guards against long-running tasks that hold all that is left of a pool, so that no short task
/// runs until one of them ends. Without shares, no short job of this test is in time.
#[test]
fn short_jobs_are_in_time_after_the_loss_of_a_third_of_a_full_pool() {
    let mut sim = full_pool(300, true);
    let (in_time, submitted) = lose_a_third(&mut sim);
    assert!(in_time as u64 * 10 >= submitted * 9, "{in_time} of {submitted} in time");
    assert_no_violations(&sim);
    let mut sim = full_pool(300, false);
    assert_eq!(lose_a_third(&mut sim).0, 0);
}
