//! What a host knows of the operators' configuration: which version it has, when that was known to
//! be the newest, and what it does next to keep up.
//!
//! The leader watches the store and announces each version in its answers to heartbeats. A follower
//! fetches what is announced; without recent news it asks the store itself. Whether a host may
//! answer by its version depends on the age of its knowledge only, so that a host without news
//! stops answering in time by itself (`docs/design/configuration.md`).

use gaplock_policy::refusals::StoreRevision;
use gaplock_types::time::{Instant, Millis};

/// The version of a configuration; 0 for none.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// The age of the last news from which a follower asks the store itself, as a share of the bound in
/// percent. The rest is for reading a large version over a slow link.
const MAX_NEWS_AGE_PERCENT: u64 = 45;

/// The least such age: above the leader's watch and the interval of heartbeats together.
const MIN_NEWS_AGE: Millis = Millis(900);

fn max_news_age(bound: Millis) -> Millis {
    Millis(bound.0 * MAX_NEWS_AGE_PERCENT / 100).max(MIN_NEWS_AGE)
}

/// How long the leader's watch waits for a change. A silent connection is noticed only when the
/// watch ends.
pub const WATCH_WAIT: Millis = Millis(300);

/// The age of a position from which the configuration is read instead of its changes: they may be
/// many by then, each of the size of the whole.
const MAX_POSITION_AGE: Millis = Millis(5_000);

/// The pause after a failed call, and before the store is asked again for a first version.
const RETRY_PAUSE: Millis = Millis(150);

/// The longest pause; an announcement ends it early.
const MAX_PAUSE: Millis = Millis(400);

/// A revision of the store up to which all changes of the configuration are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The revision.
    pub revision: StoreRevision,
    /// When the store had it, or later.
    pub at: Instant,
}

/// What a host does next to keep up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Wait in the store for a change after a revision.
    Watch(StoreRevision),
    /// Ask the store for changes after a revision, without waiting.
    Check(StoreRevision),
    /// Read the whole configuration from the store.
    Read,
    /// Fetch the announced version from the host at this address.
    Fetch(String),
    /// Wait for news.
    Pause(Millis),
}

/// A version that another host has and this one does not.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Announcement {
    version: Version,
    addr: String,
    heard_at: Instant,
    /// When no newer version existed than the announced one; `None` if that is not known.
    newest_at: Option<Instant>,
}

/// What a host knows of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Knowledge {
    held: Version,
    /// The last time at which no version newer than `held` existed, as far as is known.
    newest_at: Option<Instant>,
    announced: Option<Announcement>,
    position: Option<Position>,
    store_failed_at: Option<Instant>,
    fetch_failed_at: Option<Instant>,
}

/// News of the configuration from another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct News {
    /// The version that the host has.
    pub version: Version,
    /// When no newer version existed; `None` if the host does not say.
    pub newest_at: Option<Instant>,
    /// The revision of the store up to which the host knows all changes.
    pub revision: Option<StoreRevision>,
}

impl Knowledge {
    /// Returns the version that the host has.
    pub fn held(&self) -> Version {
        self.held
    }

    /// Returns the newest version that the host has heard of.
    pub fn newest_known(&self) -> Version {
        self.announced.as_ref().map_or(self.held, |a| a.version.max(self.held))
    }

    /// Returns up to which revision of the store all changes are known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns how long ago the version that the host has was known to be the newest.
    pub fn age(&self, now: Instant) -> Millis {
        self.newest_at.map_or(Millis(now.0), |at| now.since(at))
    }

    /// Records that the host has a version; returns whether it is newer than the former one. What is
    /// known of the former one holds for it too: what did not exist then is not newer than either.
    pub fn take(&mut self, version: Version) -> bool {
        if version <= self.held {
            return false;
        }
        self.held = version;
        if let Some(done) = self.announced.take_if(|a| a.version <= version) {
            self.newest_at = self.newest_at.max(done.newest_at);
        }
        true
    }

    /// Records that the store had no version newer than the one that the host has, at a time and up to
    /// a revision, if that is known.
    pub fn note_newest(&mut self, at: Instant, revision: Option<StoreRevision>) {
        self.newest_at = self.newest_at.max(Some(at));
        self.announced.take_if(|a| a.heard_at < at);
        if let Some(revision) = revision {
            self.advance_position(at, revision);
        }
    }

