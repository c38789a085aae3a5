//! The coordination logic of gaplock's daemons, which other programs can embed as well.
//!
//! All modules are sans-I/O: they take the time, messages and answers as arguments and return what
//! should be done as [`action::Action`] values, so that a seed reproduces a whole run. The modules,
//! from the lowest layer up: [`journal`] stores a partition's records through compare-and-swap and
//! fences previous owners; [`state`] applies records; [`link`] tracks what may still run on a
//! worker; [`partition`] makes the decisions of one partition; [`members`] and [`assign`] determine
//! which entry should own which partition; [`generation`] keeps the configuration from reverting to
//! an older one; [`node`] combines them into one entry. `docs/DESIGN.md` describes the design
//! options that were considered.

pub mod action;
pub mod assign;
pub mod context;
pub mod generation;
pub mod intent;
pub mod journal;
pub mod keys;
pub mod link;
pub mod members;
pub mod node;
pub mod partition;
pub mod records;
pub mod state;
