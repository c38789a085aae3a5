//! Measurements of the decisions against plain baselines, on virtual time and seeds: the same command
//! gives the same table. The baselines live here and nowhere else.

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

/// The measurements that [`measure`] knows.
pub const NAMES: &str = "pairing, overload, fairness, badworker, scale, leader";

/// Makes a measurement; none has another name.
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
