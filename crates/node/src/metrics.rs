//! Metrics of a host, by `prometheus-client`; the number of label values is bounded.

mod clients;
mod leader;
mod overload;

use std::time::Duration;

use gaplock_types::codes::Code;
use gaplock_types::ids;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use clients::ClientMetrics;
pub use leader::{LeaderMetrics, Purpose, TimedCall};
pub use overload::OverloadMetrics;

/// A label with a bounded set of values.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    kind: String,
}

/// A failure domain as a label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DomainLabel {
    domain: String,
}

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5];

/// The maximum number of evacuated failure domains that are shown: above the users' 31, and a limit
/// whatever operators write.
const MAX_EVACUATED_SHOWN: usize = 64;

/// All metrics of a host.
pub struct Metrics {
    registry: Registry,
    answers: Family<Label, Counter>,
    worker_calls: Family<Label, Counter>,
    commits: Family<Label, Counter>,
    config_reads: Family<Label, Counter>,
    commit_time: Histogram,
    evacuated_runs: Family<DomainLabel, Gauge>,
    /// The number of leaderships that this process has held.
    pub terms: Counter,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// How long ago that version was last known to be the newest, in milliseconds.
    pub config_age_ms: Gauge,
    /// The newest version of the configuration that this host has heard of.
    pub config_newest_known: Gauge,
    /// How many followers that are heard from do not have the leader's version; 0 on a follower.
    pub config_hosts_behind: Gauge,
    /// The free capacity of all workers that accept tasks, in thousandths of a core; 0 on a
    /// follower.
    pub free_millicores: Gauge,
    /// The largest free capacity of one such worker. If it is far below the largest demand, the
    /// free capacity is fragmented.
    pub largest_free_millicores: Gauge,
    /// Steps with tasks that wait for a worker; 0 on a follower.
    pub waiting_steps: Gauge,
    /// Directory entries that no worker would write, as last read by the leader.
    pub unreadable_entries: Gauge,
    /// Tasks that are suspected of crashing workers; 0 on a follower.
    pub suspect_tasks: Gauge,
    /// Runs that the leader found of jobs that had already ended; 0 on a follower.
    pub runs_after_end: Gauge,
    /// How long ago the store last confirmed the leader's claim, in milliseconds; 0 on a follower.
    pub unconfirmed_ms: Gauge,
    /// The lag of the leader's view of the directory, in milliseconds.
    pub directory_lag_ms: Gauge,
    /// Events that wait for the leader. If their number keeps growing, the leader cannot keep up. 0
    /// on a follower.
    pub waiting_events: Gauge,
    /// Stored jobs and cancellations of whose notice no leader has taken note yet.
    pub unanswered_notices: Gauge,
    /// The metrics of overload control.
    pub overload: OverloadMetrics,
    /// The metrics of the clients of all listeners.
    pub clients: ClientMetrics,
    /// The metrics of the leader's own work.
    pub leader: LeaderMetrics,
    /// Log lines that were dropped because standard output was not read in time.
    pub log_lines_dropped: Gauge,
}

