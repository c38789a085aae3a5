//! Chooses the worker for a task.
//!
//! A choice considers only the workers of one partition. Their number does not grow with the fleet,
//! so the cost of a choice stays constant (`scripts/measure scale`). Processors, memory and
//! accelerators are never overcommitted: a worker without free capacity for the whole demand is not
//! considered.

use gaplock_types::{ids, sizes};

use crate::interference;

/// A worker that is considered for a task.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its capacity.
    pub capacity: sizes::Resources,
    /// The resources that are reserved on it.
    pub used: sizes::Resources,
    /// Processors reserved on it for batch tasks.
    pub batch_cpu: sizes::MilliCores,
    /// Its rack.
    pub rack: ids::RackId,
    /// Services with a replica on it, their load band and the ceiling of their 99th percentile in
    /// microseconds; the ceiling of an idle service is not finite.
    pub services: Vec<(ids::ServiceId, interference::LoadBand, f64)>,
    /// Share of its processors by batch class.
    pub shares: interference::BatchCpuShares,
    /// Whether batch work on it is throttled now to protect a service.
    pub throttled: bool,
    /// How many tasks run on it whose batch class has not been measured enough beside its services.
    pub unknown_tasks: u32,
}

/// What a batch task needs, and how its placement is weighed.
#[derive(Debug, Clone)]
pub struct BatchDemand<'a> {
    /// Its class.
    pub class: &'a ids::BatchClass,
    /// The resources to reserve.
    pub demand: sizes::Resources,
    /// The largest share of a worker's processors that batch may take, in percent.
    pub batch_cpu_percent: u32,
    /// The weight of tail latency against throughput.
    pub tail_weight: f64,
}

/// A worker is ruled out if the predicted 99th percentile of a service exceeds this share of its
/// ceiling.
const MAX_PREDICTED_P99_SHARE: f64 = 0.95;

/// Chooses a worker for a batch task: the one whose services are slowed down least; fuller workers
/// are preferred.
pub fn for_batch(
    candidates: &[Candidate],
    want: &BatchDemand<'_>,
    pairing: &interference::InterferenceModel,
) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| batch_fits(c, want))
        .filter_map(|(i, c)| batch_cost(c, want, pairing).map(|cost| (cost, i)))
        .min_by(|(a, i), (b, j)| a.total_cmp(b).then(i.cmp(j)))
        .map(|(_, i)| i)
}

fn batch_fits(c: &Candidate, want: &BatchDemand<'_>) -> bool {
    let limit = u64::from(c.capacity.cpu.0) * u64::from(want.batch_cpu_percent) / 100;
    let batch = u64::from(c.batch_cpu.0) + u64::from(want.demand.cpu.0);
    !c.throttled && batch <= limit && c.capacity.holds(&c.used.plus(&want.demand))
}

/// Returns the cost of placing the task on this worker. Returns `None` if a service would miss its
/// objective, or if the pair of a service and the task's class is unknown and another task of an
/// unknown pair already runs there.
fn batch_cost(
    c: &Candidate,
    want: &BatchDemand<'_>,
    pairing: &interference::InterferenceModel,
) -> Option<f64> {
    let shares = shares_with(c, want);
    let mut loss = 0.0;
    let busy = c.services.iter().filter(|(_, _, ceiling_us)| ceiling_us.is_finite());
    for (service, band, ceiling_us) in busy {
        if !pairing.is_known(service, want.class, *band) {
            if c.unknown_tasks > 0 {
                return None;
            }
            loss += want.tail_weight;
            continue;
        }
        let after = pairing.predict_us(service, &shares, *band).unwrap_or(0.0);
        if after > MAX_PREDICTED_P99_SHARE * ceiling_us {
            return None;
        }
        let before = pairing.predict_us(service, &c.shares, *band).unwrap_or(0.0);
        loss += want.tail_weight * (after - before).max(0.0) / ceiling_us;
    }
    let left = c.capacity.minus(&c.used).minus(&want.demand);
    Some(loss + 0.1 * left.dominant_share(&c.capacity))
}

fn shares_with(c: &Candidate, want: &BatchDemand<'_>) -> interference::BatchCpuShares {
    let added = f64::from(want.demand.cpu.0) / f64::from(c.capacity.cpu.0.max(1));
    let mut shares = c.shares.clone();
    match shares.iter_mut().find(|(class, _)| class == want.class) {
        Some((_, share)) => *share += added,
        None => shares.push((want.class.clone(), added)),
    }
    shares
}

/// Chooses a worker for a replica of `service`: the one with the fewest replicas of it, then the
/// one in the rack with the fewest, then the least used one.
pub fn for_service(
    candidates: &[Candidate],
    service: &ids::ServiceId,
    demand: &sizes::Resources,
) -> Option<usize> {
    let runs = |c: &Candidate| c.services.iter().filter(|(s, ..)| s == service).count();
    let in_rack =
        |rack: &ids::RackId| candidates.iter().filter(|c| c.rack == *rack).map(runs).sum::<usize>();
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.capacity.holds(&c.used.plus(demand)))
        .min_by(|(i, a), (j, b)| {
            let key = |c: &Candidate| (runs(c), in_rack(&c.rack));
            key(a)
                .cmp(&key(b))
                .then(
                    a.used
                        .dominant_share(&a.capacity)
                        .total_cmp(&b.used.dominant_share(&b.capacity)),
                )
                .then(i.cmp(j))
        })
        .map(|(i, _)| i)
}

/// Returns whether any of `capacities` can hold `demand`.
pub fn fits_any_capacity<'a>(
    mut capacities: impl Iterator<Item = &'a sizes::Resources>,
    demand: &sizes::Resources,
) -> bool {
    capacities.any(|capacity| capacity.holds(demand))
}