    fn advance_position(&mut self, at: Instant, revision: StoreRevision) {
        if self.position.is_none_or(|p| p.revision <= revision) {
            let at = self.position.map_or(at, |p| p.at.max(at));
            self.position = Some(Position { revision, at });
        }
    }

    /// Records news from the host at an address; returns whether it has a version of which this host
    /// had not heard.
    pub fn note_news(&mut self, now: Instant, news: News, addr: &str) -> bool {
        if news.version <= self.held {
            self.newest_at = self.newest_at.max(news.newest_at);
            if let (Some(at), Some(revision)) = (news.newest_at, news.revision) {
                self.advance_position(at, revision);
            }
            return false;
        }
        let known = self.newest_known();
        if news.version < known {
            return false;
        }
        let newest_at = self.announced.as_ref().and_then(|a| a.newest_at).max(news.newest_at);
        let (version, addr) = (news.version, addr.to_string());
        self.announced = Some(Announcement { version, addr, heard_at: now, newest_at });
        version > known
    }

    /// Records that the store no longer has the history since the position.
    pub fn forget_position(&mut self) {
        self.position = None;
    }

    /// Records the outcome of a call to the store at `now`.
    pub fn note_store_outcome(&mut self, now: Instant, answered: bool) {
        self.store_failed_at = (!answered).then_some(now);
    }

    /// Records that another host did not send the announced version.
    pub fn note_fetch_failed(&mut self, now: Instant) {
        self.fetch_failed_at = Some(now);
    }

    /// Returns whether a request may be answered by the version that the host has: no newer one can
    /// have been in force for as long as `bound`.
    pub fn may_answer(&self, now: Instant, bound: Millis) -> bool {
        self.held > Version(0) && self.age(now) < bound
    }

    /// Returns whether a queue that the version does not have may be denied. A newer version may have
    /// it, so the host must not know of one.
    pub fn may_deny_queue(&self, now: Instant, bound: Millis) -> bool {
        self.may_answer(now, bound) && self.newest_known() == self.held
    }

    /// Returns whether the last call to the store, or the last attempt to fetch the announced version,
    /// has failed, so that the host will not know more at once.
    pub fn is_failing(&self) -> bool {
        self.store_failed_at.is_some()
            || (self.announced.is_some() && self.fetch_failed_at.is_some())
    }

    /// Returns what the host does next, so that each version is in force within `bound`; `leads` says
    /// whether it holds the leadership, and has to know of each change at once.
    pub fn next_step(&self, now: Instant, leads: bool, bound: Millis) -> Step {
        let is_ready =
            |failed_at: Option<Instant>| failed_at.is_none_or(|at| now.since(at) >= RETRY_PAUSE);
        let store_ready = is_ready(self.store_failed_at);
        let Some(announced) = &self.announced else {
            return if store_ready {
                self.next_store_step(now, leads, false, bound)
            } else {
                Step::Pause(RETRY_PAUSE)
            };
        };
        let fetch_ready = is_ready(self.fetch_failed_at);
        // Of two sources that fail, the one whose failure is older is tried next.
        let store_first = match leads {
            true => self.store_failed_at <= self.fetch_failed_at,
            false => self.store_failed_at < self.fetch_failed_at,
        };
        if store_ready && (store_first || !fetch_ready) {
            return self.next_store_step(now, leads, true, bound);
        }
        if fetch_ready {
            return Step::Fetch(announced.addr.clone());
        }
        Step::Pause(RETRY_PAUSE)
    }

    /// Returns the next call to the store, or how long to wait for news before it; `behind` says
    /// whether a newer version is known to exist.
    fn next_store_step(&self, now: Instant, leads: bool, behind: bool, bound: Millis) -> Step {
        let age = self.age(now);
        let recent = self.position.filter(|p| now.since(p.at) < MAX_POSITION_AGE);
        let max_age = max_news_age(bound);
        let is_due = behind || age >= max_age;
        match recent {
            Some(p) if leads => Step::Watch(p.revision),
            Some(p) if is_due => Step::Check(p.revision),
            None if is_due || (leads && age >= RETRY_PAUSE) => Step::Read,
            _ => {
                let due_in = Millis(max_age.0.saturating_sub(age.0));
                let longest = if leads { RETRY_PAUSE } else { MAX_PAUSE };
                Step::Pause(due_in.clamp(Millis(1), longest))
            }
        }
    }
}
