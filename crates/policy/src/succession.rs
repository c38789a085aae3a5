//! Which host leads next, and when a leader steps down for a host with more leader capacity.
//!
//! The hosts of one installation may differ by a factor of four in processor time and of twenty in
//! link bandwidth. A leader with little capacity is slow to read the store and misses its lease
//! renewals, so the host with the most capacity comes first. Among equals the process that started
//! last comes first: a rolling restart reaches each host once, so that process is the least likely
//! to be stopped next. `docs/PLATFORM.md` describes how the choice is carried out.

use std::cmp::Reverse;

use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

/// How much of the resources that a leader needs a host has, in parts per thousand; more than
/// enough counts as enough.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct LeaderCapacity(pub u16);

/// The capacity of a host that has all resources that a leader needs.
pub const FULL_LEADER_CAPACITY: LeaderCapacity = LeaderCapacity(1_000);

/// The share of a core that is enough for a leader: twice the most that a leader used at 600 task
/// starts per second (`docs/CAPACITY.md`), since starts come in bursts.
const SUFFICIENT_CPU_SHARE: f64 = 0.5;

/// The link bandwidth that is enough for a leader, in Mbit/s: with it, a new leader reads some
/// 2 MB of jobs and progress within 0.2 s.
const SUFFICIENT_LINK_MBPS: f64 = 100.0;

/// Returns a host's leader capacity by its share of a core and its link bandwidth.
pub fn leader_capacity(cpu_share: f64, link_mbps: f64) -> LeaderCapacity {
    let least = (cpu_share / SUFFICIENT_CPU_SHARE).min(link_mbps / SUFFICIENT_LINK_MBPS);
    LeaderCapacity((least.clamp(0.0, 1.0) * f64::from(FULL_LEADER_CAPACITY.0)) as u16)
}

/// A follower, as the leader knows it from its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: ids::EntryId,
    /// The address at which it answers other hosts.
    pub addr: String,
    /// Its leader capacity.
    pub leader_capacity: LeaderCapacity,
    /// How long its process had been running when it sent the heartbeat.
    pub running_for: Millis,
    /// The age of the store's last answer to it when it sent the heartbeat.
    pub store_age: Millis,
    /// When the heartbeat arrived.
    pub heard_at: Instant,
}

/// How old a candidate's last heartbeat may be; followers send one every 0.4 to 1 s
/// (`followers.rs`).
const MAX_HEARTBEAT_AGE: Millis = Millis(1_300);

/// How old the store's last answer to a candidate may be; followers that may lead next check the
/// store every second.
const MAX_STORE_ANSWER_AGE: Millis = Millis(1_500);

/// Ranks the followers that could lead now, the best one first.
///
/// A follower is left out if it has much less capacity than another live follower whose last answer
/// from the store is too old: it would need longer to take over than the other one needs to reach
/// the store again, and it can still claim the leadership later than the other one.
pub fn rank_candidates<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    now: Instant,
) -> Vec<&'a Candidate> {
    let (mut with_store, without_store): (Vec<&Candidate>, Vec<&Candidate>) = candidates
        .filter(|c| has_recent_heartbeat(c, now))
        .partition(|c| c.store_age <= MAX_STORE_ANSWER_AGE);
    let highest = without_store.iter().map(|c| c.leader_capacity.0).max().unwrap_or(0);
    with_store.retain(|c| !has_much_less_capacity(c.leader_capacity, LeaderCapacity(highest)));
    with_store.sort_unstable_by(|a, b| rank_key(a).cmp(&rank_key(b)));
    with_store
}

/// Returns the sort key of a candidate; the best candidate has the lowest key.
fn rank_key(c: &Candidate) -> (Reverse<LeaderCapacity>, Millis, &ids::EntryId) {
    (Reverse(c.leader_capacity), c.running_for, &c.host)
}

/// Returns whether a follower's last heartbeat is recent.
pub fn has_recent_heartbeat(candidate: &Candidate, now: Instant) -> bool {
    now.since(candidate.heard_at) <= MAX_HEARTBEAT_AGE
}

/// How much more leader capacity another host must have before a leader steps down for it, in parts
/// per thousand: a change of leader stops new task starts for some 0.2 s.
const STEP_DOWN_MARGIN_PER_MILLE: u16 = 300;

/// Returns whether a host has so much less leader capacity than another that it should not lead in
/// its place.
pub fn has_much_less_capacity(own: LeaderCapacity, other: LeaderCapacity) -> bool {
    other.0 >= own.0 + STEP_DOWN_MARGIN_PER_MILLE
}

/// Returns whether a leader should step down for its best follower.
pub fn should_step_down(own: LeaderCapacity, best: Option<&Candidate>) -> bool {
    best.is_some_and(|c| has_much_less_capacity(own, c.leader_capacity))
}

/// The delay before the claim of a host whose capacity is a whole [`FULL_LEADER_CAPACITY`] below
/// the highest one. The host with the highest capacity needs three calls for its claim; this delay
/// is longer than they take while the store answers sixty times slower than its usual 4 ms.
const MAX_CLAIM_DELAY: Millis = Millis(1_000);

/// Returns the delay before a host claims the leadership when no successor was named, in proportion
/// to how far its capacity is below the highest that it has heard of. Among equals there is no
/// delay.
pub fn claim_delay(own: LeaderCapacity, highest: Option<LeaderCapacity>) -> Millis {
    let missing = u64::from(highest.unwrap_or(FULL_LEADER_CAPACITY).0.saturating_sub(own.0));
    Millis(MAX_CLAIM_DELAY.0 * missing / u64::from(FULL_LEADER_CAPACITY.0))
}
