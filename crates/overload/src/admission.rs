//! Decides which arriving jobs are refused and when their callers should return.
//!
//! A job is refused if it would end only after its result has lost all use, by the time that its
//! queue needs to drain. The table of refusals keeps a place for each refused caller, in the order
//! of the refusals. The work of these places counts as work that goes before a newcomer, so a
//! caller that returns is admitted before callers that come later. Each class of work of each queue
//! has its own order and its own rate, so a flood in one queue moves no return time of another.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};

use crate::summary::{LoadSummary, QueueLoad, WorkClass};

/// The maximum number of refused callers that are remembered.
pub const MAX_REFUSALS: usize = 4_096;

/// The shortest time after which a refused caller is told to return.
pub const MIN_RETURN: Millis = Millis(1_000);

/// The longest time after which a refused caller is told to return.
pub const MAX_RETURN: Millis = Millis(30_000);

/// How long a refusal is kept after its return time.
pub const KEPT_AFTER_RETURN: Millis = Millis(30_000);

/// After this many times its objective, the result of a job is of no use to its caller.
pub const OBJECTIVES_UNTIL_USELESS: u64 = 3;

/// The largest work that is counted for one job: sums over the table cannot overflow, whatever
/// callers estimate.
const MAX_WORK_CORE_MS: u64 = u64::MAX / (4 * MAX_REFUSALS as u64);

/// Identifies a job; opaque to this crate.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ArrivalKey(pub u64);

/// A job that has arrived and is not stored yet.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Arrival {
    /// Identifies the job.
    pub key: ArrivalKey,
    /// Its queue.
    pub queue: String,
    /// The pool whose workers would run its tasks.
    pub pool: ids::ServiceId,
    /// The class of its work.
    pub class: WorkClass,
    /// Resources that one worker must have had for the job to be of use.
    pub needed: Resources,
    /// The estimated duration of its longest chain of work.
    pub chain: Millis,
    /// The time within which its caller expects the result; 0 if there is no objective.
    pub objective: Millis,
    /// Its estimated work, in core milliseconds.
    pub work_core_ms: u64,
}

/// Why a job is refused.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// It would end after its result has lost all use.
    TooLate,
    /// Its caller has returned before the time that it was told.
    ReturnedEarly,
    /// No worker that the pool has had holds what it needs.
    TooLarge,
}

/// The decision about an arriving job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// It is admitted.
    Admit {
        /// Whether it was refused before.
        returned: bool,
    },
    /// It is refused.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// After what time the caller should return.
        return_in: Millis,
    },
}

/// The decision about a job of which nothing speaks for a refusal.
pub const ADMIT: Decision = Decision::Admit { returned: false };

/// Returns whether the load may be a reason to refuse a job, so that the leader should be asked.
pub fn may_be_refused(summary: &LoadSummary, arrival: &Arrival) -> bool {
    if is_too_large(summary, arrival) {
        return true;
    }
    let queued = |load: &QueueLoad| drain_time(load, queued_part(load, load.backlog_core_ms));
    let drain = load_of(summary, arrival).and_then(queued);
    drain.is_some_and(|drain| drain > arrival.objective)
}

/// Returns whether no worker that the pool has had holds what a job needs; false if the pool is not
/// in the summary.
fn is_too_large(summary: &LoadSummary, arrival: &Arrival) -> bool {
    let pool = summary.pools.iter().find(|p| p.pool == arrival.pool);
    pool.is_some_and(|p| !p.largest.holds(&arrival.needed))
}

/// Returns the load that decides about a job. There is none for long-running work, which has no
/// end, and for jobs without an objective.
fn load_of<'a>(summary: &'a LoadSummary, arrival: &Arrival) -> Option<&'a QueueLoad> {
    if arrival.class == WorkClass::LongRunning || arrival.objective == Millis(0) {
        return None;
    }
    summary.queues.iter().find(|q| q.queue == arrival.queue && q.class == arrival.class)
}

/// Returns the part of a queue's accepted work that waits for capacity and goes before a newcomer,
/// by the demand of its tasks that could run now. Work that runs delays no newcomer, and a burst
/// that finds free capacity is no reason to refuse anything, however much work it is.
fn queued_part(load: &QueueLoad, work_core_ms: u64) -> u64 {
    let runnable = u128::from(load.waiting_millicores) + u128::from(load.running_millicores);
    let preceding = u128::from(load.preceding_millicores);
    let part = (u128::from(work_core_ms) * preceding).checked_div(runnable).unwrap_or(0);
    u64::try_from(part).unwrap_or(u64::MAX)
}

/// Returns how long a queue takes for `work_core_ms`; `None` if it completes nothing at present.
fn drain_time(load: &QueueLoad, work_core_ms: u64) -> Option<Millis> {
    let rate = u128::from(load.completed_core_ms_per_s);
    let ms = (u128::from(work_core_ms) * 1_000).checked_div(rate)?;
    Some(Millis(u64::try_from(ms).unwrap_or(u64::MAX)))
}

