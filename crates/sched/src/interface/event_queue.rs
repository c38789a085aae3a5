//! The events that wait for a leader, in the order in which it handles them.
//!
//! A leader whose processor binds falls behind. In order of arrival, the end of a task on which a
//! caller waits would be handled after all readings that arrived before it.

use std::collections::VecDeque;

use gaplock_types::time::{Instant, Millis};

use crate::interface::message::{Action, Event, Outcome};

/// How urgent an event or an action is. The most urgent ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Work waits for it: jobs, cancellations, ends, answers, and what is stored.
    Urgent,
    /// It keeps the leader's view recent: the directory, hosts, operators' instructions, and
    /// workers that did not answer.
    Usual,
    /// Readings, and what follows from readings only.
    Optional,
}

/// All urgencies, the most urgent one first.
const URGENCIES: [Urgency; 3] = [Urgency::Urgent, Urgency::Usual, Urgency::Optional];

/// How long an event may be passed over by more urgent ones. It is far below the time for which a
/// serving task may exceed its target, and below the length of a lease.
pub const MAX_PASSED_OVER: Millis = Millis(500);

/// Returns how urgent an event is.
pub fn urgency_of_event(event: &Event) -> Urgency {
    match event {
        Event::Job(..)
        | Event::Cancel(..)
        | Event::Started { .. }
        | Event::Stopped { .. }
        | Event::Advised { .. }
        | Event::Maintenance { .. }
        | Event::Config(_)
        | Event::Settings(_)
        | Event::Evacuated(_)
        | Event::Steered(_)
        | Event::Committed
        | Event::CommitFailed => Urgency::Urgent,
        Event::Renewed { outcome: Outcome::Done(report), .. } if report.ends.is_empty() => {
            Urgency::Optional
        }
        Event::Renewed { outcome: Outcome::Done(_), .. } => Urgency::Urgent,
        Event::Paced { .. } => Urgency::Optional,
        _ => Urgency::Usual,
    }
}

/// Returns how urgent an action is. Short tasks have the least time to lose, so their starts go
/// before those of other tasks and before renewals.
pub fn urgency_of_action(action: &Action) -> Urgency {
    match action {
        Action::Start { job, task, .. } => {
            let step = job.steps.get(usize::from(task.step));
            let waits_longer = step.is_some_and(|step| step.lasting || step.fills);
            if waits_longer {
                Urgency::Usual
            } else {
                Urgency::Urgent
            }
        }
        Action::Renew { .. } => Urgency::Usual,
        Action::Pace { .. } | Action::ListHosts => Urgency::Optional,
        Action::Stop { .. }
        | Action::Advise { .. }
        | Action::Maintenance { .. }
        | Action::ConfirmLeadership => Urgency::Urgent,
    }
}

/// An item that waits, with the time at which it arrived.
#[derive(Debug)]
struct Waiting<T> {
    since: Instant,
    item: T,
}

/// Items that wait to be handled: the most urgent ones first, and those of one urgency in order of
/// arrival. An item that has been passed over for [`MAX_PASSED_OVER`] takes every second turn.
#[derive(Debug)]
pub struct EventQueue<T> {
    lanes: [VecDeque<Waiting<T>>; URGENCIES.len()],
    /// Whether the last turn went to an item that had been passed over.
    overdue_had_turn: bool,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { lanes: [VecDeque::new(), VecDeque::new(), VecDeque::new()], overdue_had_turn: false }
    }
}

impl<T> EventQueue<T> {
    /// Adds an item that arrived at `since`.
    pub fn push(&mut self, since: Instant, urgency: Urgency, item: T) {
        self.lanes[urgency as usize].push_back(Waiting { since, item });
    }

    /// Takes the next item, with how long it has waited.
    pub fn pop(&mut self, now: Instant) -> Option<(Millis, T)> {
        let overdue = self.overdue_lane(now).filter(|_| !self.overdue_had_turn);
        self.overdue_had_turn = overdue.is_some();
        let lane = overdue.or_else(|| self.lanes.iter().position(|lane| !lane.is_empty()))?;
        let waiting = self.lanes[lane].pop_front()?;
        Some((now.since(waiting.since), waiting.item))
    }

    /// Returns the lane whose first item has been passed over for too long.
    fn overdue_lane(&self, now: Instant) -> Option<usize> {
        let is_overdue = |lane: &VecDeque<Waiting<T>>| {
            lane.front().is_some_and(|first| now.since(first.since) >= MAX_PASSED_OVER)
        };
        (1..self.lanes.len()).find(|&lane| is_overdue(&self.lanes[lane]))
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }
}

/// Sorts actions by urgency; those of one urgency keep their order.
pub fn sort_actions(actions: &mut [Action]) {
    actions.sort_by_key(urgency_of_action);
}
