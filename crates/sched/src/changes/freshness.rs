//! The age of the leader's view of the workers' directory.
//!
//! A worker announces in the directory that it is leaving, and shortly after that nothing may start
//! there any more. Thousands of workers can write faster than a busy leader reads. The leader's
//! view is then seconds old, although the store answers every other call at once. While that is so,
//! nothing is started on any worker: any of them may have announced that it is leaving, and the
//! saved processor time is what reading the directory lacks.
//!
//! The age is counted up to the store's last answer to another call, not up to now. While the store
//! is unavailable, no worker can announce anything there, and starts go on as before.

use gaplock_types::time::Millis;

use crate::changes::trace;
use crate::state::State;

pub use crate::interface::message::{DirectoryRead, RevisionSample};

/// How many samples of the store's revision are kept. Later ones are dropped, so that the view
/// counts as older than it is.
const MAX_PENDING_REVISIONS: usize = 64;

/// Records the store's revision at a point in time.
pub fn record_revision(cx: &mut State, sample: RevisionSample) {
    let freshness = &mut cx.freshness;
    if freshness.pending_revisions.len() < MAX_PENDING_REVISIONS {
        freshness.pending_revisions.push_back(sample);
    }
}

/// Handles a read of the directory. The changes that it returned have been applied before.
pub fn directory_read(cx: &mut State, read: DirectoryRead) {
    let freshness = &mut cx.freshness;
    if read.complete {
        freshness.as_of = freshness.as_of.max(read.sent);
    }
    while let Some(sample) = freshness.pending_revisions.pop_front() {
        if sample.revision > read.revision {
            freshness.pending_revisions.push_front(sample);
            break;
        }
        freshness.as_of = freshness.as_of.max(sample.sent);
    }
    check(cx);
}

/// Checks whether the view is too old, and logs when that changes.
pub fn check(cx: &mut State) {
    let (now, lag) = (cx.now, cx.freshness.lag());
    let behind = lag > max_lag(cx.settings.min_drain);
    match (cx.freshness.behind_since, behind) {
        (None, true) => {
            cx.freshness.behind_since = Some(now);
            trace::directory_behind(lag);
        }
        (Some(since), false) => {
            cx.freshness.behind_since = None;
            cx.pass_wanted = true;
            trace::directory_caught_up(now.since(since));
        }
        _ => {}
    }
}

/// Returns how far the view may lag: half of the time after which nothing may start on a leaving
/// worker. The other half is for the time since the store's last answer and for the delivery of a
/// start.
fn max_lag(min_drain: Millis) -> Millis {
    Millis(min_drain.0 / 2)
}
