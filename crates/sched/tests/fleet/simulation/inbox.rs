//! The inbox: the jobs and cancellations that hosts store, and how the leader hears of them. By default the
//! host's notice and the leader's watch arrive at once; faults delay, drop and repeat them.

use std::collections::BTreeMap;
use std::sync::Arc;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, JobKey};
use gaplock_sched::message::StoreRevision;
use gaplock_sched::Event;

use super::calls::Delivery;
use super::Simulation;

/// What the store holds for the leader to read, and the faults of the ways on which it does.
#[derive(Debug, Default)]
pub struct Inbox {
    /// The revision of the last change of the store.
    revision: StoreRevision,
    jobs: BTreeMap<JobKey, (Arc<Job>, StoreRevision)>,
    cancels: BTreeMap<JobKey, StoreRevision>,
    /// Changes that the watch has not reported yet.
    unreported: Vec<(StoreRevision, Event)>,
    /// Whether a listing takes the place of the watch now.
    is_listing: bool,
    /// Whether the watch reports nothing.
    pub watch_is_silent: bool,
    /// Whether the notices of hosts are lost.
    pub notices_are_lost: bool,
    /// How long a notice is under way, in milliseconds.
    pub notice_delay_ms: u64,
}

/// What a reading of the inbox has found, in the order of writing, and the revision at which it began.
#[derive(Debug, Clone)]
pub struct Listing {
    found: BTreeMap<StoreRevision, Event>,
    began_at: StoreRevision,
}

impl Inbox {
    /// Stores a job; returns the event that reports it.
    fn store_job(&mut self, job: &Arc<Job>) -> Event {
        self.revision.0 += 1;
        self.jobs.insert(job.key, (Arc::clone(job), self.revision));
        Event::Job(Arc::clone(job), self.revision)
    }

    /// Stores a cancellation; returns the event that reports it.
    fn store_cancel(&mut self, key: JobKey) -> Event {
        self.revision.0 += 1;
        let stored_at = *self.cancels.entry(key).or_insert(self.revision);
        Event::Cancel(key, stored_at)
    }

    /// Removes a job with its cancellation.
    pub(super) fn remove(&mut self, key: JobKey) {
        self.revision.0 += 1;
        self.jobs.remove(&key);
        self.cancels.remove(&key);
    }

    /// Drops what the former leader's watch has not reported: the next leader has read it.
    pub(super) fn begin_leadership(&mut self) {
        self.unreported.clear();
        self.is_listing = false;
    }

    /// Lists the stored jobs.
    pub(super) fn stored_jobs(&self) -> Vec<(Arc<Job>, StoreRevision)> {
        self.jobs.values().cloned().collect()
    }

    /// Lists the stored cancellations.
    pub(super) fn stored_cancels(&self) -> Vec<(JobKey, StoreRevision)> {
        self.cancels.iter().map(|(key, at)| (*key, *at)).collect()
    }

    /// Returns the revision of the last change.
    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Adds what is stored now, as far as its key is in the given half of all keys.
    fn add_page(&self, listing: &mut Listing, odd: bool) {
        let is_on_page = |key: &JobKey| (key.0 % 2 == 1) == odd;
        for (job, at) in self.jobs.values().filter(|(job, _)| is_on_page(&job.key)) {
            listing.found.insert(*at, Event::Job(Arc::clone(job), *at));
        }
        for (key, at) in self.cancels.iter().filter(|(key, _)| is_on_page(key)) {
            listing.found.insert(*at, Event::Cancel(*key, *at));
        }
    }
}

impl Simulation {
    /// Stores a job that a host has accepted, and reports it.
    pub(super) fn store_submitted(&mut self, job: &Arc<Job>) {
        self.jobs.insert(job.key, Arc::clone(job));
        self.forgotten.remove(&job.key);
        self.cancelled.remove(&job.key);
        let event = self.inbox.store_job(job);
        self.report_stored(event);
    }

    /// Stores a cancellation, and reports it.
    pub(super) fn store_cancelled(&mut self, key: JobKey) {
        let event = self.inbox.store_cancel(key);
        self.report_stored(event);
    }

