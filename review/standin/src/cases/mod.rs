//! The cases.

mod zone_cut;

use std::io;

use crate::{Outcome, Setup};

/// Runs the case of a name.
///
/// # Errors
/// Returns why it could not run.
pub fn run(case: &str, setup: &Setup) -> io::Result<Outcome> {
    match case {
        "zone-cut" => zone_cut::run(setup),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}
