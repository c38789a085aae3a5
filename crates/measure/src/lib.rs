//! Measures scheduling decisions against simple baseline policies in seeded simulations on virtual time,
//! so that the same command gives the same table. The baselines are used only in this crate.

mod badworker;
mod draw;
mod fairness;
mod leader;
mod overload;
mod pairing;
pub mod patterns;
pub mod report;
mod scale;
mod site;

use report::Report;

/// The names that [`measure`] accepts, for error messages.
pub const NAMES: &str = "pairing, overload, fairness, badworker, scale, leader";

/// Runs the measurement with this name, or returns `None` if there is no such measurement.
pub fn measure(name: &str, seed: u64) -> Option<Report> {
    let measure = match name {
        "pairing" => pairing::measure,
        "overload" => overload::measure,
        "fairness" => fairness::measure,
        "badworker" => badworker::measure,
        "scale" => scale::measure,
        "leader" => leader::measure,
        _ => return None,
    };
    Some(measure(seed))
}
