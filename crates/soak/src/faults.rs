//! The kinds of faults. Each can be left out to find out which ones a failing seed needs.

use std::fmt;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Messages are lost.
    Lose,
    /// Messages are delivered twice.
    Double,
    /// Messages are delayed, some by seconds.
    Delay,
    /// An entry's process is killed; another one replaces it later.
    KillEntry,
    /// An entry is suspended and later resumed.
    FreezeEntry,
    /// An entry performs a planned stop.
    StopEntry,
    /// An entry is partitioned from the store.
    CutStore,
    /// Two entries are partitioned from each other.
    CutPeers,
    /// An entry is partitioned from a worker.
    CutWorker,
    /// A worker is suspended and later resumed.
    FreezeWorker,
    /// A worker is replaced by a new one at the same address.
    ReplaceWorker,
    /// A worker leaves and comes back.
    LeaveWorker,
    /// The store is down.
    StoreDown,
    /// The store loses answers after the change took effect.
    StoreLoses,
    /// Callers cancel many jobs at one time.
    Cancel,
    /// Writes get no answer in time and are carried out seconds later, if their condition still
    /// holds.
    LateWrites,
    /// Start, stop and speed orders get no answer in time and are carried out seconds later.
    LateOrders,
    /// Workers refuse a start and do nothing, whatever the outcome of earlier attempts was.
    RefusedStarts,
}

impl Fault {
    /// All kinds except those of [`Fault::LATE`].
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
    /// Kinds that are used only on request, in addition to all others, so that the random draws of
    /// older seeds stay the same.
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
    /// Returns the set of all kinds except those of [`Fault::LATE`].
    pub fn all() -> Self {
        Self(Fault::ALL.to_vec())
    }

    /// Returns the set of all kinds, including those of [`Fault::LATE`].
    pub fn late() -> Self {
        Self([Fault::ALL, Fault::LATE].concat())
    }

    /// Returns the set without one kind.
    pub fn without(&self, fault: Fault) -> Self {
        Self(self.0.iter().copied().filter(|f| *f != fault).collect())
    }

    /// Returns whether a kind is in the set.
    pub fn has(&self, fault: Fault) -> bool {
        self.0.contains(&fault)
    }

    /// Returns the kinds.
    pub fn kinds(&self) -> &[Fault] {
        &self.0
    }
}
