//! Forecasts of periodic load.
//!
//! Many series share one period but not their phases. [`period::PeriodSearch`] finds the period
//! from a bounded number of series; [`series::Series`] learns level, amplitude and phase of one
//! series and answers how high its load will be.
//!
//! All code here is sans-I/O: it works on plain data and takes the time as an argument. It knows
//! neither jobs nor hosts, so it can be embedded without the rest of the scheduler.
//! `docs/design/hard-load.md`, part F, describes the load that it handles.

pub mod bin;
pub mod harmonic;
pub mod period;
pub mod series;
