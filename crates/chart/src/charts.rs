//! The charts that the daemons use, with an enum for the states and one for the events of each.
//!
//! Each chart file is compiled in and parsed once, at first use. An enum value whose name is not in
//! the file is a programming error and panics when it is looked up.

use std::fmt;
use std::sync;

use crate::{Chart, ForbiddenEvent};

/// Declares the typed states and events of one chart file.
macro_rules! chart {
    ($(#[$doc:meta])* $module:ident, $file:literal,
     states { $($state:ident = $state_name:literal),* $(,)? }
     events { $($event:ident = $event_name:literal),* $(,)? }) => {
        $(#[$doc])*
        pub mod $module {
            use super::*;

            /// Returns the chart, parsed from its file at the first call.
            pub fn chart() -> &'static Chart {
                static CHART: sync::OnceLock<Chart> = sync::OnceLock::new();
                CHART.get_or_init(|| {
                    let text = include_str!(concat!("../../../charts/", $file));
                    Chart::parse(text).unwrap_or_else(|e| panic!("charts/{}: {e}", $file))
                })
            }

            /// A state of the chart.
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub enum State {
                $(#[doc = concat!("The state `", $state_name, "`.")] $state,)*
            }

            /// An event of the chart.
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub enum Event {
                $(#[doc = concat!("The event `", $event_name, "`.")] $event,)*
            }

            impl State {
                const ALL: &'static [Self] = &[$(Self::$state,)*];

                /// Returns the state's name in the chart file.
                pub fn name(self) -> &'static str {
                    match self {
                        $(Self::$state => $state_name,)*
                    }
                }

                /// Finds a state by its name in the chart file.
                pub fn from_name(name: &str) -> Option<Self> {
                    Self::ALL.iter().copied().find(|s| s.name() == name)
                }

                fn id(self) -> crate::State {
                    let name = self.name();
                    chart()
                        .state(name)
                        .unwrap_or_else(|| panic!("no state `{name}` in charts/{}", $file))
                }

                /// Returns the state that follows on `event` according to the chart.
                ///
                /// # Errors
                /// Returns [`ForbiddenEvent`] if the chart marks `event` as `never` in this state.
                pub fn step(self, event: Event) -> Result<Self, ForbiddenEvent> {
                    let next = chart().step(self.id(), event.id())?;
                    let name = chart().state_name(next);
                    Ok(Self::from_name(name).unwrap_or_else(|| panic!("no variant for `{name}`")))
                }

                /// Returns whether this state is final, which means that it has no successor.
                pub fn is_final(self) -> bool {
                    chart().is_final(self.id())
                }
            }

            impl Event {
                /// Returns the event's name in the chart file.
                pub fn name(self) -> &'static str {
                    match self {
                        $(Self::$event => $event_name,)*
                    }
                }

                fn id(self) -> crate::Event {
                    let name = self.name();
                    chart()
                        .event(name)
                        .unwrap_or_else(|| panic!("no event `{name}` in charts/{}", $file))
                }
            }

            impl fmt::Display for State {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(self.name())
                }
            }
        }
    };
}

chart!(
    /// A task from its submission to its end, as recorded in the journal.
    task, "task.chart",
    states {
        Queued = "queued", Assigned = "assigned", Done = "done", Failed = "failed",
        Cancelled = "cancelled",
    }
    events {
        Assign = "assign", Requeue = "requeue", Finish = "finish", GiveUp = "give-up",
        Cancel = "cancel",
    }
);

chart!(
    /// A worker from the point of view of its partition's owner.
    upstream, "upstream.chart",
    states {
        Unknown = "unknown", Usable = "usable", Silent = "silent", Quarantined = "quarantined",
        Leaving = "leaving", Gone = "gone",
    }
    events {
        Answer = "answer", Silence = "silence", Bad = "bad", Probation = "probation",
        Leave = "leave", Return = "return", Drop = "drop",
    }
);

chart!(
    /// A partition from the point of view of one entry.
    ownership, "ownership.chart",
    states {
        Other = "other", Loading = "loading", Claiming = "claiming", Owner = "owner",
        Draining = "draining",
    }
    events {
        Want = "want", Loaded = "loaded", Claimed = "claimed", Fenced = "fenced",
        Release = "release", Released = "released", StoreLost = "store-lost",
    }
);

chart!(
    /// An operator's plan at the entry that created it.
    intent, "intent.chart",
    states {
        Planned = "planned", Confirming = "confirming", Accepted = "accepted",
        Refused = "refused",
    }
    events {
        Confirm = "confirm", Stored = "stored", Conflict = "conflict", Expire = "expire",
    }
);
