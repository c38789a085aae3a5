//! The processor of the leader's host: each event that the leader handles and each call that it sends takes
//! time there, so that a leader with too much to do falls behind. Events wait in the queue that the daemon
//! uses. Without a cost, events are handled when they arrive.

use std::collections::VecDeque;

use gaplock_sched::event_queue::{self, EventQueue, Urgency};
use gaplock_sched::{Action, Event};
use gaplock_types::time::Instant;

use super::Simulation;

/// The time for which a throttled processor has an allowance, in milliseconds.
pub const ALLOWANCE_PERIOD_MS: u64 = 100;

/// How the leader treats its work while it is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// As the daemon: the most urgent events first, optional work put off by the measured delay.
    ByUrgency,
    /// All events in order of arrival, and all optional work; for comparison.
    ByArrival,
}

/// What the leader's work costs on its host, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Handling an event, the decoding of the answer that brings it included.
    pub event_us: u64,
    /// Encoding and sending a call.
    pub call_us: u64,
}

/// The processor of the leader's host, with what waits for it.
#[derive(Debug)]
pub struct Processor {
    cost: Cost,
    discipline: Discipline,
    events: EventQueue<Event>,
    calls: VecDeque<Action>,
    /// For how many milliseconds of each tenth of a second it runs.
    pub allowance_ms: u64,
    /// When it has done what it has begun, in microseconds.
    free_at_us: u64,
    /// The longest wait of an urgent event and of any event, in milliseconds.
    pub longest_waits: (u64, u64),
}

impl Simulation {
    /// Gives the leader's host a processor on which its work has a cost. What waits goes on waiting.
    pub fn charge_leader(&mut self, cost: Cost, discipline: Discipline) {
        if let Some(processor) = &mut self.processor {
            (processor.cost, processor.discipline) = (cost, discipline);
            return;
        }
        self.processor = Some(Processor {
            cost,
            discipline,
            events: EventQueue::default(),
            calls: VecDeque::new(),
            allowance_ms: ALLOWANCE_PERIOD_MS,
            free_at_us: self.now * 1_000,
            longest_waits: (0, 0),
        });
    }

    /// Drops what waits for a leader that is gone.
    pub(super) fn clear_processor(&mut self) {
        if let Some(processor) = &mut self.processor {
            processor.events = EventQueue::default();
            processor.calls.clear();
        }
    }

    /// Lets an event wait for the processor; returns it if the leader's work has no cost.
    pub(super) fn wait_for_processor(&mut self, event: Event) -> Option<Event> {
        let now = Instant(self.now);
        let Some(processor) = &mut self.processor else { return Some(event) };
        if !matches!(event, Event::Tick) {
            let urgency = match processor.discipline {
                Discipline::ByUrgency => event_queue::urgency_of_event(&event),
                Discipline::ByArrival => Urgency::Urgent,
            };
            processor.events.push(now, urgency, event);
            return None;
        }
        Some(event)
    }

    /// Lets calls wait for the processor; returns them if the leader's work has no cost.
    pub(super) fn calls_wait_for_processor(&mut self, actions: Vec<Action>) -> Vec<Action> {
        let Some(processor) = &mut self.processor else { return actions };
        processor.calls.extend(actions);
        Vec::new()
    }

    /// Lets the processor work for a millisecond: calls that are decided on are sent before the next event is
    /// handled.
    pub(super) fn run_processor(&mut self) {
        let end = (self.now + 1) * 1_000;
        let in_period = self.now % ALLOWANCE_PERIOD_MS;
        if self.processor.as_ref().is_some_and(|p| in_period >= p.allowance_ms) {
            return;
        }
        while let Some(processor) = self.processor.as_mut().filter(|p| p.free_at_us < end) {
            processor.free_at_us = processor.free_at_us.max(self.now * 1_000);
            if let Some(action) = processor.calls.pop_front() {
                processor.free_at_us += processor.cost.call_us;
                self.carry_out(action);
            } else if !self.handle_next_event() {
                return;
            }
        }
    }

    /// Handles the next event that waits; returns false if there is none.
    fn handle_next_event(&mut self) -> bool {
        let (now, unix) = (Instant(self.now), self.unix());
        let Some(processor) = &mut self.processor else { return false };
        let Some((waited, event)) = processor.events.pop(now) else { return false };
        processor.free_at_us += processor.cost.event_us;
        let (urgent, any) = &mut processor.longest_waits;
        *any = (*any).max(waited.0);
        if event_queue::urgency_of_event(&event) == Urgency::Urgent {
            *urgent = (*urgent).max(waited.0);
        }
        let discipline = processor.discipline;
        if let (Event::Cancel(key, _), true) = (&event, self.cx.is_some()) {
            self.record_cancellation_heard(*key);
        }
        if let Some(cx) = &mut self.cx {
            match discipline {
                Discipline::ByUrgency => {
                    cx.handle_waiting(now, unix, waited, event);
                    cx.run_due();
                }
                Discipline::ByArrival => cx.handle(now, unix, event),
            }
            self.carry_out_actions();
        }
        true
    }
}
