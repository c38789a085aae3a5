//! The scheduler's log lines on virtual time, for a look at one seed: `FLEET_LOG=1 cargo test -p
//! gaplock-sched --test fleet NAME -- --nocapture`.

use std::cell::Cell;
use std::fmt;

use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

thread_local! {
    static NOW: Cell<u64> = const { Cell::new(0) };
}

/// The virtual clock of the world that runs in this thread.
struct VirtualTime;

impl FormatTime for VirtualTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        write!(w, "{}", NOW.get())
    }
}

/// Prints log lines from now on, if that is asked for.
pub fn open() {
    if std::env::var_os("FLEET_LOG").is_some() {
        // Another world of this process may have done so before.
        tracing_subscriber::fmt().with_timer(VirtualTime).with_ansi(false).try_init().ok();
    }
}

/// Sets the time of the lines that follow.
pub fn set_now(now: u64) {
    NOW.set(now);
}
