//! Notifies the leader of the jobs and cancellations that this host has stored, until it answers. The
//! leader's watch of the inbox would find them too, but later. `gaplock_policy::announcements` decides
//! when a notice is repeated.

use std::sync::{Arc, Mutex};

use async_channel::{Receiver, Sender};
use async_std::task;
use gaplock_jobs::{Job, JobKey};
use gaplock_policy::announcements::{self, Announcements, Step};
use gaplock_policy::refusals::StoreRevision;
use gaplock_remote::clock;
use gaplock_types::time::{Instant, Millis};

use crate::node::Node;

/// Something that a host has stored for a caller.
#[derive(Debug, Clone)]
pub enum Notice {
    /// A job.
    Job {
        /// The job.
        job: Arc<Job>,
        /// The revision at which it is stored.
        stored_at: StoreRevision,
    },
    /// The cancellation of a job.
    Cancel {
        /// The job.
        key: JobKey,
        /// The revision at which the cancellation is stored.
        stored_at: StoreRevision,
    },
}

impl Notice {
    /// Returns the job that it is about.
    pub fn key(&self) -> JobKey {
        match self {
            Self::Job { job, .. } => job.key,
            Self::Cancel { key, .. } => *key,
        }
    }
}

/// The notices that this host has to repeat.
pub struct Unanswered {
    list: Mutex<Announcements<Notice>>,
    added: (Sender<()>, Receiver<()>),
}

const LOCK: &str = "no holder of the lock panics";

/// Builds an empty list, given the time within which a cancellation must take effect.
pub fn open(cancel_limit: Millis) -> Unanswered {
    let list = Mutex::new(announcements::open(cancel_limit));
    Unanswered { list, added: async_channel::bounded(1) }
}

impl Unanswered {
    fn add(&self, first_sent: Instant, notice: Notice) {
        self.list.lock().expect(LOCK).add(first_sent, notice);
        // A full queue already holds such a message.
        let _ignored = self.added.0.try_send(());
    }

    fn next_step(&self) -> Step<Notice> {
        self.list.lock().expect(LOCK).next_step(clock::now())
    }

    fn answered(&self, heard: bool) -> Vec<Notice> {
        self.list.lock().expect(LOCK).answered(clock::now(), heard)
    }

    fn len(&self) -> usize {
        self.list.lock().expect(LOCK).len()
    }
}

/// Notifies the leader in the background. If no leader answers, the notice is repeated.
pub fn announce(node: &Arc<Node>, notice: Notice) {
    let node = Arc::clone(node);
    task::spawn(async move {
        let sent = clock::now();
        if !notify_leader(&node, &notice).await {
            node.unanswered_notices.add(sent, notice);
        }
    });
}

/// Repeats notices until a leader answers them.
pub async fn repeat_unanswered(node: Arc<Node>) {
    let unanswered = &node.unanswered_notices;
    loop {
        node.metrics.unanswered_notices.set(unanswered.len() as i64);
        match unanswered.next_step() {
            Step::Send(notice) => {
                let heard = notify_leader(&node, &notice).await;
                for notice in unanswered.answered(heard) {
                    tracing::warn!(event = "announcement_given_up", job = %notice.key());
                }
            }
            Step::WaitUntil(at) => task::sleep(at.since(clock::now()).as_duration()).await,
            Step::Idle => {
                if unanswered.added.1.recv().await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Notifies the leader once, or the engine if this host leads; returns whether a leader has answered.
async fn notify_leader(node: &Node, notice: &Notice) -> bool {
    if node.apply_if_leader(notice.clone()).await {
        return true;
    }
    let Some(addr) = node.leader_addr() else { return false };
    match node.peer_client.notify_stored(&addr, notice).await {
        Ok(leads) => leads,
        Err(e) => {
            tracing::info!(event = "announce_failed", job = %notice.key(), error = %e);
            false
        }
    }
}
