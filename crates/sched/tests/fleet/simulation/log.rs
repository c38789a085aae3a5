//! Prints the scheduler's log lines with virtual times, to debug a test or a seed:
//! `FLEET_LOG=1 cargo test -p gaplock-sched --test fleet NAME -- --nocapture`.

use std::cell::Cell;
use std::fmt;

use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

thread_local! {
    static NOW: Cell<u64> = const { Cell::new(0) };
}

/// The virtual clock of the simulation that runs in this thread.
struct VirtualTime;

impl FormatTime for VirtualTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        write!(w, "{}", NOW.get())
    }
}

/// Prints log lines from now on if `FLEET_LOG` is set.
pub fn open() {
    if std::env::var_os("FLEET_LOG").is_some() {
        // Fails if another simulation of this process has installed a subscriber already, which is fine.
        tracing_subscriber::fmt().with_timer(VirtualTime).with_ansi(false).try_init().ok();
    }
}

/// Sets the virtual time of the log lines that follow.
pub fn set_now(now: u64) {
    NOW.set(now);
}
