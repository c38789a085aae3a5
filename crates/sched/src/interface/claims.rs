//! Claims of leadership as they are stored, and what a stored claim says about an unanswered
//! attempt.
//!
//! Each attempt to store a claim uses a lease of its own. A leader renews the lease of the attempt
//! that it believes to be stored. It must know which attempt that is, because the claim of another
//! attempt is bound to another lease.

use gaplock_policy::attempts::Execution;
use gaplock_policy::authority;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

/// A stored claim of leadership.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaderRecord {
    /// The leader's host.
    pub host: ids::EntryId,
    /// The address at which the leader answers other hosts.
    pub addr: String,
    /// The process that made the claim.
    pub incarnation: ids::Incarnation,
    /// The number of the leadership (its term).
    pub term: u64,
    /// The lease that the claim is bound to. No other attempt has the same one; 0 in records of
    /// earlier versions.
    #[serde(default)]
    pub lease: u64,
}

impl LeaderRecord {
    /// Returns whether the same process made both claims, in one attempt or in two.
    pub fn is_same_process(&self, other: &LeaderRecord) -> bool {
        (&self.host, self.incarnation) == (&other.host, other.incarnation)
    }
}

/// Returns what became of the unanswered attempt `sent`, given the claim that is stored after it.
/// Any claim other than that of the attempt itself leaves this unknown, even one from an earlier
/// attempt of the same process.
pub fn execution_of_unanswered(sent: &LeaderRecord, stored: &LeaderRecord) -> Execution {
    if stored == sent {
        Execution::Done
    } else {
        Execution::Unknown
    }
}

/// The last claim, as it is also stored without a lease. It names the earlier leaders that may still
/// act, because the host that made it may be lost before it knows that they have stopped.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LastClaim {
    /// The claim.
    pub claim: LeaderRecord,
    /// The earlier leaders that may act on, unknown to the host that made the claim.
    #[serde(default)]
    pub earlier: Vec<LeaderRecord>,
    /// How long after the claim these leaders may act.
    #[serde(default)]
    pub earlier_act_for: Millis,
}

/// By when all former leaders have stopped acting, so that they grant no more leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormerLeaders {
    /// They have certainly stopped by then.
    StoppedBy(Instant),
    /// They may act until then, unless they are known to have stopped before.
    UnseenUntil(Instant),
}

impl Default for FormerLeaders {
    fn default() -> Self {
        Self::StoppedBy(Instant(0))
    }
}

/// What a new leader has to allow for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inherited {
    /// By when all former leaders have stopped.
    pub former_leaders: FormerLeaders,
    /// The former leaders that have to be asked whether they have stopped.
    pub to_ask: Vec<LeaderRecord>,
}

impl Inherited {
    /// Returns what the first leader of an installation has to allow for.
    pub fn nothing() -> Self {
        Self { former_leaders: FormerLeaders::default(), to_ask: Vec::new() }
    }

    /// Builds the last claim of the leader that inherits this, for a claim sent at `claimed`.
    pub fn last_claim(&self, claim: LeaderRecord, claimed: Instant) -> LastClaim {
        let (FormerLeaders::StoppedBy(until) | FormerLeaders::UnseenUntil(until)) =
            self.former_leaders;
        LastClaim { claim, earlier: self.to_ask.clone(), earlier_act_for: until.since(claimed) }
    }
}

/// Returns what the host `own` inherits with a claim sent at `claimed`. `last` is the last claim;
/// `None` if an earlier version stored none. `stopped_by` is when its leader has stopped, as far as
/// the host knows.
pub fn inherit(
    last: Option<&LastClaim>,
    own: &ids::EntryId,
    claimed: Instant,
    stopped_by: Option<Instant>,
) -> Inherited {
    let mut to_ask: Vec<LeaderRecord> = Vec::new();
    let mut until = claimed;
    if let Some(last) = last {
        to_ask.extend(last.earlier.iter().filter(|earlier| earlier.host != *own).cloned());
        until = claimed + last.earlier_act_for;
    }
    // An earlier claim of this host was made by a process that has ended, or was given up.
    let is_own = last.is_some_and(|last| last.claim.host == *own);
    let stopped_by = if is_own { Some(claimed) } else { stopped_by };
    until = until.max(stopped_by.unwrap_or(authority::stopped_unseen_by(claimed)));
    if let Some(last) = last.filter(|_| stopped_by.is_none()) {
        to_ask.retain(|earlier| earlier.host != last.claim.host);
        to_ask.push(last.claim.clone());
    }
    let former_leaders = match to_ask.is_empty() && stopped_by.is_some() {
        true => FormerLeaders::StoppedBy(until),
        false => FormerLeaders::UnseenUntil(until),
    };
    Inherited { former_leaders, to_ask }
}