    /// Stores a job and its cancellation, of which the leader hears first.
    pub(super) fn store_cancelled_before_reported(&mut self, job: &Arc<Job>, gap: u64) {
        self.jobs.insert(job.key, Arc::clone(job));
        let (stored, cancelled) = (self.inbox.store_job(job), self.inbox.store_cancel(job.key));
        self.record_cancelled(job.key);
        self.notify_leader(cancelled);
        self.run(gap);
        self.notify_leader(stored);
        self.report_inbox_read();
    }

    fn report_stored(&mut self, event: Event) {
        let revision = self.inbox.revision;
        if !self.inbox.notices_are_lost {
            self.send_notice(event.clone());
        }
        self.inbox.unreported.push((revision, event));
        self.read_watch();
    }

    /// Sends the notice of a host, which arrives after the present delay.
    fn send_notice(&mut self, event: Event) {
        match self.inbox.notice_delay_ms {
            0 => self.notify_leader(event),
            delay => self.send(delay, Delivery::ToAnyLeader { event }),
        }
    }

    /// Sends the notice of a stored job once more, as the host does that gets the job again.
    pub fn repeat_notice(&mut self, key: u64) {
        if let Some((job, at)) = self.inbox.jobs.get(&JobKey(key)).cloned() {
            self.send_notice(Event::Job(job, at));
        }
    }

    /// Sends the notice of a stored cancellation once more.
    pub fn repeat_cancel_notice(&mut self, key: u64) {
        if let Some(at) = self.inbox.cancels.get(&JobKey(key)).copied() {
            self.send_notice(Event::Cancel(JobKey(key), at));
        }
    }

    /// Lets the watch report what it has not reported yet, unless it is silent.
    pub fn read_watch(&mut self) {
        if self.inbox.watch_is_silent || self.inbox.is_listing {
            return;
        }
        let unreported = std::mem::take(&mut self.inbox.unreported);
        unreported.into_iter().for_each(|(_, event)| self.notify_leader(event));
        self.report_inbox_read();
    }

    fn report_inbox_read(&mut self) {
        let read = Event::InboxRead(self.inbox.revision);
        self.notify_leader(read);
    }

    /// Makes the store forget its history, so that the leader lists the inbox, unless it does so already. The first
    /// page is read now, the second one after `pause` milliseconds, and the leader handles both after as many more.
    pub fn forget_history(&mut self, pause: u64) {
        if self.cx.is_none() || std::mem::replace(&mut self.inbox.is_listing, true) {
            return;
        }
        let mut listing = Listing { found: BTreeMap::new(), began_at: self.inbox.revision };
        self.inbox.add_page(&mut listing, false);
        self.send(pause.max(1), Delivery::SecondPage { listing, leader: self.term, pause });
    }

    /// Reads the second page of a listing.
    pub(super) fn read_second_page(&mut self, mut listing: Listing, leader: u64, pause: u64) {
        self.inbox.add_page(&mut listing, true);
        self.send(pause.max(1), Delivery::Listed { listing, leader });
    }

    /// Hands a completed listing to the leader that asked for it.
    pub(super) fn handle_listing(&mut self, listing: Listing, leader: u64) {
        if leader != self.term {
            return;
        }
        let began_at = listing.began_at;
        listing.found.into_values().for_each(|event| self.notify_leader(event));
        self.notify_leader(Event::InboxRead(began_at));
        self.inbox.unreported.retain(|(revision, _)| *revision > began_at);
        self.inbox.is_listing = false;
        self.read_watch();
    }

    /// Returns whether the store holds a job.
    pub fn is_stored(&self, key: u64) -> bool {
        self.inbox.jobs.contains_key(&JobKey(key))
    }

    /// Lists the jobs that the store holds.
    pub fn stored_job_keys(&self) -> Vec<JobKey> {
        self.inbox.jobs.keys().copied().collect()
    }

    /// Returns the state of a job in the leader's table, if the leader knows it.
    pub fn leader_state(&self, key: u64) -> Option<JobState> {
        Some(self.cx.as_ref()?.jobs.get(&JobKey(key))?.state)
    }

    /// Returns whether the leader knows a job.
    pub fn leader_knows(&self, key: u64) -> bool {
        self.leader_state(key).is_some()
    }

    /// Drops what the checks know of a removed job, before another one is submitted under its key.
    pub fn clear_history_of(&mut self, key: u64) {
        let key = JobKey(key);
        self.recorded_done.retain(|task| task.job != key);
        self.done.retain(|task| task.job != key);
        self.started_at.retain(|task, _| task.job != key);
        self.forget_cancellation(key);
    }
}
