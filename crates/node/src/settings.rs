//! The daemon's own settings, from flags and environment variables.

use gaplock_platform::installation::{self, Installation};
use gaplock_sched::Settings;
use gaplock_settings::{setting, Kind, Setting, Values};
use gaplock_types::time::Millis;

/// The setting for the log level.
pub const LOG: &str = "log";

/// The setting for the port of the metrics.
pub const METRICS_PORT: &str = "metrics-port";

/// The setting for the address of the metrics.
pub const METRICS_IP: &str = "metrics-ip";

const RENEW_WAIT: &str = "renew-wait";
const COMMIT_DELAY: &str = "commit-delay";

/// Every setting.
pub const TABLE: &[Setting] = &[
    setting(LOG, Kind::Text, "LEVEL", Some("info"), "How much is logged."),
    setting(
        METRICS_PORT,
        Kind::Number { min: 1, max: 65_535 },
        "PORT",
        Some("9464"),
        "The port on which metrics are served.",
    ),
    setting(
        METRICS_IP,
        Kind::Text,
        "IP",
        Some("0.0.0.0"),
        "The host's address on which metrics are served; every one, if not given.",
    ),
    setting(
        RENEW_WAIT,
        Kind::Number { min: 100, max: 2_000 },
        "MS",
        Some("1000"),
        "How long a renewal may wait at a worker for a task's end.",
    ),
    setting(
        COMMIT_DELAY,
        Kind::Number { min: 0, max: 1_000 },
        "MS",
        Some("60"),
        "How long ends of tasks are gathered into one commit.",
    ),
];

/// Builds the scheduler's settings.
pub fn scheduler(values: &Values, installation: &Installation) -> Settings {
    let mut cfg = Settings {
        renew_wait: Millis(values.number(RENEW_WAIT)),
        commit_delay: Millis(values.number(COMMIT_DELAY)),
        ..Settings::default()
    };
    installation::apply(installation, &mut cfg);
    cfg
}
