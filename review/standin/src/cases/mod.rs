//! The cases.

mod many_images;
mod removed_route;
mod zone_cut;

use std::io;
use std::thread;
use std::time::Duration;

use crate::site::Site;
use crate::worker::{self, Run};
use crate::{Outcome, Setup};

/// Runs the case of a name.
///
/// # Errors
/// Returns why it could not run.
pub fn run(case: &str, setup: &Setup) -> io::Result<Outcome> {
    match case {
        "many-images" => many_images::run(setup),
        "removed-route" => removed_route::run(setup),
        "zone-cut" => zone_cut::run(setup),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}

/// The time for which a submission may have nothing running although a task's turn has come and
/// there is room, by the rule LOST.
const STARVED_AFTER: Duration = Duration::from_secs(3);

/// How long after the end of the traffic submissions are held against the rule LOST, as
/// `finish_s` in the settings.
const FINISH: Duration = Duration::from_secs(14);

/// How long submissions are held against the rule LOST.
const WATCH: Duration = Duration::from_secs(5);

/// Holds submissions against the rule LOST for a while.
fn watch(site: &Site, chains: &mut [Chain]) {
    let until = site.record.now() + WATCH;
    while site.record.now() < until {
        let runs = site.runs.all();
        chains.iter_mut().for_each(|chain| chain.check(site, &runs));
        thread::sleep(Duration::from_millis(50));
    }
}

/// A submission whose steps follow one another.
#[derive(Debug)]
struct Chain {
    id: String,
    /// The number of tasks of each step.
    steps: Vec<usize>,
    /// Since when it has had nothing running although a task's turn has come and there is room.
    starved_since: Option<Duration>,
    /// Set once that has lasted for `STARVED_AFTER`.
    starved: bool,
}

impl Chain {
    fn new(id: &str, steps: &[usize]) -> Self {
        Self { id: id.to_string(), steps: steps.to_vec(), starved_since: None, starved: false }
    }

    /// Returns whether all tasks have ended `done`.
    fn is_done(&self, runs: &[Run]) -> bool {
        self.steps.iter().enumerate().all(|(step, count)| self.done_tasks(runs, step) == *count)
    }

    fn done_tasks(&self, runs: &[Run], step: usize) -> usize {
        let prefix = format!("{}.0.{step}.", self.id);
        let done = runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "done"));
        let mut tasks: Vec<&str> = done.filter_map(|run| run.task.strip_prefix(&prefix)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks.len()
    }

    /// Applies the rule LOST to the runs until now.
    fn check(&mut self, site: &Site, runs: &[Run]) {
        let is_running =
            runs.iter().any(|run| run.ended.is_none() && run.task.starts_with(&self.id));
        // The turn of the first step that is not done has come, since all earlier ones are done.
        let waits = !is_running && !self.is_done(runs);
        let capacity = worker::CPU * site.workers.len() as u64;
        let used: u64 = site.workers.iter().map(|worker| worker.used_cpu()).sum();
        if !waits || used * 2 >= capacity {
            self.starved_since = None;
            return;
        }
        let now = site.record.now();
        let since = *self.starved_since.get_or_insert(now);
        if !self.starved && now - since >= STARVED_AFTER {
            self.starved = true;
            site.record.line(&format!(
                "LOST: {} has had nothing running since {:.3} s although a task's turn has come; \
                 {used} of {capacity} thousandths of a core are in use",
                self.id,
                since.as_secs_f64()
            ));
        }
    }
}
