//! Keeps the partition's share of every service's replicas running, and removes expired jobs and
//! claims from the state.

use gaplock_chart::charts::upstream;
use gaplock_policy::placement;
use gaplock_types::{config, ids, sizes, wire};

use super::Partition;
use crate::context::Context;
use crate::records::Record;

/// The partner that owns service replicas.
const SERVICE_PARTNER: &str = "gaplock";
/// After this time the stored answer of a request is removed, and only the fact that the request
/// ran is kept.
const ANSWER_RETENTION_MS: u64 = 600_000;
/// Jobs, and also claims, that one tick removes at most; the rest is left to later ticks.
const MAX_REMOVALS_PER_TICK: usize = 50;

impl Partition {
    /// Starts missing replicas and stops surplus ones.
    pub(super) fn reconcile_replicas(&mut self, cx: &mut Context) {
        let config = cx.config.clone();
        let mut wanted: Vec<(&config::Service, u32)> = Vec::new();
        for s in config.placements.iter().flat_map(|p| p.services.iter()) {
            wanted.push((s, self.shares.replicas.get(&s.id).copied().unwrap_or(0)));
        }
        for (service, count) in &wanted {
            self.reconcile_service(cx, service, *count);
        }
        self.cancel_removed_services(cx, &wanted);
    }

    fn service_job(&self, service: &ids::ServiceId) -> Option<u64> {
        let partner = ids::PartnerId::from(SERVICE_PARTNER);
        self.state.job_by_key(&partner, &ids::RequestKey(service.0.clone()))
    }

    fn reconcile_service(&mut self, cx: &mut Context, service: &config::Service, count: u32) {
        let Some(number) = self.service_job(&service.id) else {
            if count > 0 {
                self.add_service_job(cx, service);
            }
            return;
        };
        let (live, unplaced) = self.live_replicas(number);
        for _ in live.len() + unplaced.len()..count as usize {
            self.record(cx, Record::TaskAdd { number }, None);
        }
        if live.len() + unplaced.len() > count as usize {
            self.stop_surplus(cx, number, &live, &unplaced, count);
        }
        let waiting: Vec<ids::TaskId> = self.live_replicas(number).1;
        if !waiting.is_empty() {
            self.place_replicas(cx, service, &waiting);
        }
    }

    fn add_service_job(&mut self, cx: &mut Context, service: &config::Service) {
        let record = Record::JobAdd {
            number: self.state.next_job,
            partner: ids::PartnerId::from(SERVICE_PARTNER),
            key: ids::RequestKey(service.id.0.clone()),
            digest: String::new(),
            kind: wire::TaskKind::Service(service.id.clone()),
            demand: service.demand,
            work_ms: 0,
            tasks: 0,
            urgent: true,
            at_unix_ms: cx.unix_ms,
        };
        self.record(cx, record, None);
    }

    /// Returns the replicas on workers that can serve requests, and the replicas that wait for a
    /// worker.
    fn live_replicas(&self, number: u64) -> (Vec<ids::TaskId>, Vec<ids::TaskId>) {
        let (mut live, mut unplaced) = (Vec::new(), Vec::new());
        let Some(job) = self.state.jobs.get(&number) else { return (live, unplaced) };
        for (i, t) in job.tasks.iter().enumerate() {
            let id = crate::state::task_id(self.id, number, i as u32);
            if t.unwanted || t.is.is_final() {
                continue;
            }
            match &t.place {
                None => unplaced.push(id),
                Some(place) => {
                    let link = self.links.get(&place.worker);
                    let serves = link.is_some_and(|l| {
                        !matches!(
                            l.is,
                            upstream::State::Silent
                                | upstream::State::Leaving
                                | upstream::State::Gone
                        )
                    });
                    if serves {
                        live.push(id);
                    }
                }
            }
        }
        (live, unplaced)
    }

