//! Reads the stored state at the start of a leadership.
//!
//! On a slow link this takes seconds. A read that is interrupted therefore continues where it
//! stopped, ends at once when the leadership is lost, and is abandoned when it takes too long on
//! this host.

use std::collections::BTreeSet;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{select, Either};
use gaplock_platform::directory;
use gaplock_platform::store::{Item, Listing, PartialListing, Revision, StoreError};
use gaplock_policy::authority::Authority;
use gaplock_remote::clock;
use gaplock_sched::evacuation::Evacuated;
use gaplock_sched::message::Steering;
use gaplock_sched::takeover::StoredState;
use gaplock_types::time::{Instant, Millis};

use crate::feeds::{self, InboxItem};
use crate::leadership::LeadershipStatus;
use crate::node::Node;
use crate::{configuration, evacuations, keys, records, steering};

/// The stored state: the scheduler's state is restored from it, and the feeds continue from its
/// revisions.
pub struct LoadedState {
    /// The records of previous leaders and of the hosts that serve callers.
    pub stored: StoredState,
    /// The revision from which the inbox is watched.
    pub inbox: Revision,
    /// The entries of the directory of workers.
    pub directory: Listing,
    /// When the read of the directory began.
    pub directory_read_started: Instant,
}

/// How long a new leader may take to read the state before it gives up its claim, so that another
/// host may try: a state of 10 MB takes 8 s on the slowest link of the users' sites, 10 Mbit/s.
const READ_LIMIT: Millis = Millis(12_000);

/// How long a host that could not read the state in time lets other hosts claim first.
const DEFER_CLAIMS_FOR: Millis = Millis(10_000);

/// The parts of the stored state that have been read so far; kept when a call fails.
#[derive(Default)]
struct PartialState {
    inbox: PartialListing,
    progress: PartialListing,
    roster: PartialListing,
    directory: PartialListing,
    learned: Option<Item>,
    load: Option<Item>,
    waves: Vec<Item>,
    evacuated: Evacuated,
    steering: Steering,
}

impl PartialState {
    fn pages(&self) -> u32 {
        self.inbox.pages + self.progress.pages + self.roster.pages + self.directory.pages
    }

    fn bytes(&self) -> usize {
        self.inbox.bytes + self.progress.bytes + self.roster.bytes + self.directory.bytes
    }
}

