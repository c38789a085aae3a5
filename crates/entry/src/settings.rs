//! The entry's settings: the table that declares them, and the typed values read from it.

use std::time::Duration;

use gaplock_coord::assign;
use gaplock_coord::context::Timing;
use gaplock_serve::budget::{self, Amount, Budget, Bytes};
use gaplock_settings::{setting, Kind, Setting, SettingErrors, Values};
use gaplock_types::{ids, time};

const UNIT_MS: &str = "MS";
const UP_TO_ONE_DAY_MS: Kind = Kind::Number { min: 1, max: 86_400_000 };

/// Every setting of the entry.
pub const TABLE: &[Setting] = &[
    setting("name", Kind::Text, "NAME", None, "This entry's name, unique among the entries."),
    setting("domain", Kind::Text, "NAME", None, "The failure domain of this entry's host."),
    setting(
        "domains",
        Kind::List,
        "NAMES",
        None,
        "Every failure domain with workers, in an order that never changes; add at the end.",
    ),
    setting(
        "slices",
        Kind::Number { min: 1, max: 64 },
        "N",
        Some("2"),
        "Partitions in each failure domain; the same at every entry, for good.",
    ),
    setting("store", Kind::Addr, "ADDR", None, "The platform's key-value service."),
    setting("hosts", Kind::Addr, "ADDR", None, "The platform's host list."),
    setting(
        "listen",
        Kind::Addr,
        "ADDR",
        Some("127.0.0.1:0"),
        "Where callers and operators connect; behind the platform's balancer.",
    ),
    setting(
        "listen-health",
        Kind::Addr,
        "ADDR",
        Some("127.0.0.1:0"),
        "Where health, readiness and metrics are served.",
    ),
    setting(
        "listen-peers",
        Kind::Addr,
        "ADDR",
        Some("127.0.0.1:0"),
        "Where the other entries connect.",
    ),
    setting(
        "advertise-peers",
        Kind::Text,
        "ADDR",
        Some(""),
        "The address that the other entries are told, where it differs from the one listened on.",
    ),
    setting(
        "peer-secret",
        Kind::Secret,
        "FILE",
        None,
        "The secret that the entries share; also signs plans.",
    ),
    setting(
        "bootstrap-key",
        Kind::Secret,
        "FILE",
        Some(""),
        "The operator's key that counts until the first configuration is accepted.",
    ),
    setting("log", Kind::Text, "FILTER", Some("info"), "What is logged."),
    setting(
        "max-connections",
        Kind::Number { min: 1, max: 100_000 },
        "N",
        Some("4096"),
        "Callers' connections at once.",
    ),
    setting(
        "max-body",
        Kind::Number { min: 1_024, max: 16_777_216 },
        "BYTES",
        Some("1048576"),
        "The largest body of a request.",
    ),
    setting(
        "client-memory",
        Kind::Number { min: 16, max: 65_536 },
        "MB",
        Some("256"),
        "What all clients together may hold, in megabytes.",
    ),
    setting(
        "header-limit",
        Kind::Number { min: 100, max: 60_000 },
        UNIT_MS,
        Some("15000"),
        "How long a connection may wait for a whole header, idle time included.",
    ),
    setting(
        "store-limit",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("1000"),
        "The longest wait for a store answer.",
    ),
    setting(
        "worker-limit",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("1500"),
        "The longest wait for a command's answer.",
    ),
    setting(
        "stop-limit",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("20000"),
        "The longest time a planned stop takes.",
    ),
    setting(
        "tick",
        Kind::Number { min: 5, max: 1_000 },
        UNIT_MS,
        Some("100"),
        "How often decisions are made.",
    ),
    setting(
        "hosts-every",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("1000"),
        "How often the host list is read.",
    ),
    setting(
        "config-wait",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("4000"),
        "How long one waiting read of the configuration lasts.",
    ),
    setting(
        "commit-delay",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("20"),
        "How long a change waits for others to be stored with it.",
    ),
    setting(
        "commit-timeout",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("2000"),
        "After this long an unstored change is answered as unknown.",
    ),
    setting(
        "lease-every",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("4000"),
        "How often a worker's lease is renewed.",
    ),
    setting(
        "task-ttl",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("30000"),
        "How long tasks go on at a worker that no owner reaches.",
    ),
    setting(
        "silent-limit",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("120000"),
        "How long a listed worker may be silent before its tasks run elsewhere.",
    ),
    setting(
        "renew-right",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("4500000"),
        "How long an owner goes on without the store; longer than the longest outage.",
    ),
    setting(
        "confirm-every",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("10000"),
        "How often an idle owner checks that it is still owner.",
    ),
    setting(
        "beat-every",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("1000"),
        "How often entries tell each other that they live.",
    ),
    setting(
        "member-ttl",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("3000"),
        "Silence after which an entry counts as dead.",
    ),
    setting(
        "member-refresh",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("2000"),
        "How often an entry refreshes its record in the store.",
    ),
    setting(
        "config-max-age",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("10000"),
        "How long a configuration is served without evidence that it is the newest.",
    ),
    setting(
        "drift",
        Kind::Number { min: 0, max: 500 },
        "PER-MILLE",
        Some("10"),
        "The assumed bound on clock drift between hosts.",
    ),
    setting(
        "once-keep",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("86400000"),
        "How long the key of a request that must not be repeated is kept.",
    ),
    setting(
        "job-keep",
        UP_TO_ONE_DAY_MS,
        UNIT_MS,
        Some("3600000"),
        "How long an ended job stays visible.",
    ),
];

