//! The scheduler's decisions and state, without any input or output.
//!
//! [`context::Context`] owns everything that the leader of an installation knows. Events go in
//! with the time at which they happened, actions come out; a driver carries the actions out and
//! reports what became of them. `docs/PLATFORM.md` explains the design, above all why a successor
//! learns what runs from the workers themselves.

pub mod account;
pub mod checkpoints;
pub mod claims;
pub mod commits;
pub mod context;
pub mod crashes;
pub mod decisions;
pub mod directory;
pub mod dispatch;
pub mod doubts;
pub mod drain;
pub mod ends;
pub mod evacuation;
pub mod gangs;
pub mod gone;
pub mod intake;
pub mod leases;
pub mod lifecycle;
pub mod message;
pub mod moving;
pub mod orders;
pub mod pacing;
pub mod permits;
pub mod proof;
pub mod renewals;
pub mod roster;
pub mod scarcity;
pub mod searches;
pub mod settings;
pub mod speed;
pub mod starts;
pub mod state;
pub mod stragglers;
pub mod table;
pub mod takeover;
pub mod trace;
pub mod trials;
pub mod upkeep;
pub mod worker;
pub mod writing;

pub use context::Context;
pub use decisions::{availability, choices, placement, room};
pub use message::{Action, Event};
pub use settings::Settings;
