//! The cases of the second independent review that are scripts (`forgotten`, `gangs` and `silent`),
//! and further faults that it saw (`images`, `times` and `holders`); see `review/REPORT-2.md`.
//!
//! Each exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
//! With `TROUBLE=0` the disruption is left out.

mod deployment;
mod forgotten;
mod gangs;
mod holders;
mod images;
mod limited;
mod silent;
mod times;
mod worker;

use std::env;
use std::process::ExitCode;

use deployment::{CannotRun, Record};

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let record = Record::new();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = env::args().nth(1).unwrap_or_default();
    let outcome = match case.as_str() {
        "forgotten" => forgotten::run(&record, trouble),
        "holders" => holders::run(&record, trouble),
        "gangs" => gangs::run(&record, trouble),
        "images" => images::run(&record, trouble),
        "silent" => silent::run(&record, trouble),
        "times" => times::run(&record, trouble),
        _ => Err(CannotRun(format!("there is no case `{case}`"))),
    };
    let code = match outcome {
        Ok(broken) if broken.is_empty() => {
            record.note("the rule held");
            HELD
        }
        Ok(broken) => {
            broken.iter().for_each(|what| record.note(format!("BROKEN: {what}")));
            BROKEN
        }
        Err(CannotRun(why)) => {
            record.note(format!("could not run: {why}"));
            COULD_NOT_RUN
        }
    };
    if let Err(e) = record.write() {
        eprintln!("the record cannot be written: {e}");
        return ExitCode::from(COULD_NOT_RUN);
    }
    ExitCode::from(code)
}