/// Reads the whole stored state. After a failed call it continues where it stopped. Returns `None`
/// if the leadership is lost, the process stops or `READ_LIMIT` has passed.
pub async fn read_all(node: &Arc<Node>, leadership: &LeadershipStatus) -> Option<LoadedState> {
    let began = clock::now();
    let mut partial = PartialState::default();
    while leadership.authority(clock::now()) != Authority::Lost && !node.is_stopping() {
        let read = read_while_leading(node, leadership, &mut partial).await?;
        let took = clock::now().since(began);
        let (pages, bytes) = (partial.pages(), partial.bytes());
        match read {
            Ok(()) => {
                tracing::info!(event = "state_read", took_ms = took.0, pages, bytes);
                return Some(decode_state(partial, began));
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

/// Continues the read until everything is read or a call fails; returns `None` as soon as the
/// leadership is lost.
async fn read_while_leading(
    node: &Arc<Node>,
    leadership: &LeadershipStatus,
    partial: &mut PartialState,
) -> Option<Result<(), StoreError>> {
    match select(pin!(read_missing_parts(node, partial)), pin!(wait_until_lost(leadership))).await {
        Either::Left((read, _)) => Some(read),
        Either::Right(_) => None,
    }
}

/// How often a read of the state checks whether the leadership is lost.
const LEADERSHIP_CHECK_EVERY: Duration = Duration::from_millis(50);

/// Waits until the leadership is lost.
async fn wait_until_lost(leadership: &LeadershipStatus) {
    while leadership.authority(clock::now()) != Authority::Lost {
        task::sleep(LEADERSHIP_CHECK_EVERY).await;
    }
}

/// Reads all parts that are still missing, concurrently: one after the other they take nine calls,
/// 3.9 s where the store takes 0.4 s for each, and nothing is started during that time. The order
/// does not matter, since only the holder of the claim writes progress and roster, and the inbox
/// and the directory are watched from the revision at which they were read.
async fn read_missing_parts(
    node: &Arc<Node>,
    partial: &mut PartialState,
) -> Result<(), StoreError> {
    let (store, installation) = (&node.store, &node.installation);
    let PartialState {
        inbox,
        progress,
        roster,
        directory,
        learned,
        load,
        waves,
        evacuated,
        steering,
    } = partial;
    let read_evacuated = async {
        if installation.bounds.evacuation_limit.is_some() {
            *evacuated = evacuations::read(node, &mut BTreeSet::new()).await?;
        }
        Ok(())
    };
    let read_waves = async {
        if installation.has_maintenance_waves {
            *waves = store.list(keys::WAVES).await?.items;
        }
        Ok(())
    };
    // A host that has a version is told of newer ones meanwhile, and need not wait for a large one.
    let read_first_config = async {
        if node.config().is_none() {
            configuration::read_store(node).await;
        }
    };
    let mut refused = BTreeSet::new();
    // Boxed: the futures of so many calls are too large for a thread's stack.
    let (
        _,
        roster,
        directory,
        progress,
        inbox,
        read_learned,
        read_load,
        evacuated,
        waves,
        read_steering,
    ) = futures::join!(
        Box::pin(read_first_config),
        Box::pin(store.continue_listing(keys::ROSTER, roster)),
        Box::pin(store.continue_listing(directory::PREFIX, directory)),
        Box::pin(store.continue_listing(keys::PROGRESS, progress)),
        Box::pin(store.continue_listing(keys::INBOX, inbox)),
        Box::pin(store.get(keys::LEARNED)),
        Box::pin(store.get(keys::LOAD)),
        Box::pin(read_evacuated),
        Box::pin(read_waves),
        Box::pin(steering::read(node, &mut refused)),
    );
    // Parts that were read completely are kept; the next read continues with the others.
    roster.and(directory).and(progress).and(inbox).and(evacuated).and(waves)?;
    *learned = read_learned?;
    *load = read_load?;
    *steering = read_steering?;
    node.record_store_answer();
    Ok(())
}

/// Decodes the parts that were read.
fn decode_state(partial: PartialState, began: Instant) -> LoadedState {
    let inbox = partial.inbox.into_listing();
    let progress = partial.progress.into_listing();
    let roster = partial.roster.into_listing();
    let mut stored = StoredState::default();
    sort_inbox(&inbox.items, &mut stored);
    stored.inbox_read_up_to = feeds::stored_at(inbox.revision);
    for item in &progress.items {
        match records::progress(item) {
            Some(progress) => {
                stored.progress.insert(progress.key, progress);
            }
            None => stored.unreadable.extend(keys::job_of_progress(&item.key)),
        }
    }
    stored.roster = roster.items.iter().filter_map(records::roster_entry).collect();
    stored.learned = partial.learned.as_ref().and_then(records::decode).unwrap_or_default();
    stored.load = partial.load.as_ref().and_then(records::decode).unwrap_or_default();
    stored.waves = partial.waves.iter().filter_map(records::decode).collect();
    stored.evacuated = partial.evacuated;
    stored.steering = partial.steering;
    let directory = partial.directory.into_listing();
    LoadedState { stored, inbox: inbox.revision, directory, directory_read_started: began }
}

/// Sorts the items of the inbox into jobs and cancellations.
fn sort_inbox(items: &[Item], stored: &mut StoredState) {
    for item in items {
        let stored_at = feeds::stored_at(item.revision);
        match feeds::decode_inbox_item(item) {
            Some(InboxItem::Job(job)) => stored.jobs.push((job, stored_at)),
            Some(InboxItem::Cancel(key)) => stored.cancelled.push((key, stored_at)),
            None => tracing::warn!(event = "inbox_malformed", key = item.key),
        }
    }
}
