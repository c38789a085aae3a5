//! How many lines a new leader logs about the workers that it finds in the directory.

use std::io;
use std::sync::{Arc, Mutex};

use gaplock_sched::context::Term;
use gaplock_sched::message::{FencingToken, RosterEntry, WorkerInfo};
use gaplock_sched::takeover::{self, StoredState};
use gaplock_sched::{Context, Event, Settings};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Instant;

const NOW: u64 = 10_000;

/// A log writer that keeps everything in memory.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl io::Write for Log {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no thread panics while it holds the log lock").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn worker(n: usize, draining: bool) -> WorkerInfo {
    WorkerInfo {
        id: ids::WorkerId(format!("worker-{n:04}")),
        addr: format!("worker-{n}:1"),
        service: "pool".into(),
        domain: "hall".into(),
        labels: Vec::new(),
        capacity: Resources::new(16_000, 64_000, 0),
        draining,
        remaining: None,
    }
}

/// Lets a leader take over a roster of workers and read the directory, which lists the first `draining` of them
/// as draining and all others as ready. Returns how many `worker_listed` lines the leader logged.
fn listed_lines(workers: usize, draining: usize) -> usize {
    let log = Log::default();
    let written = log.clone();
    let subscriber = tracing_subscriber::fmt().with_writer(move || written.clone()).finish();
    tracing::subscriber::with_default(subscriber, || {
        let term = Term { number: 2, token: FencingToken(2) };
        let mut cx = Context::open(Settings::default(), term, Instant(NOW), NOW);
        let roster = (0..workers).map(|n| RosterEntry { info: worker(n, false), holds: None });
        takeover::restore(
            &mut cx,
            StoredState { roster: roster.collect(), ..StoredState::default() },
        );
        for n in 0..workers {
            cx.handle(Instant(NOW), NOW, Event::Listed(worker(n, n < draining)));
        }
    });
    let text = log.0.lock().expect("no thread panics while it holds the log lock").clone();
    String::from_utf8_lossy(&text).matches("worker_listed").count()
}

#[test]
fn a_takeover_logs_as_many_lines_on_four_times_the_fleet() {
    assert_eq!(listed_lines(50, 0), listed_lines(200, 0));
}

#[test]
fn a_takeover_logs_workers_whose_entry_has_changed() {
    assert_eq!(listed_lines(50, 3), 3);
}
