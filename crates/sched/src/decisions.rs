//! Functions that read the state and return an answer; they change nothing.

pub mod asks;
pub mod availability;
pub mod choices;
pub mod interference;
pub mod best_effort;
pub mod leaving;
pub mod losses;
pub mod paces;
pub mod placement;
pub mod racks;
pub mod room;
pub mod slowness;
pub mod waves;
