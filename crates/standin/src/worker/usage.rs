//! Measures, for each window of time, the worker's processor use and its services' response times.

use std::collections::BTreeMap;

use gaplock_types::{ids, sizes, time, wire};

use super::Model;
use crate::interference;

/// How many windows are kept, the newest; the report is delayed, so older ones are needed too.
const MAX_USAGE_WINDOWS: usize = 64;

impl Model {
    /// Records the usage since the last window, once a whole window has passed.
    pub(super) fn record_usage_window(&mut self, now: time::Instant) {
        if now.since(self.window_from).0 < self.traits.window_ms {
            return;
        }
        self.window_from = now;
        let running: Vec<(wire::Run, u32)> = self
            .runs
            .iter()
            .filter(|(_, r)| r.state == wire::RunState::Running)
            .map(|(run, r)| (*run, (u64::from(r.demand.cpu.0) * u64::from(r.speed) / 1000) as u32))
            .collect();
        let services =
            std::mem::take(&mut self.samples).into_iter().map(|(service, mut samples)| {
                samples.sort_unstable();
                wire::ServiceUsage {
                    service,
                    requests: samples.len() as u32,
                    p50_us: percentile(&samples, 50),
                    p99_us: percentile(&samples, 99),
                }
            });
        let usage = wire::Usage {
            taken: self.clock(now),
            cpu: sizes::MilliCores(running.iter().map(|(_, cpu)| cpu).sum()),
            services: services.collect(),
            runs: running
                .iter()
                .map(|(run, cpu)| wire::RunUsage { run: *run, cpu: sizes::MilliCores(*cpu) })
                .collect(),
        };
        self.usages.push_back(usage);
        if self.usages.len() > MAX_USAGE_WINDOWS {
            self.usages.pop_front();
        }
    }

    /// Records how long a request to a service took, in microseconds.
    pub fn record_latency(&mut self, service: &ids::ServiceId, took_us: u64) {
        self.samples.entry(service.clone()).or_default().push(took_us);
    }

    /// Returns a service's response time under the present interference, in microseconds.
    pub fn service_time_us(&self, service: &ids::ServiceId, now: time::Instant) -> u64 {
        let shares = self.batch_shares();
        let factor = interference::slowdown(self.traits.seed, service, &shares, now.0);
        (self.traits.service_us as f64 * factor) as u64
    }

    /// Returns the share of the worker's processors that each batch class uses now.
    pub fn batch_shares(&self) -> Vec<(ids::BatchClass, f64)> {
        let mut shares: BTreeMap<ids::BatchClass, f64> = BTreeMap::new();
        let total_cpu = f64::from(self.traits.capacity.cpu.0.max(1));
        for r in self.runs.values().filter(|r| r.state == wire::RunState::Running) {
            if let wire::TaskKind::Batch(class) = &r.kind {
                let used = f64::from(r.demand.cpu.0) * f64::from(r.speed) / 1000.0;
                *shares.entry(class.clone()).or_default() += used / total_cpu;
            }
        }
        shares.into_iter().collect()
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(rank).copied().unwrap_or(0)
}
