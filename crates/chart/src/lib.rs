//! Loads, checks and interprets the state charts under `charts/`.
//!
//! A chart is a small text file. Keeping it outside the code lets a newcomer read every state of a
//! task or a worker in one place, and lets [`Chart::parse`] refuse a chart with an unreachable
//! state or an event that some state does not mention. The language is described in
//! `docs/DESIGN.md`, section State charts.

mod parse;
pub mod table;

use std::fmt;

/// A state by its position in the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State(pub(crate) u8);

/// An event by its position in the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Event(pub(crate) u8);

/// What a state does on an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Go to a state.
    Go(State),
    /// Stay; the event means nothing here.
    Keep,
    /// The event must not come here.
    Never,
}

/// A checked state chart.
#[derive(Debug, Clone)]
pub struct Chart {
    pub(crate) name: String,
    pub(crate) states: Vec<String>,
    pub(crate) finals: Vec<bool>,
    pub(crate) events: Vec<String>,
    /// One step for each state and event, state-major.
    pub(crate) transitions: Vec<Transition>,
    pub(crate) start: State,
}

/// Why a chart was refused.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("line {line}: {why}")]
pub struct ChartError {
    /// The line, counted from one; 0 where the whole chart is meant.
    pub line: usize,
    /// What is wrong.
    pub why: String,
}

/// An event came in a state that the chart marks `never` for it.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("chart {chart}: `{event}` must not come in state `{state}`")]
pub struct ForbiddenEvent {
    /// The chart.
    pub chart: String,
    /// The state.
    pub state: String,
    /// The event.
    pub event: String,
}

/// The result of loading a chart.
pub type Result<T> = std::result::Result<T, ChartError>;

impl Chart {
    /// Parses and checks a chart.
    ///
    /// # Errors
    /// Returns the first fault: a line that cannot be read, a state that cannot be reached, or a
    /// state that does not mention an event.
    pub fn parse(text: &str) -> Result<Self> {
        parse::parse(text)
    }

    /// Returns the state in which everything begins.
    pub fn start(&self) -> State {
        self.start
    }

    /// Returns the state that follows `state` on `event`.
    ///
    /// # Errors
    /// Returns [`Forbidden`] where the chart says `never`.
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

    /// Tells whether nothing follows `state`.
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
