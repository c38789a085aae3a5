//! The leader's work for each worker must not grow with the size of the fleet.

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

/// Builds a leader that has seen so many workers in the directory and has received a report from each, so
/// that it adds them to its roster.
fn leader_with_roster(workers: usize) -> Context {
    let term = Term { number: 1, token: FencingToken(1) };
    let mut cx = Context::open(Settings::default(), term, Instant(NOW), NOW);
    for n in 0..workers {
        cx.handle(Instant(NOW), NOW, Event::Listed(worker(n)));
    }
    for n in 0..workers {
        let (running, ends) = (Vec::new(), Vec::new());
        let report = WorkerReport { worker: None, clock: WorkerClock(NOW), running, ends };
        let (worker, sent) = (WorkerIx(n as u32), Instant(NOW));
        let outcome = Outcome::Done(report);
        cx.handle(Instant(NOW), NOW, Event::Renewed { worker, sent, outcome });
    }
    cx
}

/// Returns the shortest of several timed runs, which other load on the machine distorts least.
fn shortest_time(f: impl Fn()) -> Duration {
    let times = (0..5).map(|_| {
        let began = StdInstant::now();
        f();
        began.elapsed()
    });
    times.min().unwrap_or_default()
}

#[test]
fn adding_a_worker_to_the_roster_costs_no_more_on_a_larger_fleet() {
    let [small, large] = [1_500, 12_000].map(|workers| {
        shortest_time(|| drop(leader_with_roster(workers))).as_secs_f64() / workers as f64
    });
    let ratio = large / small;
    assert!(
        ratio < 4.0,
        "adding a worker takes {ratio:.1} times as long on a fleet 8 times as large"
    );
}

#[test]
fn a_commit_names_each_worker_once() {
    let mut cx = leader_with_roster(3);
    cx.handle(Instant(NOW), NOW, Event::Unlisted(ids::WorkerId("worker-000001".into())));
    cx.handle(Instant(NOW + 100), NOW, Event::Tick);
    let records = commits::take(&mut cx, Instant(NOW + 100))
        .expect("three new workers are due to be added to the roster");
    let named = records.iter().filter_map(|record| match record {
        Record::Worker(entry) => Some(entry.info.id.to_string()),
        Record::ForgetWorker(id) => Some(format!("{id} forgotten")),
        _ => None,
    });
    let mut named: Vec<String> = named.collect();
    named.sort();
    assert_eq!(named, ["worker-000000", "worker-000001 forgotten", "worker-000002"]);
}
