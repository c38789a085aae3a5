//! The kinds of faults, each of which can be left out to narrow a failing seed down.

use std::fmt;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Messages are lost.
    Lose,
    /// Messages arrive twice.
    Double,
    /// Messages are late, some by seconds.
    Delay,
    /// An entry's process dies; another takes its place later.
    KillEntry,
    /// An entry is frozen and thawed.
    FreezeEntry,
    /// An entry stops as planned.
    StopEntry,
    /// An entry does not reach the store.
    CutStore,
    /// Two entries do not reach each other.
    CutPeers,
    /// An entry does not reach a worker.
    CutWorker,
    /// A worker is frozen and thawed.
    FreezeWorker,
    /// A worker is replaced under the same address.
    ReplaceWorker,
    /// A worker leaves and comes back.
    LeaveWorker,
    /// The store is down.
    StoreDown,
    /// The store loses answers after the change took effect.
    StoreLoses,
    /// Callers cancel in waves.
    Cancel,
    /// Writes get no answer in time and are carried out seconds later, if their condition still
    /// holds.
    LateWrites,
    /// Starts, stops and speeds get no answer in time and are carried out seconds later.
    LateOrders,
    /// Workers refuse a start and do nothing, whatever came of earlier tries.
    RefusedStarts,
}

impl Fault {
    /// Every kind.
    pub const ALL: &'static [Self] = &[
        Self::Lose,
        Self::Double,
        Self::Delay,
        Self::KillEntry,
        Self::FreezeEntry,
        Self::StopEntry,
        Self::CutStore,
        Self::CutPeers,
        Self::CutWorker,
        Self::FreezeWorker,
        Self::ReplaceWorker,
        Self::LeaveWorker,
        Self::StoreDown,
        Self::StoreLoses,
        Self::Cancel,
    ];
}

impl Fault {
    /// Kinds that are switched on besides all others, so that the draws of earlier seeds stay.
    pub const LATE: &'static [Self] = &[Self::LateWrites, Self::LateOrders, Self::RefusedStarts];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The kinds that a run may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Enabled(Vec<Fault>);

impl Enabled {
    /// Returns the set of all kinds.
    pub fn all() -> Self {
        Self(Fault::ALL.to_vec())
    }

    /// Returns the set of all kinds and of those that carry calls out late.
    pub fn late() -> Self {
        Self([Fault::ALL, Fault::LATE].concat())
    }

    /// Returns the set without one kind.
    pub fn without(&self, fault: Fault) -> Self {
        Self(self.0.iter().copied().filter(|f| *f != fault).collect())
    }

    /// Tells whether a kind is in the set.
    pub fn has(&self, fault: Fault) -> bool {
        self.0.contains(&fault)
    }

    /// Returns the kinds.
    pub fn kinds(&self) -> &[Fault] {
        &self.0
    }
}
