//! What a host still has to notify the leader of, and how often the leader reads the inbox itself.
//!
//! A host acknowledges a job or a cancellation once it is stored. From then on the leader must learn
//! of it within a bound of the installation, on either of two ways: by the host's notice, and by its
//! own watch of the inbox. An open connection may go silent without a reset while new ones work, so
//! a notice is repeated until a leader has answered it, and a watch waits for so short a time that a
//! silent one is replaced within the bound (`docs/design/acknowledged-facts.md`).

use std::collections::VecDeque;

use gaplock_types::time::{Instant, Millis};

/// The pause after a notice that no leader has answered.
const RETRY_PAUSE: Millis = Millis(200);

/// How long a notice is repeated, as a multiple of the bound: the bound counts from the last fault,
/// and faults may come in series.
const REPEATED_FOR_BOUNDS: u64 = 10;

/// The part of the bound for which a watch of the inbox waits, as a divisor. The rest is for the
/// answer, for a second watch on a new connection, and for the order that follows.
const WATCHES_PER_BOUND: u64 = 6;

/// The longest wait of a watch of the inbox.
const MAX_WATCH_WAIT: Millis = Millis(500);

/// The shortest wait of a watch of the inbox; shorter ones would mostly cost calls.
const MIN_WATCH_WAIT: Millis = Millis(100);

/// Returns for how long a watch of the inbox waits for a change, given the time within which a
/// cancellation must take effect.
pub fn watch_wait(cancel_limit: Millis) -> Millis {
    Millis(cancel_limit.0 / WATCHES_PER_BOUND).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}

/// The notices that a host has to repeat, oldest first. One of them is sent at a time, so that an
/// outage of the leader does not cost calls for each.
#[derive(Debug)]
pub struct Announcements<T> {
    /// How long a notice is repeated.
    limit: Millis,
    waiting: VecDeque<(Instant, T)>,
    /// The time of the next attempt.
    next_at: Instant,
}

/// What a host does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<T> {
    /// Send this notice and pass the result to [`Announcements::answered`].
    Send(T),
    /// Wait until this time.
    WaitUntil(Instant),
    /// Wait for the next notice.
    Idle,
}

/// Builds an empty list of notices, given the time within which a cancellation must take effect.
pub fn open<T>(cancel_limit: Millis) -> Announcements<T> {
    let limit = Millis(cancel_limit.0 * REPEATED_FOR_BOUNDS);
    Announcements { limit, waiting: VecDeque::new(), next_at: Instant(0) }
}

impl<T: Clone> Announcements<T> {
    /// Adds a notice that was first sent at `first_sent` and that no leader has answered.
    pub fn add(&mut self, first_sent: Instant, notice: T) {
        self.waiting.push_back((first_sent, notice));
    }

    /// Returns the next step.
    pub fn next_step(&self, now: Instant) -> Step<T> {
        match self.waiting.front() {
            None => Step::Idle,
            Some(_) if now < self.next_at => Step::WaitUntil(self.next_at),
            Some((_, notice)) => Step::Send(notice.clone()),
        }
    }

    /// Records whether a leader has answered the notice that was sent last. Returns the notices that
    /// are given up for their age.
    pub fn answered(&mut self, now: Instant, heard: bool) -> Vec<T> {
        if heard {
            self.waiting.pop_front();
            return Vec::new();
        }
        self.next_at = now + RETRY_PAUSE;
        let limit = self.limit;
        let (given_up, waiting): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|(first_sent, _)| now.since(*first_sent) >= limit);
        self.waiting = waiting;
        given_up.into_iter().map(|(_, notice)| notice).collect()
    }

    /// Returns how many notices wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
