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
const NO_LOAD_FORECAST: &str = "no-load-forecast";
const NO_PACE_BY_SLACK: &str = "no-pace-by-slack";
const LIMIT_BEST_EFFORT: &str = "limit-best-effort";
const NO_LOAD_ACCOUNT: &str = "no-load-account";
const CLASS_SHARES: &str = "class-shares";
const ADMIT_ALL: &str = "admit-all";

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
    setting(
        NO_LOAD_FORECAST,
        Kind::Switch,
        "",
        None,
        "Extrapolates the load of serving tasks by its slope instead of forecasting it by its period.",
    ),
    setting(
        NO_PACE_BY_SLACK,
        Kind::Switch,
        "",
        None,
        "Slows down, moves and starts best-effort tasks without regard to the time their jobs have.",
    ),
    setting(
        LIMIT_BEST_EFFORT,
        Kind::Switch,
        "",
        None,
        "Limits the best-effort work that is under way at one time in a pool.",
    ),
    setting(
        NO_LOAD_ACCOUNT,
        Kind::Switch,
        "",
        None,
        "Neither shows, logs and stores the load of the queues nor shares it between hosts.",
    ),
    setting(
        CLASS_SHARES,
        Kind::Switch,
        "",
        None,
        "Holds long-running tasks to their share of a pool while short tasks wait.",
    ),
    setting(
        ADMIT_ALL,
        Kind::Switch,
        "",
        None,
        "Admits jobs also where their queue cannot be drained within three times their objective.",
    ),
];

/// Returns whether jobs are refused that would end too late to be of use.
pub fn admission_control(values: &Values) -> bool {
    !values.switch(ADMIT_ALL)
}

/// The time within which the answers to a burst of starts must be handled, in seconds: well below
/// the 0.4 s after which a call to a worker counts as unanswered.
const BURST_ANSWERS_WITHIN_S: f64 = 0.15;

/// The processor time that a start and its answer take, in seconds (`docs/CAPACITY.md`).
const START_CPU_S: f64 = 0.000_25;

/// The size of a start and its answer, in bytes: the largest that occurs with the texts of callers
/// on the users' sites.
const START_BYTES: f64 = 3_000.0;

/// The smallest limit of starts in flight, which the least powerful host has.
const MIN_STARTS_IN_FLIGHT: usize = 16;

/// Returns how many starts a host with this share of a processor and this link may have in flight.
pub fn max_starts_in_flight(cpu_share: f64, link_mbps: f64) -> usize {
    let by_cpu = BURST_ANSWERS_WITHIN_S * cpu_share / START_CPU_S;
    let by_link = BURST_ANSWERS_WITHIN_S * link_mbps * 1_000_000.0 / 8.0 / START_BYTES;
    (by_cpu.min(by_link) as usize).max(MIN_STARTS_IN_FLIGHT)
}

/// Builds the scheduler's settings.
pub fn scheduler(values: &Values, installation: &Installation) -> Settings {
    let mut cfg = Settings {
        renew_wait: Millis(values.number(RENEW_WAIT)),
        commit_delay: Millis(values.number(COMMIT_DELAY)),
        forecasts_load: !values.switch(NO_LOAD_FORECAST),
        load_account: !values.switch(NO_LOAD_ACCOUNT),
        class_shares: values.switch(CLASS_SHARES),
        max_starts_in_flight: max_starts_in_flight(installation.cpu_share, installation.link_mbps),
        pace_by_slack: !values.switch(NO_PACE_BY_SLACK),
        limit_best_effort: values.switch(LIMIT_BEST_EFFORT),
        ..Settings::default()
    };
    installation::apply(installation, &mut cfg);
    cfg
}
