//! Loads, checks and interprets the state charts under `charts/`.
//!
//! A chart is a small text file that defines a state machine. Keeping charts outside the code puts
//! every state of a task or a worker in one place for the reader, and lets [`Chart::parse`] reject
//! a chart with an unreachable state or with an event that some state does not handle. The language
//! is described in `docs/DESIGN.md`, section State charts.

pub mod charts;
mod parse;

use std::fmt;

/// A state, as its index in the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State(pub(crate) u8);

/// An event, as its index in the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Event(pub(crate) u8);

/// The effect of an event in one state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Changes to the given state.
    Go(State),
    /// Keeps the state; the event has no effect.
    Keep,
    /// The event is forbidden in this state.
    Never,
}

/// A checked state chart.
#[derive(Debug, Clone)]
pub struct Chart {
    pub(crate) name: String,
    pub(crate) states: Vec<String>,
    pub(crate) finals: Vec<bool>,
    pub(crate) events: Vec<String>,
    /// One transition for each pair of state and event, in state-major order.
    pub(crate) transitions: Vec<Transition>,
    pub(crate) start: State,
}

/// Why a chart was rejected.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("line {line}: {why}")]
pub struct ChartError {
    /// The line number, starting at 1; 0 if the error concerns the whole chart.
    pub line: usize,
    /// What is wrong.
    pub why: String,
}

/// The error for an event in a state whose chart marks the event as `never`.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("chart {chart}: `{event}` must not come in state `{state}`")]
pub struct ForbiddenEvent {
    /// The chart's name.
    pub chart: String,
    /// The state's name.
    pub state: String,
    /// The event's name.
    pub event: String,
}

/// The result of loading a chart.
pub type Result<T> = std::result::Result<T, ChartError>;

impl Chart {
    /// Parses and checks a chart.
    ///
    /// # Errors
    /// Returns the first error found: a line that cannot be parsed, an unreachable state, or a
    /// state that does not handle an event.
    pub fn parse(text: &str) -> Result<Self> {
        parse::parse(text)
    }

    /// Returns the initial state.
    pub fn start(&self) -> State {
        self.start
    }

    /// Returns the state that follows `state` on `event`.
    ///
    /// # Errors
    /// Returns [`ForbiddenEvent`] if the chart marks `event` as `never` in `state`.
    pub fn step(&self, state: State, event: Event) -> std::result::Result<State, ForbiddenEvent> {
        match self.transitions[usize::from(state.0) * self.events.len() + usize::from(event.0)] {
            Transition::Go(next) => Ok(next),
            Transition::Keep => Ok(state),
            Transition::Never => Err(ForbiddenEvent {
                chart: self.name.clone(),
                state: self.state_name(state).to_string(),
                event: self.events[usize::from(event.0)].clone(),
            }),
        }
    }

    /// Finds a state by name.
    pub fn state(&self, name: &str) -> Option<State> {
        self.states.iter().position(|s| s == name).map(|i| State(i as u8))
    }

    /// Finds an event by name.
    pub fn event(&self, name: &str) -> Option<Event> {
        self.events.iter().position(|e| e == name).map(|i| Event(i as u8))
    }

    /// Returns a state's name.
    pub fn state_name(&self, state: State) -> &str {
        &self.states[usize::from(state.0)]
    }

    /// Returns whether `state` is final, which means that it has no successor.
    pub fn is_final(&self, state: State) -> bool {
        self.finals[usize::from(state.0)]
    }

    /// Returns the names of all states.
    pub fn state_names(&self) -> impl Iterator<Item = &str> {
        self.states.iter().map(String::as_str)
    }
}

impl fmt::Display for Chart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({} states, {} events)", self.name, self.states.len(), self.events.len())
    }
}