    fn stop_surplus(
        &mut self,
        cx: &mut Context,
        number: u64,
        live: &[ids::TaskId],
        unplaced: &[ids::TaskId],
        count: u32,
    ) {
        let surplus = live.len() + unplaced.len() - count as usize;
        let newest_live = live.iter().rev();
        let chosen: Vec<u32> =
            unplaced.iter().chain(newest_live).take(surplus).map(|id| id.index).collect();
        for index in chosen {
            self.record(cx, Record::Cancel { number, index: Some(index) }, None);
        }
    }

    fn place_replicas(
        &mut self,
        cx: &mut Context,
        service: &config::Service,
        waiting: &[ids::TaskId],
    ) {
        let workers = self.build_candidates(cx);
        let domains =
            cx.config.placement_of(&service.id).map(|(p, _)| p.domains.clone()).unwrap_or_default();
        for (i, worker) in workers.iter().enumerate() {
            let domain = &self.links[worker].host.domain;
            if !domains.is_empty() && !domains.contains(domain) {
                cx.candidates[i].capacity = sizes::Resources::default();
            }
        }
        for id in waiting {
            let choice = placement::for_service(&cx.candidates, &service.id, &service.demand);
            let Some(at) = choice else { return };
            let c = &mut cx.candidates[at];
            c.used = c.used.plus(&service.demand);
            let objective_us = f64::from(service.objective_ms) * 1000.0;
            c.services.push((service.id.clone(), Default::default(), objective_us));
            self.assign(cx, &workers[at], *id, service.demand);
        }
    }

    fn cancel_removed_services(&mut self, cx: &mut Context, wanted: &[(&config::Service, u32)]) {
        let removed: Vec<u64> = self
            .state
            .jobs
            .iter()
            .filter(|(_, job)| match &job.kind {
                wire::TaskKind::Service(s) => !wanted.iter().any(|(w, _)| w.id == *s),
                wire::TaskKind::Batch(_) => false,
            })
            .filter(|(_, job)| job.tasks.iter().any(|t| !t.is.is_final() && !t.unwanted))
            .map(|(number, _)| *number)
            .collect();
        for number in removed {
            self.record(cx, Record::Cancel { number, index: None }, None);
        }
    }

    /// Removes ended jobs, stored answers and claims after their retention times, at most
    /// [`MAX_REMOVALS_PER_TICK`] jobs and as many claims at a time.
    pub(super) fn remove_expired(&mut self, cx: &mut Context) {
        let keep_ms = cx.timing.job_retention.0;
        let old_jobs: Vec<u64> = self
            .state
            .jobs
            .iter()
            .filter(|(_, job)| matches!(job.kind, wire::TaskKind::Batch(_)) && job.ended())
            .filter(|(_, job)| {
                // The lender polls a lent task until it has stored the task's end.
                let keep_ms = if job.is_borrowed() { cx.timing.claim_retention.0 } else { keep_ms };
                job.at_unix_ms + keep_ms < cx.unix_ms
            })
            .map(|(number, _)| *number)
            .take(MAX_REMOVALS_PER_TICK)
            .collect();
        for number in old_jobs {
            let count = self.state.jobs.get(&number).map_or(0, |j| j.tasks.len() as u32);
            for i in 0..count {
                self.verifier.forget(crate::state::task_id(self.id, number, i));
            }
            self.record(cx, Record::JobForget { number }, None);
        }
        let once_keep_ms = cx.timing.claim_retention.0;
        let old_claims: Vec<(String, bool)> = self
            .state
            .once
            .iter()
            .filter(|(_, o)| o.at_unix_ms + ANSWER_RETENTION_MS.min(once_keep_ms) < cx.unix_ms)
            .map(|(id, o)| (id, o, o.at_unix_ms + once_keep_ms < cx.unix_ms))
            .filter(|(_, o, whole)| *whole || o.has_stored_answer())
            .map(|(id, _, whole)| (id.clone(), whole))
            .take(MAX_REMOVALS_PER_TICK)
            .collect();
        for (id, whole) in old_claims {
            self.record(cx, Record::OnceForget { id, whole }, None);
        }
    }
}