/// One class of work of one queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueClass {
    queue: String,
    class: WorkClass,
}

/// A refused caller that is expected to return.
#[derive(Debug, Clone)]
struct Refusal {
    of: QueueClass,
    /// Its place in the order of refusals.
    place: u64,
    /// When it was first refused.
    first_refused: Instant,
    /// The time that it was told.
    return_at: Instant,
    /// Whether its work can begin at `return_at`. It cannot where the queue drains to its place
    /// later than [`MAX_RETURN`].
    capacity_reserved: bool,
    /// Whether it has returned and was admitted. It is admitted again until its job is known, since
    /// its host may not have been able to store the job.
    admitted: bool,
    work_core_ms: u64,
}

/// The refused callers of one class of work of one queue.
#[derive(Debug, Clone, Default)]
struct Places {
    /// The callers in the order of the refusals.
    by_place: BTreeMap<u64, ArrivalKey>,
    /// The work of all of them.
    reserved_core_ms: u64,
    /// The latest return time that was told.
    last_return: Instant,
    /// Work that was admitted since the newest summary, and between the two newest ones. The
    /// backlog of the newest summary may not contain it yet.
    admitted_core_ms: [u64; 2],
}

/// Who was refused and what they were told. It is lost with its leader: callers then return as
/// newcomers.
#[derive(Debug, Clone, Default)]
pub struct AdmissionControl {
    refusals: BTreeMap<ArrivalKey, Refusal>,
    places: BTreeMap<QueueClass, Places>,
    by_return: BTreeSet<(Instant, ArrivalKey)>,
    next_place: u64,
    /// Term and sequence of the newest summary.
    summary: (u64, u64),
}

impl AdmissionControl {
    /// Decides about a job that is neither known nor stored.
    pub fn decide(&mut self, now: Instant, summary: &LoadSummary, arrival: &Arrival) -> Decision {
        self.drop_expired(now);
        self.begin_summary(summary);
        if is_too_large(summary, arrival) {
            return Decision::Refuse { reason: RefusalReason::TooLarge, return_in: MAX_RETURN };
        }
        let Some(load) = load_of(summary, arrival) else { return self.admit(arrival) };
        if self.refusals.get(&arrival.key).is_some_and(|known| known.admitted) {
            return Decision::Admit { returned: true };
        }
        let before = self.work_before(load, arrival);
        let Some(drain) = drain_time(load, before) else { return self.admit(arrival) };
        let expected_end = drain.0.saturating_add(arrival.chain.0);
        if expected_end <= arrival.objective.0.saturating_mul(OBJECTIVES_UNTIL_USELESS) {
            return self.admit(arrival);
        }
        // By then the queue has drained so far that the job ends within its objective.
        let wait = Millis(expected_end - arrival.objective.0);
        match self.refusals.get(&arrival.key) {
            Some(known) if now >= known.return_at && known.capacity_reserved => self.admit(arrival),
            Some(known) if now < known.return_at => {
                let return_in = known.return_at.since(now).max(MIN_RETURN);
                Decision::Refuse { reason: RefusalReason::ReturnedEarly, return_in }
            }
            Some(_) => self.refuse_again(now, arrival.key, wait),
            None => self.refuse(now, arrival, wait),
        }
    }

    /// Removes a job that has become known as accepted.
    pub fn forget(&mut self, key: ArrivalKey) {
        let Some(refusal) = self.refusals.remove(&key) else { return };
        self.by_return.remove(&(refusal.return_at, key));
        self.release_place(&refusal);
    }

    /// Releases the place of a refused caller, if it still has one.
    fn release_place(&mut self, refusal: &Refusal) {
        let Some(places) = self.places.get_mut(&refusal.of) else { return };
        if places.by_place.remove(&refusal.place).is_some() {
            places.reserved_core_ms -= refusal.work_core_ms;
        }
    }

    /// Returns how many refused callers are remembered.
    pub fn len(&self) -> usize {
        self.refusals.len()
    }

    /// Returns whether no refused caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    /// Returns when a caller that is remembered was first refused.
    pub fn first_refused(&self, key: ArrivalKey) -> Option<Instant> {
        self.refusals.get(&key).map(|r| r.first_refused)
    }

    /// Returns the work that goes before a job: what waits of the backlog and of what was admitted
    /// since, and the work of callers that were refused earlier.
    fn work_before(&self, load: &QueueLoad, arrival: &Arrival) -> u64 {
        let Some(places) = self.places.get(&queue_class(arrival)) else {
            return queued_part(load, load.backlog_core_ms);
        };
        let reserved = match self.refusals.get(&arrival.key) {
            Some(own) => places.by_place.range(..own.place).map(|(_, key)| self.work_of(key)).sum(),
            None => places.reserved_core_ms,
        };
        let admitted = places.admitted_core_ms[0].saturating_add(places.admitted_core_ms[1]);
        let accepted = load.backlog_core_ms.saturating_add(admitted);
        queued_part(load, accepted).saturating_add(reserved)
    }

