//! Tests that each check reports a violation of its invariant.

use gaplock_types::codes::Code;
use gaplock_types::sizes::Resources;
use gaplock_types::{ids, wire};
use gaplock_verify::{EntryCheck, Fact, Invariant, PartitionCheck};

fn run(attempt: u32) -> wire::Run {
    let job = ids::JobId { home: ids::PartitionId(0), number: 1 };
    wire::Run { task: ids::TaskId { job, index: 0 }, attempt: ids::Attempt(attempt) }
}

fn assigned<'a>(attempt: u32, worker: &'a ids::WorkerId, resume_ms: u64) -> Fact<'a> {
    let demand = Resources::new(600, 10, 0);
    let capacity = Some(Resources::new(1_000, 100, 0));
    Fact::Assigned { run: run(attempt), worker, demand, capacity, resume_ms }
}

fn violated(check: &mut PartitionCheck, fact: &Fact<'_>) -> Option<Invariant> {
    check.check(fact).err().map(|v| v.invariant)
}

#[test]
fn a_task_is_not_assigned_twice_nor_started_before_it_is_stored() {
    let mut c = PartitionCheck::default();
    let (w, other) = (ids::WorkerId::from("w"), ids::WorkerId::from("other"));
    assert_eq!(violated(&mut c, &Fact::Owned(ids::Epoch(2))), None);
    assert_eq!(violated(&mut c, &assigned(1, &w, 0)), None);
    let start = |worker, epoch| Fact::StartSent {
        run: run(1),
        worker,
        epoch: ids::Epoch(epoch),
        leaving_and_new: false,
    };
    assert_eq!(violated(&mut c, &start(&w, 2)), Some(Invariant::StoredFirst));
    assert_eq!(violated(&mut c, &Fact::Stored(run(1))), None);
    assert_eq!(violated(&mut c, &start(&w, 2)), None);
    assert_eq!(violated(&mut c, &start(&other, 2)), Some(Invariant::OnePlace));
    assert_eq!(violated(&mut c, &start(&w, 1)), Some(Invariant::OnePlace));
    assert_eq!(violated(&mut c, &assigned(2, &other, 0)), Some(Invariant::OnePlace));
    let leaving =
        Fact::StartSent { run: run(1), worker: &w, epoch: ids::Epoch(2), leaving_and_new: true };
    assert_eq!(violated(&mut c, &leaving), Some(Invariant::LeavingGetsNothing));
}

#[test]
fn evicted_work_resumes_once_from_its_checkpoint() {
    let mut c = PartitionCheck::default();
    let w = ids::WorkerId::from("w");
    c.check(&assigned(1, &w, 0)).unwrap();
    let requeued = |ms| Fact::Requeued { run: run(1), checkpoint_ms: ms };
    assert_eq!(violated(&mut c, &requeued(500)), None);
    assert_eq!(violated(&mut c, &requeued(500)), Some(Invariant::ResumeOnce));
    assert_eq!(violated(&mut c, &assigned(2, &w, 0)), Some(Invariant::ResumeOnce));
    assert_eq!(violated(&mut c, &assigned(3, &w, 500)), Some(Invariant::ResumeOnce));
    assert_eq!(violated(&mut c, &assigned(2, &w, 500)), None);
}

#[test]
fn assignments_stay_within_a_workers_capacity_and_epochs_rise() {
    let mut c = PartitionCheck::default();
    let w = ids::WorkerId::from("w");
    c.check(&assigned(1, &w, 0)).unwrap();
    let job = ids::JobId { home: ids::PartitionId(0), number: 2 };
    let second = wire::Run { task: ids::TaskId { job, index: 0 }, attempt: ids::Attempt(1) };
    let fact = Fact::Assigned {
        run: second,
        worker: &w,
        demand: Resources::new(600, 10, 0),
        capacity: Some(Resources::new(1_000, 100, 0)),
        resume_ms: 0,
    };
    assert_eq!(violated(&mut c, &fact), Some(Invariant::Capacity));
    c.check(&Fact::Owned(ids::Epoch(3))).unwrap();
    assert_eq!(violated(&mut c, &Fact::Owned(ids::Epoch(3))), Some(Invariant::EpochRises));
}

#[test]
fn repeated_requests_falling_generations_and_false_not_run_reports_are_violations() {
    let mut c = EntryCheck::default();
    let (partner, key) = ("p".into(), "k".into());
    c.once(&partner, &key).unwrap();
    assert_eq!(c.once(&partner, &key).unwrap_err().invariant, Invariant::AtMostOnce);
    c.once_not_run(&partner, &key);
    c.once(&partner, &key).unwrap();
    c.generation(ids::Generation(4)).unwrap();
    let older = c.generation(ids::Generation(3)).unwrap_err();
    assert_eq!(older.invariant, Invariant::GenerationRises);
    let false_refusal = c.refusal(Code::Overloaded, true).unwrap_err();
    assert_eq!(false_refusal.invariant, Invariant::NotRunIsTrue);
    c.refusal(Code::UpstreamFailed, true).unwrap();
}
