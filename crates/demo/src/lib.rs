//! Starts the daemons and the stand-ins as separate processes, for the demo and the proofs.
//!
//! This is not a cluster simulator: it starts processes, sends them signals, interrupts connections
//! with small relays, and reads the reports of the stand-ins' checkers. It is not shipped.

pub mod calls;
pub mod cluster;
pub mod load;
pub mod process;
pub mod prove;
pub mod relay;
pub mod site;