/// Builds and registers the metrics.
pub fn open() -> Metrics {
    let mut registry = Registry::with_prefix("gaplock");
    let answers = Family::<Label, Counter>::default();
    registry.register("answers", "Answers to callers by result code", answers.clone());
    let orders = Family::<Label, Counter>::default();
    registry.register("worker_calls", "Calls to workers by kind and outcome", orders.clone());
    let commits = Family::<Label, Counter>::default();
    registry.register("commits", "Commits of the leader by outcome", commits.clone());
    let config_reads = Family::<Label, Counter>::default();
    let help = "Reads of the configuration by source and outcome";
    registry.register("config_reads", help, config_reads.clone());
    let commit_time = Histogram::new(BUCKETS);
    registry.register("commit_seconds", "Time of a commit", commit_time.clone());
    let evacuated_runs = Family::<DomainLabel, Gauge>::default();
    let help = "Tasks that still run in an evacuated failure domain";
    registry.register("evacuated_domain_runs", help, evacuated_runs.clone());
    let overload = overload::open(&mut registry);
    let leader = leader::open(&mut registry);
    let clients = clients::open(&mut registry);
    let terms = Counter::default();
    registry.register("terms", "Leaderships held by this process", terms.clone());
    let mut gauge = |name: &str, help: &str| {
        let gauge = Gauge::default();
        registry.register(name, help, gauge.clone());
        gauge
    };
    let config_version = gauge("config_version", "Configuration in force");
    let config_age_ms =
        gauge("config_age_ms", "Time since the configuration in force was known to be the newest");
    let config_newest_known =
        gauge("config_newest_known", "Newest version of the configuration that is heard of");
    let config_hosts_behind =
        gauge("config_hosts_behind", "Followers without the leader's version of the configuration");
    let help = "Log lines dropped because standard output was not read in time";
    let log_lines_dropped = gauge("log_lines_dropped", help);
    let free_millicores = gauge("free_millicores", "Free processors of all workers together");
    let largest_free_millicores =
        gauge("largest_free_millicores", "The most free processors of one worker");
    let waiting_steps = gauge("waiting_steps", "Steps whose tasks wait for a worker");
    let unreadable_entries =
        gauge("unreadable_entries", "Entries of the directory that no worker writes");
    let suspect_tasks = gauge("suspect_tasks", "Tasks that are suspected of crashing workers");
    let runs_after_end = gauge("runs_after_end", "Runs found of jobs that had ended before");
    let unconfirmed_ms = gauge("unconfirmed_ms", "Time since the store confirmed the claim");
    let directory_lag_ms = gauge("directory_lag_ms", "Lag of the view of the workers' directory");
    let waiting_events = gauge("waiting_events", "Events that wait for the leader");
    let unanswered_notices =
        gauge("unanswered_notices", "Notices of jobs and cancellations that no leader answered");
    Metrics {
        registry,
        answers,
        worker_calls: orders,
        commits,
        config_reads,
        commit_time,
        evacuated_runs,
        terms,
        config_version,
        config_age_ms,
        config_newest_known,
        config_hosts_behind,
        free_millicores,
        largest_free_millicores,
        waiting_steps,
        unreadable_entries,
        suspect_tasks,
        runs_after_end,
        unconfirmed_ms,
        directory_lag_ms,
        waiting_events,
        unanswered_notices,
        overload,
        clients,
        leader,
        log_lines_dropped,
    }
}

impl Metrics {
    /// Counts an answer to a caller.
    pub fn count_answer(&self, code: Code) {
        self.answers.get_or_create(&Label { kind: code.row().name.to_string() }).inc();
    }

    /// Counts a call to a worker.
    pub fn count_worker_call(&self, kind: &'static str, outcome: &'static str) {
        self.worker_calls.get_or_create(&Label { kind: format!("{kind}:{outcome}") }).inc();
    }

    /// Counts a read of the configuration.
    pub fn count_config_read(&self, source: &'static str, outcome: &'static str) {
        self.config_reads.get_or_create(&Label { kind: format!("{source}:{outcome}") }).inc();
    }

    /// Counts a commit.
    pub fn count_commit(&self, outcome: &'static str, took: Duration) {
        self.commits.get_or_create(&Label { kind: outcome.to_string() }).inc();
        self.commit_time.observe(took.as_secs_f64());
    }

    /// Shows the evacuated failure domains, each with the number of tasks that still run there.
    /// Other domains are not shown.
    pub fn show_evacuated<'a>(&self, domains: impl Iterator<Item = (&'a ids::DomainId, usize)>) {
        self.evacuated_runs.clear();
        for (domain, runs) in domains.take(MAX_EVACUATED_SHOWN) {
            let label = DomainLabel { domain: domain.to_string() };
            self.evacuated_runs.get_or_create(&label).set(runs as i64);
        }
    }

    /// Renders the metrics as text.
    pub fn render(&self) -> String {
        let mut out = String::new();
        if let Err(e) = text::encode(&mut out, &self.registry) {
            tracing::warn!(event = "metrics_not_rendered", error = %e);
        }
        out
    }
}
