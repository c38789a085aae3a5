//! Observes how far a version of the configuration has spread, from the heartbeats of followers.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::knowledge::Version;

/// How far a version has spread, as its leader hears it from the heartbeats of its followers.
#[derive(Debug, Default)]
pub struct Spread {
    version: Version,
    since: Instant,
    behind: BTreeMap<ids::EntryId, Instant>,
    hosts: BTreeSet<ids::EntryId>,
    reported: bool,
}

/// All hosts that the leader hears from have a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completed {
    /// The version.
    pub version: Version,
    /// The number of hosts, without the leader.
    pub hosts: usize,
    /// How long after the leader.
    pub took: Millis,
}

/// The time in which each follower reports its version for the first time, at the usual intervals of
/// heartbeats.
const FIRST_REPORTS: Millis = Millis(800);

/// The silence after which a host no longer counts.
const MAX_SILENCE: Millis = Millis(3_000);

impl Spread {
    /// Records that a follower has a version while the leader has `newest`; returns the spread when it
    /// has just become complete.
    pub fn record(
        &mut self,
        now: Instant,
        newest: Version,
        host: &ids::EntryId,
        version: Version,
    ) -> Option<Completed> {
        if newest != self.version {
            *self = Self { version: newest, since: now, ..Self::default() };
        }
        self.hosts.insert(host.clone());
        if version < newest {
            self.behind.insert(host.clone(), now);
        } else {
            self.behind.remove(host);
        }
        self.behind.retain(|_, heard_at| now.since(*heard_at) < MAX_SILENCE);
        let complete =
            !self.reported && self.behind.is_empty() && now.since(self.since) >= FIRST_REPORTS;
        if !complete {
            return None;
        }
        self.reported = true;
        Some(Completed { version: newest, hosts: self.hosts.len(), took: now.since(self.since) })
    }

    /// Returns how many followers that are heard from do not have the newest version.
    pub fn behind(&self) -> usize {
        self.behind.len()
    }
}
