//! Assigns waiting tasks to workers. Decides which partner's task is next and which worker gets it.

use gaplock_chart::charts::upstream;
use gaplock_policy::{fair, guard, interference, placement};
use gaplock_types::{config, ids, sizes, wire};
use gaplock_verify::Fact;

use super::Partition;
use crate::context::Context;
use crate::link::RunView;
use crate::records::Record;

/// Assignments made in one tick; the rest is left to the next tick.
const MAX_ASSIGNMENTS_PER_TICK: usize = 200;
/// Below this share of busy slots a worker's services count as idle and do not limit batch tasks.
const IDLE_LOAD: f64 = 0.01;
/// Waiting tasks of one partner that one scan of its queue considers.
const MAX_QUEUE_SCAN: usize = 256;
/// No further task is evicted for an urgent one while this many evictions are in progress.
const MAX_CONCURRENT_EVICTIONS: usize = 4;

/// What one scheduling round has found so far.
#[derive(Default)]
struct SchedulingRound {
    /// Partners with no waiting task that fits now.
    exhausted_partners: Vec<ids::PartnerId>,
    /// Demands that fit no worker. A task of the same partner and kind that demands at least as
    /// much does not fit either.
    unplaceable: Vec<(ids::PartnerId, wire::TaskKind, sizes::Resources)>,
    /// The first urgent task that fits no worker.
    blocked_urgent: Option<ids::TaskId>,
}

impl Partition {
    /// Assigns as many waiting tasks as fit.
    pub(super) fn schedule(&mut self, cx: &mut Context) {
        if !self.may_renew(cx) || self.state.waiting_partners().next().is_none() {
            return;
        }
        let workers = self.build_candidates(cx);
        let mut round = SchedulingRound::default();
        for _ in 0..MAX_ASSIGNMENTS_PER_TICK {
            let mut shares = self.partner_shares(cx, &round.exhausted_partners);
            if round.blocked_urgent.is_some() && self.urgent_hold.blocks_ordinary_work(cx.now) {
                shares.retain(|s| s.next.is_some_and(|(_, urgent)| urgent));
            }
            let Some(chosen) = fair::next_partner(&shares, &self.shares.capacity) else { break };
            let partner = shares[chosen].partner.clone();
            if !self.assign_one(cx, &workers, &partner, &mut round) {
                let urgent = shares[chosen].next.is_some_and(|(_, urgent)| urgent);
                if urgent && round.blocked_urgent.is_none() {
                    round.blocked_urgent = self.first_batch(&partner);
                }
                round.exhausted_partners.push(partner);
            }
        }
        self.urgent_hold.record(cx.now, round.blocked_urgent.is_some());
        if let Some(task) = round.blocked_urgent.filter(|_| self.urgent_hold.should_evict(cx.now)) {
            self.evict_for_urgent_task(cx, task);
        }
        self.record_wait_reasons(cx, &round.exhausted_partners);
    }

    fn first_batch(&self, partner: &ids::PartnerId) -> Option<ids::TaskId> {
        self.state.waiting(partner).find(|id| self.is_batch(*id))
    }

    /// Evicts the cheapest non-urgent task whose worker then has enough free capacity for the
    /// urgent task.
    fn evict_for_urgent_task(&mut self, cx: &mut Context, task: ids::TaskId) {
        let Some(job) = self.state.jobs.get(&task.job.number) else { return };
        let demand = job.demand;
        let views = self.links.values().flat_map(|l| l.runs.values());
        if views.filter(|v| v.evicting.is_some()).count() >= MAX_CONCURRENT_EVICTIONS {
            return;
        }
        let mut runs = Vec::new();
        let mut victims = Vec::new();
        for (worker, link) in self.links.iter().filter(|(_, l)| l.usable()) {
            let free = link.host.capacity.minus(&self.state.reserved(worker));
            for (run, view) in link.runs.iter().filter(|(_, v)| v.started) {
                let Some(t) = self.state.task(run.task) else { continue };
                let Some(job) = self.state.jobs.get(&run.task.job.number) else { continue };
                let reserve = t.place.as_ref().map(|p| p.reserve).unwrap_or_default();
                let ordinary = matches!(job.kind, wire::TaskKind::Batch(_)) && !job.urgent;
                if ordinary && free.plus(&reserve).holds(&demand) {
                    runs.push((worker.clone(), *run));
                    victims.push(guard::Victim {
                        unsaved_ms: view.progress_ms.saturating_sub(view.checkpoint_ms),
                        evictions: t.evictions,
                        urgent: false,
                        interference: 1.0,
                    });
                }
            }
        }
        if let Some(choice) = guard::choose_victim(&victims, 1.0) {
            let (worker, run) = runs.swap_remove(choice);
            self.evict(cx, &worker, run, format!("it makes room for urgent {task}"));
        }
    }

