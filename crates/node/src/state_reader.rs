//! Reads the stored state at the beginning of a leadership.
//!
//! On a narrow link that takes seconds, so a reading that is cut goes on where it stopped, ends at once
//! when the leadership is lost, and is given up when it takes too long for this host.

use std::collections::BTreeSet;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{select, Either};
use gaplock_platform::directory;
use gaplock_platform::store::{Item, Listed, Reading, Revision, StoreError};
use gaplock_remote::clock;
use gaplock_sched::evacuation::Evacuated;
use gaplock_sched::takeover::StoredState;
use gaplock_types::time::{Instant, Millis};

use crate::feeds::{self, Handed};
use crate::leadership::{Authority, LeadershipStatus};
use crate::node::Node;
use crate::{evacuations, follower, keys, records};

/// The stored state, from which the scheduler's state is restored and the feeds go on.
pub struct LoadedState {
    /// What former leaders and callers' hosts have stored.
    pub stored: StoredState,
    /// The revision from which the inbox is watched.
    pub inbox: Revision,
    /// The directory of workers.
    pub directory: Listed,
    /// When its reading began.
    pub directory_asked: Instant,
}

/// How long a claim may take to read the state before it is given back, so that another host may
/// try: a state of 10 MB takes 8 s on the narrowest link of the users' sites, 10 Mbit/s.
const READ_LIMIT: Millis = Millis(12_000);

/// How long a host that could not read the state in time stands behind the others.
const DEFER_CLAIMS_FOR: Millis = Millis(10_000);

/// What has been read so far of each part of the stored state; kept over failed calls.
#[derive(Default)]
struct PartialState {
    inbox: Reading,
    progress: Reading,
    roster: Reading,
    directory: Reading,
    learnt: Option<Item>,
    waves: Vec<Item>,
    evacuated: Evacuated,
}

impl PartialState {
    fn pages(&self) -> u32 {
        self.inbox.pages + self.progress.pages + self.roster.pages + self.directory.pages
    }

    fn bytes(&self) -> usize {
        self.inbox.bytes + self.progress.bytes + self.roster.bytes + self.directory.bytes
    }
}

/// Reads everything; after a failed call it goes on where it stopped.
pub async fn read_all(node: &Arc<Node>, standing: &LeadershipStatus) -> Option<LoadedState> {
    let began = clock::now();
    let mut readings = PartialState::default();
    while standing.authority(clock::now()) != Authority::Lost && !node.is_stopping() {
        let read = read_while_leading(node, standing, &mut readings).await?;
        let took = clock::now().since(began);
        let (pages, bytes) = (readings.pages(), readings.bytes());
        match read {
            Ok(()) => {
                tracing::info!(event = "state_read", took_ms = took.0, pages, bytes);
                return Some(decode_state(readings, began));
            }
            Err(e) => {
                tracing::info!(event = "restore_delayed", error = %e, pages, bytes);
            }
        }
        if took >= READ_LIMIT {
            tracing::warn!(event = "claim_given_back", why = "the state was not read in time");
            node.handover.defer_claims(clock::now() + DEFER_CLAIMS_FOR);
            return None;
        }
        task::sleep(feeds::STORE_RETRY_PAUSE).await;
    }
    None
}

/// Reads on until a call fails or all is read; gives up where the leadership is lost.
async fn read_while_leading(
    node: &Arc<Node>,
    standing: &LeadershipStatus,
    readings: &mut PartialState,
) -> Option<Result<(), StoreError>> {
    match select(pin!(read_on(node, readings)), pin!(wait_until_lost(standing))).await {
        Either::Left((read, _)) => Some(read),
        Either::Right(_) => None,
    }
}

/// How often a reading of the state looks whether the leadership still stands.
const LEADERSHIP_CHECK_EVERY: Duration = Duration::from_millis(50);

/// Waits until the leadership is lost.
async fn wait_until_lost(standing: &LeadershipStatus) {
    while standing.authority(clock::now()) != Authority::Lost {
        task::sleep(LEADERSHIP_CHECK_EVERY).await;
    }
}

/// Reads what is still missing of everything, all parts beside each other: one after the other they
/// take nine calls, 3.9 s where the store takes 0.4 s for each, and nothing is started meanwhile. The order
/// does not matter, since only the holder of the claim writes progress and roster, and the inbox and the
/// directory are watched from the revision at which they were read.
async fn read_on(node: &Arc<Node>, readings: &mut PartialState) -> Result<(), StoreError> {
    let (store, installation) = (&node.store, &node.installation);
    let PartialState { inbox, progress, roster, directory, learnt, waves, evacuated } = readings;
    let read_evacuated = async {
        if installation.bounds.evacuate.is_some() {
            *evacuated = evacuations::read(node, &mut BTreeSet::new()).await?;
        }
        Ok(())
    };
    let read_waves = async {
        if installation.has_duties {
            *waves = store.list(keys::WAVES).await?.items;
        }
        Ok(())
    };
    // Boxed: the states of so many calls are too large for a thread's stack.
    let (_, roster, directory, progress, inbox, found, evacuated, waves) = futures::join!(
        Box::pin(follower::read_config(node)),
        Box::pin(store.read_on(keys::ROSTER, roster)),
        Box::pin(store.read_on(directory::PREFIX, directory)),
        Box::pin(store.read_on(keys::PROGRESS, progress)),
        Box::pin(store.read_on(keys::INBOX, inbox)),
        Box::pin(store.get(keys::LEARNED)),
        Box::pin(read_evacuated),
        Box::pin(read_waves),
    );
    // A part that was read whole is kept; the next reading goes on with the others.
    roster.and(directory).and(progress).and(inbox).and(evacuated).and(waves)?;
    *learnt = found?;
    node.record_store_answer();
    Ok(())
}

/// Decodes what was read.
fn decode_state(readings: PartialState, began: Instant) -> LoadedState {
    let inbox = readings.inbox.listed();
    let progress = readings.progress.listed();
    let roster = readings.roster.listed();
    let mut stored = StoredState::default();
    sort_inbox(&inbox.items, &mut stored);
    for item in &progress.items {
        match records::progress(item) {
            Some(progress) => {
                stored.progress.insert(progress.key, progress);
            }
            None => stored.unreadable.extend(keys::job_of_progress(&item.key)),
        }
    }
    stored.roster = roster.items.iter().filter_map(records::roster_entry).collect();
    stored.learned = readings.learnt.as_ref().and_then(records::decode).unwrap_or_default();
    stored.waves = readings.waves.iter().filter_map(records::decode).collect();
    stored.evacuated = readings.evacuated;
    let directory = readings.directory.listed();
    LoadedState { stored, inbox: inbox.revision, directory, directory_asked: began }
}

/// Sorts what callers' hosts have stored into jobs and cancellations.
fn sort_inbox(items: &[Item], stored: &mut StoredState) {
    for item in items {
        match feeds::read_inbox(item) {
            Some(Handed::Job(job)) => stored.jobs.push(job),
            Some(Handed::Cancel(key)) => stored.cancelled.push(key),
            None => tracing::warn!(event = "inbox_malformed", key = item.key),
        }
    }
}
