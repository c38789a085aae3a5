//! Chooses the worker for a task.
//!
//! A choice looks only at the workers of one partition, whose number does not grow with the
//! fleet, so its cost stays flat (`scripts/measure scale`). Processors, memory and accelerators
//! are never exceeded: a worker that does not hold the whole demand is no candidate.

use gaplock_types::{ids, sizes};

use crate::interference;

/// One worker as a choice sees it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// What it can carry.
    pub capacity: sizes::Resources,
    /// What is reserved on it.
    pub used: sizes::Resources,
    /// Processors reserved on it by batch.
    pub batch_cpu: sizes::MilliCores,
    /// Its rack.
    pub rack: ids::RackId,
    /// Services with a replica on it, their load band and their ceiling in microseconds;
    /// an idle service has no finite ceiling.
    pub services: Vec<(ids::ServiceId, interference::LoadBand, f64)>,
    /// Processors' share by batch class on it.
    pub shares: interference::BatchCpuShares,
    /// Whether batch on it is throttled now because a service suffers.
    pub throttled: bool,
    /// How many tasks of a batch class not yet known beside its services run on it.
    pub unknown_tasks: u32,
}

/// How a batch task is to be placed.
#[derive(Debug, Clone)]
pub struct BatchDemand<'a> {
    /// Its class.
    pub class: &'a ids::BatchClass,
    /// What to reserve.
    pub demand: sizes::Resources,
    /// The largest share of a worker's processors that batch may take, in percent.
    pub batch_cpu_percent: u32,
    /// The weight of tail latency against throughput.
    pub tail_weight: f64,
}

/// A predicted 99th percentile above this share of its ceiling rules a worker out.
const MAX_PREDICTED_P99_SHARE: f64 = 0.95;

/// Chooses a worker for a batch task: the one whose services lose least, then the fullest.
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

/// Returns the cost of putting the task here, or none where a service would miss its objective or
/// where an unknown pair is already being tried.
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

/// Chooses a worker for a replica of `service`: few replicas of it on the worker and its rack
/// first, then the emptiest.
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

/// Tells whether any of `capacities` could ever hold `demand`.
pub fn ever_fits<'a>(
    mut capacities: impl Iterator<Item = &'a sizes::Resources>,
    demand: &sizes::Resources,
) -> bool {
    capacities.any(|capacity| capacity.holds(demand))
}