/// The entry's settings, typed and checked.
#[derive(Debug, Clone)]
pub struct Cfg {
    /// This entry's name.
    pub name: ids::EntryId,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// How partitions are laid out over failure domains.
    pub layout: assign::Layout,
    /// The store's address.
    pub store: String,
    /// The host list's address.
    pub hosts: String,
    /// Listen address for callers and operators.
    pub listen: String,
    /// Listen address for health, readiness and metrics.
    pub listen_health: String,
    /// Listen address for the other entries.
    pub listen_peers: String,
    /// The address given to the other entries, if it differs from the one listened on.
    pub advertise_peers: Option<String>,
    /// The secret that the entries share; it also signs plans.
    pub peer_secret: String,
    /// The operator's key that is valid until the first configuration is accepted.
    pub bootstrap_key: Option<String>,
    /// The log filter.
    pub log: String,
    /// Limits of the callers' listener.
    pub limits: gaplock_serve::Limits,
    /// What all clients together may hold.
    pub client_memory: Bytes,
    /// The longest wait for the store's answer.
    pub store_limit: Duration,
    /// The longest wait for a worker's answer to a command.
    pub worker_limit: Duration,
    /// The longest time a planned stop takes.
    pub stop_limit: Duration,
    /// The interval between ticks, at which decisions are made.
    pub tick: Duration,
    /// How often the host list is read.
    pub hosts_every: Duration,
    /// How long one blocking read of the configuration waits for a change.
    pub config_wait: Duration,
    /// Intervals and time limits of the coordination code.
    pub timing: Timing,
}

const BYTES_PER_MB: u64 = 1_000_000;

impl Cfg {
    /// Returns the budget of the callers' and the health listener. Callers have all their
    /// connections beside what is reserved for the health listener.
    pub fn client_budget(&self) -> Budget {
        let reserved = self.limits.max_connections * 3 / 5;
        budget::divide(Amount {
            memory: self.client_memory,
            connections: self.limits.max_connections + reserved.max(MIN_RESERVED_CONNECTIONS),
        })
    }
}

/// The fewest connections that are reserved beside those of callers.
const MIN_RESERVED_CONNECTIONS: usize = 16;

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_string())
}

/// Parses the typed settings and checks those that depend on each other.
///
/// # Errors
/// Returns all invalid timing settings together, or else the first list or name that does not
/// parse.
pub fn parse(values: &Values) -> Result<Cfg, SettingErrors> {
    let domains: Vec<ids::DomainId> = values.list("domains")?;
    let duration = |name| Duration::from_millis(values.number(name));
    let timing = timing(values);
    let mut errors = timing_errors(&timing);
    if values.number("config-wait") * 2 > timing.config_max_age.0 {
        errors.push("--config-wait: it must be at most half of --config-max-age".to_string());
    }
    let name =
        values.text("name").parse().map_err(|e| SettingErrors(vec![format!("--name: {e}")]))?;
    let domain =
        values.text("domain").parse().map_err(|e| SettingErrors(vec![format!("--domain: {e}")]))?;
    if !errors.is_empty() {
        return Err(SettingErrors(errors));
    }
    Ok(Cfg {
        name,
        domain,
        layout: assign::Layout { domains, slices: values.number("slices") as u32 },
        store: values.text("store").to_string(),
        hosts: values.text("hosts").to_string(),
        listen: values.text("listen").to_string(),
        listen_health: values.text("listen-health").to_string(),
        listen_peers: values.text("listen-peers").to_string(),
        advertise_peers: non_empty(values.text("advertise-peers")),
        peer_secret: values.text("peer-secret").to_string(),
        bootstrap_key: non_empty(values.text("bootstrap-key")),
        log: values.text("log").to_string(),
        limits: gaplock_serve::Limits {
            max_connections: values.number("max-connections") as usize,
            header_timeout: duration("header-limit"),
            idle_timeout: duration("header-limit"),
            max_body_bytes: values.number("max-body") as usize,
            ..Default::default()
        },
        client_memory: Bytes(values.number("client-memory") * BYTES_PER_MB),
        store_limit: duration("store-limit"),
        worker_limit: duration("worker-limit"),
        stop_limit: duration("stop-limit"),
        tick: duration("tick"),
        hosts_every: duration("hosts-every"),
        config_wait: duration("config-wait"),
        timing,
    })
}

/// Reads the intervals and time limits.
fn timing(values: &Values) -> Timing {
    let millis = |name| time::Millis(values.number(name));
    Timing {
        commit_delay: millis("commit-delay"),
        commit_timeout: millis("commit-timeout"),
        lease_every: millis("lease-every"),
        task_ttl: millis("task-ttl"),
        silent_limit: millis("silent-limit"),
        renew_limit: millis("renew-right"),
        confirm_every: millis("confirm-every"),
        beat_every: millis("beat-every"),
        member_ttl: millis("member-ttl"),
        member_refresh: millis("member-refresh"),
        config_max_age: millis("config-max-age"),
        drift_per_mille: values.number("drift"),
        claim_retention: millis("once-keep"),
        job_retention: millis("job-keep"),
    }
}

/// Lists the timing settings that are too short compared with another one.
fn timing_errors(t: &Timing) -> Vec<String> {
    let mut errors = Vec::new();
    let mut require = |holds: bool, why: &str| {
        if !holds {
            errors.push(why.to_string());
        }
    };
    require(
        t.task_ttl.0 >= 3 * t.lease_every.0,
        "--task-ttl: it must be at least three times --lease-every",
    );
    require(
        t.member_ttl.0 >= 3 * t.beat_every.0,
        "--member-ttl: it must be at least three times --beat-every",
    );
    require(
        t.renew_limit.0 >= 3 * t.confirm_every.0,
        "--renew-right: it must be at least three times --confirm-every",
    );
    require(
        t.config_max_age.0 >= 2 * t.member_ttl.0,
        "--config-max-age: it must be at least twice --member-ttl",
    );
    errors
}
