//! Which host leads next, and when a leader makes way for a stronger one.
//!
//! The hosts of one installation may differ by four times in processor time and twenty in link. A
//! weak leader is slow to read the store and misses its renewals, so the strongest goes first. Among
//! equals the process that started last does: a rolling restart reaches each host once, so that one
//! is the least likely to be stopped next. `docs/PLATFORM.md` tells how the choice is carried out.

use std::cmp::Reverse;

use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

/// How much of what leading takes a host has, in parts per thousand; more than enough counts as
/// enough.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct LeaderCapacity(pub u16);

/// The strength of a host that has all that leading takes.
pub const FULL_LEADER_CAPACITY: LeaderCapacity = LeaderCapacity(1_000);

/// The processor share that is enough: twice the most that a leader used at 600 starts a second
/// (`docs/CAPACITY.md`), since starts come in bursts.
const SUFFICIENT_CPU_SHARE: f64 = 0.5;

/// The link that is enough, in Mbit/s: some 2 MB of jobs and progress are read within 0.2 s at a
/// change of leader.
const SUFFICIENT_LINK_MBPS: f64 = 100.0;

/// Works out a host's strength from its share of a core and its link.
pub fn leader_capacity(cpu_share: f64, link_mbps: f64) -> LeaderCapacity {
    let least = (cpu_share / SUFFICIENT_CPU_SHARE).min(link_mbps / SUFFICIENT_LINK_MBPS);
    LeaderCapacity((least.clamp(0.0, 1.0) * f64::from(FULL_LEADER_CAPACITY.0)) as u16)
}

/// A follower, as the leader knows it from its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: ids::EntryId,
    /// Where it answers other hosts.
    pub addr: String,
    /// What it has for leading.
    pub leader_capacity: LeaderCapacity,
    /// How long its process had run by then.
    pub running_for: Millis,
    /// How long ago the store had answered it by then.
    pub store_age: Millis,
    /// When the heartbeat came.
    pub heard_at: Instant,
}

/// How old a heartbeat may be; followers send one every 0.4 to 1 s (`followers.rs`).
const MAX_HEARTBEAT_AGE: Millis = Millis(1_300);

/// How long ago the store may have answered a candidate; followers ask it every second.
const MAX_STORE_ANSWER_AGE: Millis = Millis(1_500);

/// Orders the followers that could lead now, the best one first. One that is much weaker than a living
/// follower whose last answer of the store is too old is left out: it would need longer to take over
/// than the other one needs to reach the store again, and can still claim later than that one.
pub fn rank_candidates<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    now: Instant,
) -> Vec<&'a Candidate> {
    let (mut found, without): (Vec<&Candidate>, Vec<&Candidate>) = candidates
        .filter(|c| has_recent_heartbeat(c, now))
        .partition(|c| c.store_age <= MAX_STORE_ANSWER_AGE);
    let strongest = without.iter().map(|c| c.leader_capacity.0).max().unwrap_or(0);
    found.retain(|c| !has_much_less_capacity(c.leader_capacity, LeaderCapacity(strongest)));
    found.sort_unstable_by(|a, b| rank_key(a).cmp(&rank_key(b)));
    found
}

/// Returns what candidates are ordered by, the best one first.
fn rank_key(c: &Candidate) -> (Reverse<LeaderCapacity>, Millis, &ids::EntryId) {
    (Reverse(c.leader_capacity), c.running_for, &c.host)
}

/// Tells whether a follower's last heartbeat is recent.
pub fn has_recent_heartbeat(candidate: &Candidate, now: Instant) -> bool {
    now.since(candidate.heard_at) <= MAX_HEARTBEAT_AGE
}

/// How much stronger another host must be before a leader makes way for it: a change of leader
/// stops new starts for some 0.2 s.
const STEP_DOWN_MARGIN_PER_MILLE: u16 = 300;

/// Tells whether a host is so much weaker than another that it should not lead in its place.
pub fn has_much_less_capacity(own: LeaderCapacity, other: LeaderCapacity) -> bool {
    other.0 >= own.0 + STEP_DOWN_MARGIN_PER_MILLE
}

/// Tells whether a leader should hand over to its best follower.
pub fn should_step_down(own: LeaderCapacity, best: Option<&Candidate>) -> bool {
    best.is_some_and(|c| has_much_less_capacity(own, c.leader_capacity))
}

/// The pause before a claim of a host that is weaker by a whole [`FULL_LEADER_CAPACITY`] than the strongest one:
/// longer than the strongest needs for its claim, which is three calls, while the store answers sixty
/// times slower than its usual 4 ms.
const MAX_CLAIM_DELAY: Millis = Millis(1_000);

/// The pause before a host claims where nobody was named to lead next, by how much it is weaker than
/// the strongest host that it has heard of. Among equals there is none.
pub fn claim_delay(own: LeaderCapacity, strongest: Option<LeaderCapacity>) -> Millis {
    let missing = u64::from(strongest.unwrap_or(FULL_LEADER_CAPACITY).0.saturating_sub(own.0));
    Millis(MAX_CLAIM_DELAY.0 * missing / u64::from(FULL_LEADER_CAPACITY.0))
}
