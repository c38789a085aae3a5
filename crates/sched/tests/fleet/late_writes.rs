//! Commits that the store carries out late: after their repeat, after its refusal, or after a newer
//! leader's claim.
//!
//! Guards against tasks that ended as done and are started again under the next leader. A commit
//! without an answer was repeated, the repeat was refused, the next commit had the same identifier,
//! and the late commit was taken for it. The cause: an answer to a repeated call was taken for the
//! outcome of the call. The logs of days that were run again show it
//! (`docs/incidents/twice-after-late-call.md`). The simulation checks that what the leader
//! considers stored is what the store holds, and that no task starts after its end was
//! acknowledged.

use crate::simulation::{
    assert_all_jobs_end, assert_no_violations, job, step, Faults, Simulation, WriteFaults,
};

/// No write gets an answer, and each is carried out seconds later.
const ALL_WRITES_LATE: WriteFaults = WriteFaults {
    lost_per_mille: 0,
    unanswered_per_mille: 0,
    late_per_mille: 1_000,
    refused_per_mille: 0,
};

/// All kinds of write faults.
const MIXED_WRITE_FAULTS: WriteFaults = WriteFaults {
    lost_per_mille: 50,
    unanswered_per_mille: 100,
    late_per_mille: 150,
    refused_per_mille: 150,
};

/// All kinds of order faults except refusals by overloaded workers.
const ORDER_FAULTS: Faults = Faults {
    lost_per_mille: 20,
    unanswered_per_mille: 50,
    late_per_mille: 50,
    failing_per_mille: 20,
    unhealthy_per_mille: 0,
};

#[test]
fn a_commit_carried_out_after_its_repeat_was_refused_is_not_taken_for_a_newer_one() {
    let mut world = Simulation::open(101, 2);
    world.run(100);
    world.write_faults = ALL_WRITES_LATE;
    world.submit(job(1, vec![step(4, &[]), step(4, &[0])]));
    world.run(600);
    world.write_faults = WriteFaults::default();
    world.store_down = true;
    world.run(9_000);
    world.store_down = false;
    world.run(2_000);
    world.start_new_leader();
    world.run(3_000);
    assert!(world.is_completed(1));
    assert_eq!(world.starts, 8, "tasks were started again after their ends");
    assert_no_violations(&world);
}

#[test]
fn a_late_commit_of_a_previous_leader_changes_nothing() {
    let mut world = Simulation::open(102, 2);
    world.run(100);
    world.write_faults = ALL_WRITES_LATE;
    world.submit(job(1, vec![step(4, &[])]));
    world.run(1_000);
    world.start_new_leader();
    world.write_faults = WriteFaults::default();
    world.run(12_000);
    assert!(world.is_completed(1));
    assert_eq!(world.starts, 4, "tasks were started again after their ends");
    assert_no_violations(&world);
}

#[test]
fn late_writes_and_orders_run_no_task_twice_across_leaders() {
    for seed in 0..30 {
        let mut world = Simulation::open(seed, 6);
        world.faults = ORDER_FAULTS;
        world.write_faults = MIXED_WRITE_FAULTS;
        for key in 0..20 {
            world.submit(job(key, vec![step(5, &[]), step(3, &[0])]));
            world.run(200);
            match world.draw(10) {
                0 => change_leader(&mut world),
                1 => refuse_writes_for_a_while(&mut world),
                _ => {}
            }
        }
        assert_all_jobs_end(&mut world, seed);
    }
}

fn change_leader(world: &mut Simulation) {
    let gap = world.draw(3_000);
    world.change_leader(gap);
}

/// Makes the store refuse writes for up to 6 s while tasks end, whether or not a commit is under
/// way.
fn refuse_writes_for_a_while(world: &mut Simulation) {
    let length = world.draw(6_000);
    world.store_down = true;
    world.run(length);
    world.store_down = false;
}
