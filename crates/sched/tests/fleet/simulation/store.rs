//! The store: it holds what the leader has committed, and a new leader restores its state from it.

use std::collections::BTreeMap;

use gaplock_jobs::progress::Progress;
use gaplock_jobs::JobKey;
use gaplock_sched::claims::FormerLeaders;
use gaplock_sched::context::Term;
use gaplock_sched::message::{FencingToken, Record};
use gaplock_sched::takeover::{self, StoredState};
use gaplock_sched::{commits, Context, Event};
use gaplock_types::time::Instant;

use super::Simulation;

impl Simulation {
    /// Replaces the leader by a new one that knows only what the store and the directory hold.
    pub fn start_new_leader(&mut self) {
        self.term += 1;
        self.record_leader_change();
        self.clear_processor();
        self.inbox.begin_leadership();
        self.token += 10;
        self.writes.claim(self.term);
        let term = Term { number: self.term, token: FencingToken(self.token) };
        let mut cx = Context::open(self.settings.clone(), term, self.instant(), self.unix());
        cx.handle(self.instant(), self.unix(), Event::Config(self.config()));
        let stored = StoredState {
            jobs: self.inbox.stored_jobs(),
            progress: self.readable_progress(),
            unreadable: self.unreadable.clone(),
            cancelled: self.inbox.stored_cancels(),
            inbox_read_up_to: self.inbox.revision(),
            roster: self.roster.values().cloned().collect(),
            learned: self.learned.clone(),
            load: self.load.clone(),
            waves: self.wave_progress.values().cloned().collect(),
            evacuated: self.evacuated(),
            steering: self.steering.clone(),
            former_leaders: self.former_leaders,
        };
        takeover::restore(&mut cx, stored);
        for worker in self.workers.iter().filter(|w| w.up) {
            cx.handle(self.instant(), self.unix(), Event::Listed(worker.info.clone()));
        }
        self.cx = Some(cx);
        for wave in self.waves() {
            self.notify_leader(Event::Wave(wave));
        }
        self.carry_out_actions();
    }

    /// Returns the progress of all jobs whose stored progress is readable.
    fn readable_progress(&self) -> BTreeMap<JobKey, Progress> {
        let records = self.progress.iter().filter(|(key, _)| !self.unreadable.contains(key));
        records.map(|(key, progress)| (*key, progress.clone())).collect()
    }

    /// Makes the stored progress of a job unreadable.
    pub fn make_progress_unreadable(&mut self, key: u64) {
        self.unreadable.insert(JobKey(key));
    }

    /// Ends the leader and, after `gap` milliseconds without one, lets a successor take over.
    pub fn change_leader(&mut self, gap: u64) {
        self.lose_leader();
        self.run(gap);
        self.start_new_leader();
    }

    /// Begins the next commit, if one is due.
    pub(super) fn commit(&mut self) {
        let now = Instant(self.now);
        let Some(cx) = &mut self.cx else { return };
        let Some(records) = commits::take(cx, now) else { return };
        self.write(records);
    }

    /// Stores the records of a commit.
    pub(super) fn store(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::Progress(progress) => {
                    self.check_failed_job(&progress);
                    self.unreadable.remove(&progress.key);
                    self.progress.insert(progress.key, progress);
                }
                Record::Forget(key) => {
                    self.progress.remove(&key);
                    self.inbox.remove(key);
                    self.forgotten.insert(key);
                }
                Record::Worker(entry) => {
                    self.roster.insert(entry.info.id.clone(), entry);
                }
                Record::ForgetWorker(id) => {
                    self.roster.remove(&id);
                }
                Record::Learned(learned) => self.learned = learned,
                Record::Load(load) => self.load = load,
                Record::Wave(progress) => {
                    self.check_wave(&progress);
                    self.wave_progress.insert(progress.number, progress);
                }
                Record::ClaimSettled => self.former_leaders = FormerLeaders::default(),
            }
        }
    }
}
