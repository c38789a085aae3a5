//! The operators' configuration: which queues it has, and what the store keeps of queues that it no longer has.

use std::sync::Arc;

use gaplock_jobs::config::{Config, Pool};
use gaplock_jobs::{Job, JobKey};
use gaplock_sched::{requests, Event};

use super::{builders, Simulation};

impl Simulation {
    /// Adds a pool to the configuration.
    pub fn add_pool_to_config(&mut self, pool: &str) {
        let added = Pool { service: pool.into(), guards_capacity: true, headroom: false };
        self.change_config(|config| config.pools.push(added));
    }

    /// Puts a new version of the configuration into force.
    pub fn change_config(&mut self, change: impl FnOnce(&mut Config)) {
        let mut config = Config::clone(&self.config());
        config.version += 1;
        change(&mut config);
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        self.notify_leader(Event::Config(config));
    }

    /// Puts the queues into force that a simulation begins with.
    pub fn reset_queues(&mut self) {
        let queues = builders::config(self.advice).queues.clone();
        self.change_config(|config| config.queues = queues);
    }

    /// Returns whether the configuration has the queue that every job goes to.
    pub fn has_queue(&self) -> bool {
        self.config().queue(super::QUEUE).is_some()
    }

    /// Returns the configuration in force.
    pub(super) fn config(&self) -> Arc<Config> {
        self.config.clone().unwrap_or_else(|| builders::config(self.advice))
    }

    /// Returns a job as the host stores it that accepts it.
    pub(super) fn accepted(&self, job: Job) -> Job {
        let queue = self.config().queue(&job.queue).filter(|_| !self.hosts_are_old).cloned();
        Job { accepting_queue: queue, ..job }
    }

    /// Removes the queues from the stored progress, as if a leader of an earlier version had written it.
    pub fn forget_stored_queues(&mut self) {
        self.progress.values_mut().for_each(|progress| progress.queue = None);
    }

    /// Returns the name of the queue under which callers look for a job.
    pub fn queue_that_lists(&self, key: u64) -> String {
        let cx = self.cx.as_ref().expect("there is a leader");
        requests::listed_under(cx, &cx.jobs[&JobKey(key)].job).to_string()
    }
}
