//! Computes service-level burn: how fast each service and partner uses up its error budget, and the causes.
//!
//! Entries do not store their counters, so this crate samples them from outside and stores the samples in a
//! file if one is given. Except for [`sample::take`], the library does no I/O.

pub mod burn;
pub mod html;
pub mod sample;
pub mod scrape;
