//! Handles the measurements that workers report with their lease answers.
//!
//! The measurements train the interference model and the estimate of processor use. They also drive
//! the guard, which slows or evicts batch tasks on a worker whose services exceed their latency
//! ceiling. Measurements arrive late, so they are matched with what ran during their window.

use gaplock_policy::{guard, interference};
use gaplock_types::{ids, sizes, time, wire};

use super::Partition;
use crate::context::Context;

/// The window over which workers measure usage and latency.
const MEASUREMENT_WINDOW: time::Millis = time::Millis(1_000);
/// The weight of the latest measurement in a worker's smoothed load.
const LOAD_SMOOTHING: f64 = 0.2;

impl Partition {
    /// Handles a measurement that came with a lease answer.
    pub(super) fn handle_usage(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        reply: &wire::LeaseReply,
    ) {
        let shares = self.running_shares(worker);
        let Some(link) = self.links.get_mut(worker) else { return };
        link.exposures.record(reply.clock, shares);
        let Some(usage) = &reply.usage else { return };
        if usage.taken <= link.usage_measured_at {
            return;
        }
        link.usage_measured_at = usage.taken;
        let slots = f64::from(link.host.slots.max(1));
        let busy = f64::from(reply.slots_busy) / slots;
        link.load += LOAD_SMOOTHING * (busy - link.load);
        let band = interference::LoadBand::of(link.load);
        if let Some(shares) = link.exposures.during(usage.taken, MEASUREMENT_WINDOW.0) {
            for s in usage.services.iter().filter(|s| s.requests > 0) {
                cx.interference.observe(&s.service, shares, band, s.p99_us as f64);
            }
        }
        for s in usage.services.iter().filter(|s| s.requests > 0) {
            observe_tail(cx, s);
        }
        for r in &usage.runs {
            self.observe_cpu_use(cx, r);
        }
        self.guard(cx, worker, reply.clock, usage);
    }

    fn observe_cpu_use(&self, cx: &mut Context, used: &wire::RunUsage) {
        let Some(job) = self.state.jobs.get(&used.run.task.job.number) else { return };
        if let wire::TaskKind::Batch(class) = &job.kind {
            cx.estimator.observe(class, job.demand.cpu, used.cpu);
        }
    }

    /// Returns the share of a worker's processors that each batch class has reserved, scaled by the
    /// runs' current speeds.
    fn running_shares(&self, worker: &ids::WorkerId) -> interference::BatchCpuShares {
        let Some(link) = self.links.get(worker) else { return Vec::new() };
        let total_cpu = f64::from(link.host.capacity.cpu.0.max(1));
        let mut shares = interference::BatchCpuShares::new();
        for (run, view) in link.runs.iter().filter(|(_, view)| view.started) {
            let Some(job) = self.state.jobs.get(&run.task.job.number) else { continue };
            let place = self.state.task(run.task).and_then(|t| t.place.as_ref());
            let (wire::TaskKind::Batch(class), Some(place)) = (&job.kind, place) else { continue };
            let speed = f64::from(view.speed) / f64::from(guard::FULL_SPEED_PER_MILLE);
            let share = f64::from(place.reserve.cpu.0) * speed / total_cpu;
            match shares.iter_mut().find(|(known, _)| known == class) {
                Some((_, sum)) => *sum += share,
                None => shares.push((class.clone(), share)),
            }
        }
        shares
    }

