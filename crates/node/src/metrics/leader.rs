//! Metrics of the leader's own work: how long events wait for it, what its time goes to, and what it
//! puts off while it is behind.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use gaplock_types::time::Millis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// A kind of event, or a purpose, as a label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    kind: &'static str,
}

/// Upper bounds of the buckets for waits, in seconds.
const WAIT_BUCKETS: [f64; 9] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 3.0];

/// What the time of the leader goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Handling events.
    Events,
    /// What is due by time: checks of time limits, dispatch passes, finding due renewals.
    Due,
    /// Handing out orders and commits.
    Orders,
    /// Encoding, sending and decoding calls to workers.
    Calls,
    /// Metrics, queue counts and the load summary.
    Figures,
}

const PURPOSES: [(Purpose, &str); 5] = [
    (Purpose::Events, "events"),
    (Purpose::Due, "due"),
    (Purpose::Orders, "orders"),
    (Purpose::Calls, "calls"),
    (Purpose::Figures, "figures"),
];

/// The metrics of the leader's own work.
pub struct LeaderMetrics {
    waits: Family<Label, Histogram>,
    seconds: [Counter<f64, AtomicU64>; PURPOSES.len()],
    /// By how much intervals of optional work are stretched, in percent; 100 while the leader keeps
    /// up.
    pub stretch_percent: Gauge,
    /// How many readings of workers the present leadership has not used because it was behind.
    pub readings_put_off: Gauge,
}

/// Builds and registers the metrics.
pub(super) fn open(registry: &mut Registry) -> LeaderMetrics {
    let waits = Family::new_with_constructor(wait_histogram as fn() -> Histogram);
    let help = "Time for which events wait until the leader handles them";
    registry.register("event_wait_seconds", help, waits.clone());
    let family = Family::<Label, Counter<f64, AtomicU64>>::default();
    let help = "Time of the leader's threads by purpose";
    registry.register("leader_seconds", help, family.clone());
    let seconds = PURPOSES.map(|(_, kind)| family.get_or_create_owned(&Label { kind }));
    let (stretch_percent, readings_put_off) = (Gauge::default(), Gauge::default());
    let help = "Stretch of the intervals of optional work while the leader is behind, in percent";
    registry.register("optional_stretch_percent", help, stretch_percent.clone());
    let help = "Readings of workers that were not used because the leader was behind";
    registry.register("readings_put_off", help, readings_put_off.clone());
    LeaderMetrics { waits, seconds, stretch_percent, readings_put_off }
}

fn wait_histogram() -> Histogram {
    Histogram::new(WAIT_BUCKETS)
}

impl LeaderMetrics {
    /// Records how long an event has waited.
    pub fn record_wait(&self, kind: &'static str, waited: Millis) {
        self.waits.get_or_create(&Label { kind }).observe(waited.as_duration().as_secs_f64());
    }

    /// Adds the time since `since` to a purpose.
    pub fn add_time(&self, purpose: Purpose, since: Instant) {
        self.add(purpose, since.elapsed());
    }

    fn add(&self, purpose: Purpose, span: Duration) {
        self.seconds[purpose as usize].inc_by(span.as_secs_f64());
    }
}

/// A future whose time on the processor counts as calls to workers.
pub struct TimedCall<'a, F> {
    /// The call.
    pub call: Pin<&'a mut F>,
    /// Where its time is counted.
    pub metrics: &'a LeaderMetrics,
}

impl<F: Future> Future for TimedCall<'_, F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let began = Instant::now();
        let polled = self.call.as_mut().poll(cx);
        self.metrics.add_time(Purpose::Calls, began);
        polled
    }
}
