//! What a leader's work costs for each worker of a larger fleet.

use std::time::{Duration, Instant as StdInstant};

use gaplock_sched::context::Term;
use gaplock_sched::message::{
    FencingToken, Outcome, Record, WorkerClock, WorkerInfo, WorkerIx, WorkerReport,
};
use gaplock_sched::{commits, Context, Event, Settings};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Instant;

const NOW: u64 = 10_000;

fn worker(n: usize) -> WorkerInfo {
    WorkerInfo {
        id: ids::WorkerId(format!("worker-{n:06}")),
        addr: format!("worker-{n}:1"),
        service: "pool".into(),
        domain: "hall".into(),
        labels: Vec::new(),
        capacity: Resources::new(16_000, 64_000, 0),
        draining: false,
        remaining: None,
    }
}

/// Lets a leader hear of so many workers and of an account of each, upon which it enters them in the roster.
fn entered(workers: usize) -> Context {
    let term = Term { number: 1, token: FencingToken(1) };
    let mut cx = Context::open(Settings::default(), term, Instant(NOW), NOW);
    for n in 0..workers {
        cx.handle(Instant(NOW), NOW, Event::Listed(worker(n)));
    }
    for n in 0..workers {
        let (running, ends) = (Vec::new(), Vec::new());
        let account = WorkerReport { worker: None, clock: WorkerClock(NOW), running, ends };
        let (worker, sent) = (WorkerIx(n as u32), Instant(NOW));
        let outcome = Outcome::Done(account);
        cx.handle(Instant(NOW), NOW, Event::Renewed { worker, sent, outcome });
    }
    cx
}

/// Returns the least time of several tries, which other load on the machine changes least.
fn least_time(f: impl Fn()) -> Duration {
    let times = (0..5).map(|_| {
        let began = StdInstant::now();
        f();
        began.elapsed()
    });
    times.min().unwrap_or_default()
}

#[test]
fn entering_a_worker_in_the_roster_costs_no_more_on_a_larger_fleet() {
    let [small, large] = [1_500, 12_000]
        .map(|workers| least_time(|| drop(entered(workers))).as_secs_f64() / workers as f64);
    let ratio = large / small;
    assert!(ratio < 4.0, "{ratio:.1} times the time for each worker of eight times the fleet");
}

#[test]
fn a_commit_names_each_worker_once() {
    let mut cx = entered(3);
    cx.handle(Instant(NOW), NOW, Event::Unlisted(ids::WorkerId("worker-000001".into())));
    cx.handle(Instant(NOW + 100), NOW, Event::Tick);
    let records = commits::take(&mut cx, Instant(NOW + 100)).expect("workers are to be entered");
    let named = records.iter().filter_map(|record| match record {
        Record::Worker(entry) => Some(entry.info.id.to_string()),
        Record::ForgetWorker(id) => Some(format!("{id} forgotten")),
        _ => None,
    });
    let mut named: Vec<String> = named.collect();
    named.sort();
    assert_eq!(named, ["worker-000000", "worker-000001 forgotten", "worker-000002"]);
}
