//! How old the leader's view of the workers' directory is.
//!
//! A worker says in the directory that it is leaving, and a little later nothing may start there any more.
//! Thousands of workers can write faster than a busy leader reads, and its view is then seconds old while each
//! other call to the store is answered at once. While that is so nothing is started, on any worker: any may have
//! said that it leaves, and the work that is saved is what the reading lacks.
//!
//! The age is counted up to the last answer of the store to another call, not up to now: while the store is away no
//! worker can say anything there, and starts go on as before.

use gaplock_types::time::Millis;

use crate::changes::trace;
use crate::state::State;

pub use crate::interface::message::{DirectoryRead, RevisionSample};

/// The most marks that are kept; the later ones are left out, so that the view counts as older than it is.
const MAX_MARKS: usize = 64;

/// Takes in the store's revision at a time.
pub fn record_mark(cx: &mut State, mark: RevisionSample) {
    let freshness = &mut cx.freshness;
    if freshness.pending_revisions.len() < MAX_MARKS {
        freshness.pending_revisions.push_back(mark);
    }
}

/// Takes in that the directory was read; all that it said has been taken in before.
pub fn directory_read(cx: &mut State, read: DirectoryRead) {
    let freshness = &mut cx.freshness;
    if read.complete {
        freshness.as_of = freshness.as_of.max(read.sent);
    }
    while let Some(mark) = freshness.pending_revisions.pop_front() {
        if mark.revision > read.revision {
            freshness.pending_revisions.push_front(mark);
            break;
        }
        freshness.as_of = freshness.as_of.max(mark.sent);
    }
    check(cx);
}

/// Looks whether the view is too old, and says so when that changes.
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

/// Returns how far the view may be behind: half of the time after which nothing may start on a worker that is
/// leaving. The other half is for the time since the store's last answer and for a start's way.
fn max_lag(drain: Millis) -> Millis {
    Millis(drain.0 / 2)
}