    fn partner_shares(&self, cx: &Context, skip: &[ids::PartnerId]) -> Vec<fair::PartnerShare> {
        let partners = self.state.waiting_partners().filter(|p| !skip.contains(p));
        partners.filter_map(|p| self.partner_share(cx, p)).collect()
    }

    fn partner_share(&self, cx: &Context, partner: &ids::PartnerId) -> Option<fair::PartnerShare> {
        let first = self.first_batch(partner)?;
        let job = self.state.jobs.get(&first.job.number)?;
        let held = self.state.held(partner);
        let (weight, fleet_quota) = cx
            .config
            .partner(partner)
            .map_or((1, sizes::Resources::default()), |p| (p.weight, p.quota));
        let quota = fair::partition_quota(
            &fleet_quota,
            &self.shares.capacity,
            &cx.fleet_capacity,
            &job.demand,
        );
        let next = Some((job.demand, job.urgent));
        Some(fair::PartnerShare { partner: partner.clone(), held, quota, weight, next })
    }

    fn is_batch(&self, id: ids::TaskId) -> bool {
        let job = self.state.jobs.get(&id.job.number);
        job.is_some_and(|j| matches!(j.kind, wire::TaskKind::Batch(_)))
    }

    /// Tries to assign one of a partner's waiting tasks, in queue order. Skips tasks whose demand
    /// is known not to fit. Returns whether a task was assigned. A task that fits no worker does
    /// not block the tasks behind it.
    fn assign_one(
        &mut self,
        cx: &mut Context,
        workers: &[ids::WorkerId],
        partner: &ids::PartnerId,
        round: &mut SchedulingRound,
    ) -> bool {
        let waiting = self.state.waiting(partner).filter(|id| self.is_batch(*id));
        let scanned: Vec<ids::TaskId> = waiting.take(MAX_QUEUE_SCAN).collect();
        for id in scanned {
            let Some(job) = self.state.jobs.get(&id.job.number) else { continue };
            let (kind, demand) = (job.kind.clone(), job.demand);
            let known_unplaceable =
                |(p, k, d): &(ids::PartnerId, wire::TaskKind, sizes::Resources)| {
                    p == partner && *k == kind && demand.holds(d)
                };
            if round.unplaceable.iter().any(known_unplaceable) {
                continue;
            }
            if self.assign_batch(cx, workers, id) {
                return true;
            }
            round.unplaceable.push((partner.clone(), kind, demand));
        }
        false
    }

    fn assign_batch(
        &mut self,
        cx: &mut Context,
        workers: &[ids::WorkerId],
        id: ids::TaskId,
    ) -> bool {
        let Some(job) = self.state.jobs.get(&id.job.number) else { return false };
        let wire::TaskKind::Batch(class) = job.kind.clone() else { return false };
        let reserve = cx.estimator.reserve(&class, &job.demand);
        let config = cx.config.clone();
        let partner = job.partner.clone();
        for p in config.placements_for(&partner, &class) {
            let want = placement::BatchDemand {
                class: &class,
                demand: reserve,
                batch_cpu_percent: p.batch_cpu_percent,
                tail_weight: p.weights.tail,
            };
            let allowed = self.allowed_candidates(cx, workers, p);
            let Some(choice) = placement::for_batch(&allowed.1, &want, &cx.interference) else {
                continue;
            };
            let at = allowed.0[choice];
            if self.assign(cx, &workers[at].clone(), id, reserve) {
                add_batch_reservation(&mut cx.candidates[at], &class, &reserve, &cx.interference);
                return true;
            }
        }
        false
    }

    /// Returns the candidates in the failure domains of a placement, with their indices.
    fn allowed_candidates(
        &self,
        cx: &Context,
        workers: &[ids::WorkerId],
        p: &config::Placement,
    ) -> (Vec<usize>, Vec<placement::Candidate>) {
        let in_domain = |worker: &ids::WorkerId| {
            p.domains.is_empty()
                || self.links.get(worker).is_some_and(|l| p.domains.contains(&l.host.domain))
        };
        let at: Vec<usize> = (0..workers.len()).filter(|i| in_domain(&workers[*i])).collect();
        let candidates = at.iter().map(|i| cx.candidates[*i].clone()).collect();
        (at, candidates)
    }

