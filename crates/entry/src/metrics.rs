//! The entry's metrics, by `prometheus-client`. Label values come from bounded sets, so that the
//! number of series is bounded too.

use std::sync::atomic::Ordering;
use std::time::Duration;

use gaplock_coord::action::{WorkerAnswer, WorkerCall};
use gaplock_types::ids;
use gaplock_verify::Invariant;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::engine::Engine;

/// A label set with the one label `kind`; its values are constants of the program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    kind: String,
}

/// The labels of the request counter; the configuration bounds services and partners.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    partner: String,
    code: String,
}

/// The labels of the latency histogram; the configuration bounds services and partners.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LatencyLabels {
    service: String,
    partner: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceOnly {
    service: String,
}

/// The answer's header that names the partner who sent the request.
pub const PARTNER_HEADER: &str = "x-gaplock-partner";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartnerOnly {
    partner: String,
}

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 15] =
    [0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// All metrics of the entry.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    answers: Family<Label, Counter>,
    notes: Family<Label, Counter>,
    violations: Family<Label, Counter>,
    worker_calls: Family<Label, Counter>,
    store_calls: Family<Label, Gauge>,
    forwards: Counter,
    events: Counter,
    event_seconds: Counter<f64, std::sync::atomic::AtomicU64>,
    generation: Gauge,
    owned: Gauge,
    free_slots: Family<ServiceOnly, Gauge>,
    waiting: Family<PartnerOnly, Gauge>,
    config_age_ms: Gauge,
}

impl Metrics {
    /// Builds the registry.
    pub fn open() -> Self {
        let mut m = Self {
            registry: Registry::with_prefix("gaplock"),
            requests: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS_S)),
            answers: Family::default(),
            notes: Family::default(),
            violations: Family::default(),
            worker_calls: Family::default(),
            store_calls: Family::default(),
            forwards: Counter::default(),
            events: Counter::default(),
            event_seconds: Counter::default(),
            generation: Gauge::default(),
            owned: Gauge::default(),
            free_slots: Family::default(),
            waiting: Family::default(),
            config_age_ms: Gauge::default(),
        };
        m.register();
        for invariant in Invariant::ALL {
            // Exports a zero for each invariant from the start.
            m.violations.get_or_create(&label(&format!("{invariant:?}"))).inc_by(0);
        }
        m
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("service_requests", "Service requests by result code", self.requests.clone());
        r.register("service_latency_seconds", "Latency of answered requests", self.latency.clone());
        r.register("api_answers", "Answers by status class", self.answers.clone());
        r.register("decisions_noted", "Decisions by kind", self.notes.clone());
        r.register("invariant_violations", "Violated invariants", self.violations.clone());
        r.register("worker_calls", "Calls to workers by kind", self.worker_calls.clone());
        r.register("store_calls", "Store calls by kind", self.store_calls.clone());
        r.register("forwards", "Requests forwarded to a peer", self.forwards.clone());
        r.register("events_handled", "Events handled by the node", self.events.clone());
        r.register(
            "events_handled_seconds",
            "Time spent handling events",
            self.event_seconds.clone(),
        );
        r.register("config_generation", "Generation in force", self.generation.clone());
        r.register("partitions_owned", "Partitions owned", self.owned.clone());
        r.register("free_slots", "Free slots by service", self.free_slots.clone());
        r.register("waiting_tasks", "Waiting tasks by partner", self.waiting.clone());
        let age = "Age of the evidence that the configuration is the newest";
        r.register("config_age_milliseconds", age, self.config_age_ms.clone());
    }

    /// Counts an answered request of the listener for callers and operators.
    pub fn count_answer(&self, path: &str, res: &http_types::Response, took: Duration) {
        let status = u16::from(res.status());
        self.answers.get_or_create(&label(&format!("{}xx", status / 100))).inc();
        let Some(rest) = path.strip_prefix("/v1/services/") else { return };
        let code = res.header("x-gaplock-code").map(|v| v.last().as_str().to_string());
        let code = code.unwrap_or_default();
        // Codes 101 to 103 and a missing code don't show that the service exists. Its name is not
        // used as a label then, since callers could create any number of labels.
        let known = !matches!(code.as_str(), "101" | "102" | "103" | "");
        let header = res.header(PARTNER_HEADER).map(|v| v.last().as_str().to_string());
        let partner = header.unwrap_or_default();
        let name = rest.split('/').next().unwrap_or_default();
        let service = if known { name } else { "unknown" }.to_string();
        let labels = LatencyLabels { service, partner };
        let LatencyLabels { service, partner } = labels.clone();
        self.requests.get_or_create(&RequestLabels { service, partner, code }).inc();
        if status < 400 {
            self.latency.get_or_create(&labels).observe(took.as_secs_f64());
        }
    }

    /// Counts a logged decision.
    pub fn count_note(&self, kind: &'static str) {
        self.notes.get_or_create(&label(kind)).inc();
    }

    /// Counts a violated invariant.
    pub fn count_violation(&self, invariant: Invariant) {
        self.violations.get_or_create(&label(&format!("{invariant:?}"))).inc();
    }

    /// Counts a call to a worker.
    pub fn count_worker_call(&self, req: &WorkerCall, answer: &WorkerAnswer) {
        let kind = match req {
            WorkerCall::Lease(_) => "lease",
            WorkerCall::Start(_) => "start",
            WorkerCall::Control(_) => "control",
        };
        self.worker_calls.get_or_create(&label(kind)).inc();
        if matches!(answer, WorkerAnswer::Unclear) {
            self.worker_calls.get_or_create(&label("unclear")).inc();
        }
    }

    /// Counts a request forwarded to a peer.
    pub fn count_forward(&self) {
        self.forwards.inc();
    }

    /// Counts one handled event and adds the time that it took.
    pub fn count_event(&self, took: Duration) {
        self.events.inc();
        self.event_seconds.inc_by(took.as_secs_f64());
    }

    /// Sets the generation in force.
    pub fn set_generation(&self, generation: ids::Generation) {
        self.generation.set(generation.0 as i64);
    }

    /// Updates the gauges and encodes all metrics as OpenMetrics text.
    pub fn encode(&self, engine: &Engine) -> String {
        let counts = &engine.store.counts;
        for (kind, count) in [
            ("write", &counts.writes),
            ("read", &counts.reads),
            ("watch", &counts.watches),
            ("unclear", &counts.unclear),
        ] {
            let value = count.load(Ordering::Relaxed) as i64;
            self.store_calls.get_or_create(&label(kind)).set(value);
        }
        let owned = engine.with_core(|core| core.node.owned().len());
        self.owned.set(owned as i64);
        let free = engine.with_routing(|r| {
            let services = r.router.services();
            services.into_iter().map(|s| (r.router.free(&s), s)).collect::<Vec<_>>()
        });
        for (free, service) in free {
            let only = ServiceOnly { service: service.to_string() };
            self.free_slots.get_or_create(&only).set(i64::from(free));
        }
        let (waiting, age) = engine
            .with_core(|core| (core.node.waiting_counts(), core.node.generations.age(core.cx.now)));
        self.config_age_ms.set(age.0 as i64);
        self.waiting.clear();
        for (partner, count) in waiting {
            let only = PartnerOnly { partner: partner.to_string() };
            self.waiting.get_or_create(&only).set(count as i64);
        }
        let mut out = String::new();
        text::encode(&mut out, &self.registry).expect("writing to a `String` never fails");
        out
    }
}

fn label(kind: &str) -> Label {
    Label { kind: kind.to_string() }
}
