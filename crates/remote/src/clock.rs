//! Reads the host's monotonic clock and its wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use gaplock_types::time;

/// Reads the monotonic clock, which keeps running while a process is frozen or the host sleeps.
///
/// All processes of a host read the same clock; clocks of different hosts are never compared.
pub fn now() -> time::Instant {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time::Instant(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
}

/// Reads the wall clock, in milliseconds since 1970. Use it only for times shown to people and for
/// long retention.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