    fn work_of(&self, key: &ArrivalKey) -> u64 {
        self.refusals.get(key).map_or(0, |r| r.work_core_ms)
    }

    fn admit(&mut self, arrival: &Arrival) -> Decision {
        let of = queue_class(arrival);
        let known = self.refusals.get_mut(&arrival.key).map(|known| {
            known.admitted = true;
            known.clone()
        });
        if let Some(known) = &known {
            self.release_place(known);
        }
        let work = arrival.work_core_ms.min(MAX_WORK_CORE_MS);
        let admitted = &mut self.places.entry(of).or_default().admitted_core_ms[0];
        *admitted = admitted.saturating_add(work);
        Decision::Admit { returned: known.is_some() }
    }

    /// Refuses a newcomer and keeps a place for it, if the table has room.
    fn refuse(&mut self, now: Instant, arrival: &Arrival, wait: Millis) -> Decision {
        let of = queue_class(arrival);
        let last_return = self.places.get(&of).map_or(Instant(0), |p| p.last_return);
        let return_at = (now + bounded(wait)).max(last_return);
        let return_in = return_at.since(now);
        if self.make_room(&of) {
            let place = self.next_place;
            self.next_place += 1;
            let work_core_ms = arrival.work_core_ms.min(MAX_WORK_CORE_MS);
            let places = self.places.entry(of.clone()).or_default();
            places.by_place.insert(place, arrival.key);
            places.reserved_core_ms += work_core_ms;
            places.last_return = return_at;
            self.by_return.insert((return_at, arrival.key));
            let refusal = Refusal {
                of,
                place,
                first_refused: now,
                return_at,
                capacity_reserved: wait <= MAX_RETURN,
                admitted: false,
                work_core_ms,
            };
            self.refusals.insert(arrival.key, refusal);
        }
        Decision::Refuse { reason: RefusalReason::TooLate, return_in }
    }

    /// Refuses a caller that has returned at its time, and keeps its place.
    fn refuse_again(&mut self, now: Instant, key: ArrivalKey, wait: Millis) -> Decision {
        let return_in = bounded(wait);
        let return_at = now + return_in;
        if let Some(known) = self.refusals.get_mut(&key) {
            self.by_return.remove(&(known.return_at, key));
            self.by_return.insert((return_at, key));
            known.return_at = return_at;
            known.capacity_reserved = wait <= MAX_RETURN;
            if let Some(places) = self.places.get_mut(&known.of) {
                places.last_return = places.last_return.max(return_at);
            }
        }
        Decision::Refuse { reason: RefusalReason::TooLate, return_in }
    }

    /// Makes room for one more refusal; returns whether there is any. In a full table, the class of
    /// work with the most refusals gives up its last place to one that has fewer, so that a flood
    /// of one queue takes no places from the others.
    fn make_room(&mut self, of: &QueueClass) -> bool {
        if self.refusals.len() < MAX_REFUSALS {
            return true;
        }
        let own = self.places.get(of).map_or(0, |p| p.by_place.len());
        let Some(most) = self.places.values().max_by_key(|p| p.by_place.len()) else {
            return false;
        };
        let last = most.by_place.last_key_value().map(|(_, key)| *key);
        match last {
            Some(key) if most.by_place.len() > own + 1 => {
                self.forget(key);
                true
            }
            _ => false,
        }
    }

    /// Drops refusals whose callers did not return in time.
    fn drop_expired(&mut self, now: Instant) {
        while let Some(&(return_at, key)) = self.by_return.first() {
            if now.since(return_at) < KEPT_AFTER_RETURN {
                return;
            }
            self.forget(key);
        }
    }

    /// If the summary is newer than the last one, drops admitted work that its backlog contains,
    /// and queues of which nothing is kept.
    fn begin_summary(&mut self, summary: &LoadSummary) {
        let newest = (summary.term, summary.sequence);
        if newest <= self.summary {
            return;
        }
        self.summary = newest;
        for places in self.places.values_mut() {
            places.admitted_core_ms = [0, places.admitted_core_ms[0]];
        }
        self.places.retain(|_, p| !p.by_place.is_empty() || p.admitted_core_ms != [0, 0]);
    }
}

/// Returns the class of work of the queue that a job belongs to.
fn queue_class(arrival: &Arrival) -> QueueClass {
    QueueClass { queue: arrival.queue.clone(), class: arrival.class }
}

/// Returns the time that a caller is told for a wait.
fn bounded(wait: Millis) -> Millis {
    wait.clamp(MIN_RETURN, MAX_RETURN)
}