    /// Applies the guard's decision for the worst service on a worker: sets the speed of batch tasks
    /// or evicts one of them.
    fn guard(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        clock: wire::WorkerClock,
        usage: &wire::Usage,
    ) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let band = interference::LoadBand::of(link.load);
        let to_measurement = |s: &wire::ServiceUsage| {
            let ceiling_us = cx.p99_limit_us(&s.service)?;
            let baseline_us = cx.interference.baseline_us(&s.service, band).unwrap_or(0.0);
            Some(guard::TailMeasurement {
                worst: s.p99_us as f64 / ceiling_us,
                baseline: baseline_us / ceiling_us,
            })
        };
        let measured = usage.services.iter().filter(|s| s.requests > 0);
        let worst =
            measured
                .filter_map(to_measurement)
                .reduce(|a, b| if a.worst >= b.worst { a } else { b });
        let Some(measurement) = worst else { return };
        let worst = measurement.worst;
        let batch_runs: Vec<wire::Run> = link
            .runs
            .iter()
            .filter(|(run, view)| {
                let job = self.state.jobs.get(&run.task.job.number);
                view.started && job.is_some_and(|j| matches!(j.kind, wire::TaskKind::Batch(_)))
            })
            .map(|(run, _)| *run)
            .collect();
        if batch_runs.is_empty() {
            link.guard.speed = guard::FULL_SPEED_PER_MILLE;
            return;
        }
        match link.guard.evaluate(clock, usage.taken, MEASUREMENT_WINDOW, measurement) {
            guard::GuardAction::Nothing => self.send_speed(cx, worker, &batch_runs),
            guard::GuardAction::Speed(speed) => {
                cx.log_decision(
                    "throttle",
                    worker.to_string(),
                    format!("batch to {speed}, worst {worst:.2}"),
                );
                self.send_speed(cx, worker, &batch_runs);
            }
            guard::GuardAction::EvictOne => self.evict_one(cx, worker, &batch_runs, worst),
        }
    }

    /// Sends the guard's speed to every run that has not yet confirmed it.
    fn send_speed(&mut self, cx: &mut Context, worker: &ids::WorkerId, runs: &[wire::Run]) {
        let Some(link) = self.links.get(worker) else { return };
        let (speed, boot) = (link.guard.speed, link.boot.unwrap_or_default());
        let differs = |run: &&wire::Run| link.runs.get(run).is_some_and(|v| v.speed != speed);
        let unconfirmed: Vec<wire::Run> = runs.iter().filter(differs).copied().collect();
        for run in unconfirmed {
            self.control(cx, worker, boot, run, wire::Control::Throttle(speed));
        }
    }

    /// Evicts the batch run that costs the least to move and interferes the most.
    fn evict_one(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        runs: &[wire::Run],
        worst: f64,
    ) {
        let Some(link) = self.links.get(worker) else { return };
        let band = interference::LoadBand::of(link.load);
        let total_cpu = f64::from(link.host.capacity.cpu.0.max(1));
        let services: Vec<ids::ServiceId> =
            services_of_runs(&self.state, link.runs.keys().copied());
        let mut victims = Vec::new();
        for run in runs {
            let view = &link.runs[run];
            let Some(job) = self.state.jobs.get(&run.task.job.number) else { continue };
            let Some(t) = self.state.task(run.task) else { continue };
            let wire::TaskKind::Batch(class) = &job.kind else { continue };
            let cpu = t.place.as_ref().map_or(sizes::MilliCores(0), |p| p.reserve.cpu);
            let shares = vec![(class.clone(), f64::from(cpu.0) / total_cpu)];
            let slowdowns = services.iter().map(|s| cx.interference.slowdown(s, &shares, band));
            victims.push(guard::Victim {
                unsaved_ms: view.progress_ms.saturating_sub(view.checkpoint_ms),
                evictions: t.evictions,
                urgent: job.urgent,
                interference: slowdowns.fold(0.0, f64::max) - 1.0,
            });
        }
        let weight = services
            .iter()
            .filter_map(|s| cx.config.placement_of(s))
            .map(|(p, _)| p.weights.evictions)
            .fold(0.0, f64::max);
        let Some(choice) = guard::choose_victim(&victims, weight) else { return };
        let run = runs[choice];
        let why = format!("{worker}'s services are at {worst:.2} of their objective");
        self.evict(cx, worker, run, why);
    }

    /// Evicts a run from its worker: the worker takes a checkpoint and stops the run, and the task
    /// then waits for another worker.
    pub(super) fn evict(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        run: wire::Run,
        why: String,
    ) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let boot = link.boot.unwrap_or_default();
        let Some(view) = link.runs.get_mut(&run) else { return };
        if view.evicting.is_some() {
            return;
        }
        cx.log_decision("evict", run.task.to_string(), why.clone());
        view.evicting = Some(why.clone());
        self.append_history(cx, run.task.job, format!("{} is evicted: {why}", run.task));
        self.control(cx, worker, boot, run, wire::Control::CheckpointAndStop);
    }
}

fn observe_tail(cx: &mut Context, s: &wire::ServiceUsage) {
    let Some((_, service)) = cx.config.placement_of(&s.service) else { return };
    let objective_us = f64::from(service.objective_ms) * 1000.0;
    let now = cx.now;
    let tail = cx.tails.entry(s.service.clone()).or_default();
    tail.observe(now, s.p50_us as f64, s.p99_us as f64, objective_us);
}

fn services_of_runs(
    state: &crate::state::PartitionState,
    runs: impl Iterator<Item = wire::Run>,
) -> Vec<ids::ServiceId> {
    let mut services: Vec<ids::ServiceId> =
        runs.filter_map(|run| super::service_of(state, run.task)).collect();
    services.sort();
    services.dedup();
    services
}