    /// Records an assignment. The start command is sent after the commit. Returns whether the
    /// assignment was made.
    pub(super) fn assign(
        &mut self,
        cx: &mut Context,
        worker: &ids::WorkerId,
        id: ids::TaskId,
        reserve: sizes::Resources,
    ) -> bool {
        let Some(t) = self.state.task(id) else { return false };
        let run = wire::Run { task: id, attempt: t.attempt.next() };
        let resume_ms = t.checkpoint_ms;
        let Some(link) = self.links.get_mut(worker) else { return false };
        let Some(boot) = link.boot else { return false };
        let capacity = Some(link.host.capacity);
        let fact = Fact::Assigned { run, worker, demand: reserve, capacity, resume_ms };
        let checked = self.verifier.check(&fact);
        if !cx.report_check(checked) {
            return false;
        }
        let view = RunView {
            checkpoint_ms: resume_ms,
            speed: guard::FULL_SPEED_PER_MILLE,
            ..RunView::default()
        };
        link.runs.insert(run, view);
        self.append_history(
            cx,
            id.job,
            format!("{id} goes to {worker} as attempt {}", run.attempt.0),
        );
        let worker = worker.clone();
        self.record(cx, Record::Assign { run, worker, boot, reserve }, None);
        true
    }

    /// Fills `cx.candidates` with the workers that can take a task and returns their ids in the
    /// same order. A worker on probation takes one task at a time.
    pub(super) fn build_candidates(&self, cx: &mut Context) -> Vec<ids::WorkerId> {
        cx.candidates.clear();
        let mut names = Vec::new();
        for (worker, link) in &self.links {
            let on_probation = self.health.on_probation(worker);
            let occupied = self.state.on_worker(worker).next().is_some();
            if !link.usable() || (on_probation && occupied) {
                continue;
            }
            names.push(worker.clone());
            let candidate = self.candidate(cx, worker);
            cx.candidates.push(candidate);
        }
        names
    }

    fn candidate(&self, cx: &Context, worker: &ids::WorkerId) -> placement::Candidate {
        let link = &self.links[worker];
        let mut c = placement::Candidate {
            capacity: link.host.capacity,
            used: self.state.reserved(worker),
            batch_cpu: sizes::MilliCores(0),
            rack: link.host.rack.clone(),
            services: Vec::new(),
            shares: Vec::new(),
            throttled: link.guard.speed < guard::FULL_SPEED_PER_MILLE,
            unknown_tasks: 0,
        };
        let band = interference::LoadBand::of(link.load);
        for id in self.state.on_worker(worker) {
            let Some(job) = self.state.jobs.get(&id.job.number) else { continue };
            if let wire::TaskKind::Service(service) = &job.kind {
                let ceiling_us = match cx.p99_limit_us(service) {
                    Some(ceiling_us) if link.load >= IDLE_LOAD => ceiling_us,
                    _ => f64::INFINITY,
                };
                c.services.push((service.clone(), band, ceiling_us));
            }
        }
        for id in self.state.on_worker(worker) {
            let Some(job) = self.state.jobs.get(&id.job.number) else { continue };
            let Some(place) = self.state.task(id).and_then(|t| t.place.as_ref()) else { continue };
            if let wire::TaskKind::Batch(class) = &job.kind {
                add_batch_reservation(&mut c, class, &place.reserve, &cx.interference);
                c.used = c.used.minus(&place.reserve);
            }
        }
        c
    }

    /// Records in the history why each skipped partner's first task waits, for `gaplock why`.
    fn record_wait_reasons(&mut self, cx: &Context, skipped: &[ids::PartnerId]) {
        for partner in skipped {
            let Some(first) = self.state.waiting(partner).next() else { continue };
            let usable = self.links.values().filter(|l| l.usable()).count();
            let bad = self.links.values().filter(|l| l.is == upstream::State::Quarantined).count();
            let why = format!(
                "{first} waits: none of {usable} usable workers ({bad} quarantined) has room for \
                 it beside the services there"
            );
            let last_line = self.history.get(&first.job).and_then(|lines| lines.back());
            if !last_line.is_some_and(|line| line.ends_with(&why)) {
                self.append_history(cx, first.job, why);
            }
        }
    }
}

/// Adds a batch task's reservation to a candidate.
fn add_batch_reservation(
    c: &mut placement::Candidate,
    class: &ids::BatchClass,
    reserve: &sizes::Resources,
    pairing: &interference::InterferenceModel,
) {
    c.used = c.used.plus(reserve);
    c.batch_cpu = sizes::MilliCores(c.batch_cpu.0 + reserve.cpu.0);
    let share = f64::from(reserve.cpu.0) / f64::from(c.capacity.cpu.0.max(1));
    match c.shares.iter_mut().find(|(known, _)| known == class) {
        Some((_, sum)) => *sum += share,
        None => c.shares.push((class.clone(), share)),
    }
    let unknown = |(service, band, ceiling_us): &(ids::ServiceId, interference::LoadBand, f64)| {
        ceiling_us.is_finite() && !pairing.is_known(service, class, *band)
    };
    if c.services.iter().any(unknown) {
        c.unknown_tasks += 1;
    }
}
