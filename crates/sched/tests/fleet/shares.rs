//! Shares of classes of work in a pool that long-running tasks fill, on virtual time: short tasks
//! get room while they wait, and long-running tasks lose no more than their caller allows.

use gaplock_jobs::{Job, Step};
use gaplock_types::sizes::Resources;

use gaplock_types::ids;

use crate::simulation::{
    assert_no_runnable_task_waits, assert_no_violations, job, step, Faults, Simulation, SERVICE,
};

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

/// The fewest tasks of each long-running job that were running at any time since the start.
type Fewest = [usize; SERVICES.end as usize];

/// Lets `ms` milliseconds pass and records in `fewest` how many tasks of each long-running job run.
fn run_and_watch(sim: &mut Simulation, ms: u64, fewest: &mut Fewest) {
    for _ in 0..ms / 10 {
        sim.run(10);
        for key in SERVICES {
            let fewest = &mut fewest[key as usize];
            *fewest = (*fewest).min(sim.running_of(key));
        }
    }
}

/// Fails the test if more tasks of a job were unavailable than its caller allows.
fn assert_enough_available(fewest: &Fewest) {
    for key in SERVICES {
        let least = (TASKS_PER_SERVICE - MAY_MISS) as usize;
        let fewest = fewest[key as usize];
        assert!(fewest >= least, "only {fewest} tasks of long-running job {key} were running");
    }
}

/// Returns how many tasks the leader has preempted since it enforces shares; `None` while it does
/// not.
fn preempted(sim: &Simulation) -> Option<u32> {
    let pool = ids::ServiceId::from(SERVICE);
    let cx = sim.cx.as_ref().expect("the leader is running");
    cx.class_shares.enforcement(&pool).map(|enforcement| enforcement.preempted)
}

