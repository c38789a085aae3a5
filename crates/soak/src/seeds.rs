//! Runs seeds on several threads and returns their reports in order.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Which seeds are run, and on how many threads.
#[derive(Debug, Clone, Copy)]
pub struct Seeds {
    /// The first seed.
    pub from: u64,
    /// Number of seeds.
    pub count: u64,
    /// Number of seeds that run at once.
    pub threads: u64,
}

/// Runs each seed once and returns the reports in the order of the seeds.
pub fn run_each<R: Send>(seeds: Seeds, run: impl Fn(u64) -> R + Sync) -> Vec<R> {
    let next = AtomicU64::new(seeds.from);
    let reports: Mutex<Vec<(u64, R)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..seeds.threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.from + seeds.count {
                    return;
                }
                let report = run(seed);
                reports.lock().expect("no holder of the lock panics").push((seed, report));
            });
        }
    });
    let mut reports = reports.into_inner().expect("no holder of the lock panics");
    reports.sort_by_key(|(seed, _)| *seed);
    reports.into_iter().map(|(_, report)| report).collect()
}