/// Submits short jobs that need more than the free worker, until a task has been preempted.
fn run_until_preempted(sim: &mut Simulation, fewest: &mut Fewest) {
    for key in 1_000..1_050 {
        sim.submit(short_job(key));
        run_and_watch(sim, 100, fewest);
        if preempted(sim).is_some_and(|count| count > 0) {
            return;
        }
    }
    panic!("no task was preempted within 5 s");
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

/// Guards against short jobs that are late when two classes arrive at once, and against more
/// unavailable tasks of a long-running job than its caller allows.
#[test]
fn two_classes_at_once_keep_both_within_their_bounds() {
    let mut sim = full_pool(301, true);
    let mut fewest = [usize::MAX; SERVICES.end as usize];
    for key in 0..60 {
        if key % 10 == 0 {
            sim.submit(service(50 + key));
        }
        sim.submit(short_job(100 + key));
        run_and_watch(&mut sim, 250, &mut fewest);
    }
    run_and_watch(&mut sim, SHORT_JOB_LIMIT_MS, &mut fewest);
    let done = (100..160).filter(|&key| sim.is_completed(key)).count();
    assert_eq!(done, 60, "short jobs are left {SHORT_JOB_LIMIT_MS} ms after the last one");
    assert_enough_available(&fewest);
    assert_no_violations(&sim);
}

/// Guards against a new leader that preempts beside a stop of its predecessor, of which it does not
/// know.
#[test]
fn a_change_of_leader_during_a_preemption_exceeds_no_limit() {
    for gap in [0, 200, 700] {
        let mut sim = full_pool(302, true);
        let mut fewest = [usize::MAX; SERVICES.end as usize];
        run_until_preempted(&mut sim, &mut fewest);
        sim.change_leader(gap);
        for key in 2_000..2_060 {
            sim.submit(short_job(key));
            run_and_watch(&mut sim, 150, &mut fewest);
        }
        assert_enough_available(&fewest);
        assert_no_violations(&sim);
    }
}

/// Guards against a preempted task that is lost if its worker crashes during the stop, and against
/// another preemption of its job while it is not known to run.
#[test]
fn a_worker_lost_during_a_preemption_costs_its_jobs_nothing_more() {
    let mut sim = full_pool(303, true);
    let mut fewest = [usize::MAX; SERVICES.end as usize];
    run_until_preempted(&mut sim, &mut fewest);
    let cx = sim.cx.as_ref().expect("the leader is running");
    let pool = ids::ServiceId::from(SERVICE);
    let stop = cx.class_shares.pools[&pool].under_way[0];
    let name = cx.worker(stop.worker).info.id.clone();
    let at = sim.workers.iter().position(|w| w.info.id == name).expect("the worker is simulated");
    let there = sim.running_at(at);
    sim.crash(at);
    let mut fewest = [usize::MAX; SERVICES.end as usize];
    for key in 2_000..2_060 {
        sim.submit(short_job(key));
        run_and_watch(&mut sim, 150, &mut fewest);
    }
    let missing: usize =
        SERVICES.map(|key| TASKS_PER_SERVICE as usize - fewest[key as usize]).sum();
    let others = SERVICES.count();
    assert!(missing <= there + others * MAY_MISS as usize, "{missing} tasks were unavailable");
    assert_no_runnable_task_waits(&mut sim);
    assert_no_violations(&sim);
}

/// Within how many milliseconds a long-running task must be started beside room for twice its
/// demand.
const RESTART_LIMIT_MS: u64 = 3_000;

/// Guards against long-running tasks that wait for their class's share although there is plenty of
/// room, which the waiting short tasks do not fit into for want of memory.
#[test]
fn a_restart_does_not_wait_beside_room_for_twice_its_demand() {
    let mut sim = Simulation::open(304, 0);
    sim.settings.class_shares = true;
    sim.start_new_leader();
    for n in 0..4 {
        sim.add_worker(&format!("w{n}"));
    }
    let long = |key, millicores, count| {
        let demand = Resources::new(millicores, 512, 0);
        job(key, vec![Step { lasting: true, demand, ..step(count, &[]) }])
    };
    sim.submit(long(1, TASK_MILLICORES, 1));
    sim.run(100);
    let at = sim.busy_worker();
    sim.submit(long(2, 3 * TASK_MILLICORES, 1));
    sim.run(100);
    sim.submit(long(3, 4 * TASK_MILLICORES, 2));
    sim.run(100);
    sim.submit(long(4, 2 * TASK_MILLICORES, 1));
    sim.run(100);
    assert_eq!(sim.running_at(at), 2);
    let whole_memory = Resources::new(TASK_MILLICORES, 16_000, 0);
    sim.submit(job(5, vec![Step { demand: whole_memory, ..step(10, &[]) }]));
    sim.run(500);
    sim.drain(at, 20_000);
    sim.run(RESTART_LIMIT_MS - 500);
    assert_eq!(sim.running_of(1), 0, "the task is not held to its share");
    sim.run(700);
    assert_eq!(sim.running_of(1), 1, "the task waits beside room for twice its demand");
    assert_no_violations(&sim);
}

/// Guards against processors that are left idle for the sake of a share: the waiting short tasks
/// fit nowhere, and a new long-running task does.
#[test]
fn long_running_tasks_take_room_that_is_too_small_for_waiting_short_tasks() {
    let mut sim = full_pool(307, true);
    sim.submit(job(90, vec![Step { lasting: true, demand: demand(), ..step(2, &[]) }]));
    sim.run(200);
    let whole = Resources::new(4 * TASK_MILLICORES, 512, 0);
    sim.submit(job(1_000, vec![Step { demand: whole, ..step(8, &[]) }]));
    sim.run(300);
    assert!(preempted(&sim).is_some(), "shares are not enforced");
    sim.submit(job(91, vec![Step { lasting: true, demand: demand(), ..step(2, &[]) }]));
    sim.run(200);
    assert_eq!(sim.running_of(91), 2);
    assert_no_violations(&sim);
}

/// Guards against tasks that are held back after the last short task has ended.
#[test]
fn nothing_that_fits_waits_once_short_tasks_have_ended() {
    let mut sim = full_pool(305, true);
    run_until_preempted(&mut sim, &mut [0; SERVICES.end as usize]);
    assert_no_runnable_task_waits(&mut sim);
    assert_eq!(preempted(&sim), None);
    assert_no_violations(&sim);
}

/// Returns the number of runs at each worker every 10 ms while `load` is submitted, until shares
/// are enforced or 10 s have passed.
fn placements(class_shares: bool, until_enforced: &mut u64, period: u64) -> Vec<Vec<usize>> {
    let mut sim = full_pool(306, class_shares);
    sim.add_worker("a");
    sim.add_worker("b");
    let mut seen = Vec::new();
    for at in 0..1_000 {
        if at % period == 0 {
            sim.submit(short_job(100 + at));
        }
        if class_shares && preempted(&sim).is_some() {
            *until_enforced = (*until_enforced).min(at);
        }
        if at == 200 {
            sim.crash(0);
        }
        seen.push((0..WORKERS).map(|at| sim.running_at(at)).collect());
        sim.run(10);
    }
    assert_no_violations(&sim);
    seen
}

/// Guards against decisions that differ from those without shares although no short task has
/// waited, and against differences before shares are enforced.
#[test]
fn without_waiting_short_tasks_decisions_do_not_depend_on_shares() {
    let mut enforced_at = u64::MAX;
    assert!(placements(true, &mut enforced_at, 80) == placements(false, &mut enforced_at, 80));
    assert_eq!(enforced_at, u64::MAX, "short tasks waited");
    let mut enforced_at = u64::MAX;
    let with = placements(true, &mut enforced_at, 15);
    let without = placements(false, &mut enforced_at, 15);
    let same = enforced_at as usize;
    assert!(same < with.len(), "shares were never enforced");
    assert!(with[..same] == without[..same]);
    assert!(with != without);
}

/// Guards against violated guarantees, and tasks that are held back for ever, when shares are
/// enforced while calls are lost, workers crash and leaders change.
#[test]
fn guarantees_hold_under_faults_while_shares_are_enforced() {
    for seed in 400..403 {
        let mut sim = full_pool(seed, true);
        let (lost_per_mille, unanswered_per_mille) = (20, 20);
        sim.faults = Faults { lost_per_mille, unanswered_per_mille, ..Faults::default() };
        let mut was_enforced = false;
        for key in 0..60 {
            if key % 12 == 0 {
                sim.submit(service(500 + key));
            }
            let demand = Resources::new(1_000 + 500 * sim.draw(14) as u32, 512, 0);
            sim.submit(job(100 + key, vec![Step { demand, ..step(4, &[]) }]));
            let ms = sim.draw(400);
            sim.run(ms);
            was_enforced |= preempted(&sim).is_some();
            match key {
                20 => sim.crash(3),
                40 => sim.change_leader(500),
                _ => {}
            }
        }
        assert!(was_enforced, "seed {seed}: shares were never enforced");
        sim.faults = Faults::default();
        sim.run(60_000);
        assert_no_runnable_task_waits(&mut sim);
        assert_no_violations(&sim);
    }
}
