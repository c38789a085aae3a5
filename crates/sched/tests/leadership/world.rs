//! A world on virtual time with hosts, a store and workers in several failure domains. Leaders act
//! as `gaplock_policy::authority` lets them, and workers run what they are told. Each run is held
//! against all others of its task.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_policy::authority::{self, Authority, Contact, Place, Report, Reports};
use gaplock_sched::claims::{self, FormerLeaders, Inherited, LastClaim, LeaderRecord};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 20;
const BEAT_MS: u64 = 400;
const RENEW_MS: u64 = 500;
const CALL_LIMIT_MS: u64 = 700;
const STORE_LIMIT_MS: u64 = 900;

/// The leases of runs, by the worker's clock, and by that of a leader who allows for drift.
const RUN_LEASE_MS: u64 = 6_000;
const RUN_LEASE_WITH_DRIFT_MS: u64 = 6_120;

/// How often a worker that answers is asked for its report, and one that does not.
const CONTACT_MS: std::ops::Range<u64> = 100..400;
const SILENT_CONTACT_MS: u64 = 1_000;

/// What a successor adds to the leases that it waits for.
const TAKEOVER_MARGIN_MS: u64 = 480;

/// The shortest time between two faults that begin.
const FAULT_EVERY_MS: u64 = 3_000;

/// The longest time for which the store is away where nothing else fails.
const LONGEST_OUTAGE_MS: u64 = 25_000;

/// The number of tasks at the beginning.
const TASKS: usize = 12;

/// The most tasks that are submitted later.
const MAX_SUBMITTED: usize = 150;

/// What may fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// Domains and single hosts are cut off, the store is away, hosts join, stop and are suspended.
    All,
    /// The store is away, for all hosts alike.
    StoreOnly,
}

/// A leadership, as its host knows it.
struct Leadership {
    term: u64,
    confirmed: Instant,
    reports: Reports,
    /// The tasks that it has heard of.
    tasks: BTreeSet<usize>,
    /// The tasks that a former leader may have started, until the recovery scan is over.
    unknown: BTreeSet<usize>,
    /// The worker of each task that runs, as far as known.
    assigned: BTreeMap<usize, usize>,
    /// When each worker was last granted a lease.
    granted: BTreeMap<usize, u64>,
    /// When each worker is asked for its report next.
    next_contact: BTreeMap<usize, u64>,
    /// The workers that have not answered yet.
    unanswered: BTreeSet<usize>,
    scan_over_at: u64,
    /// The hosts of former leaders that may act on.
    to_ask: Vec<LeaderRecord>,
    /// Whether the last claim names such leaders.
    inherited_wait: bool,
    next_renewal: u64,
}

struct Host {
    domain: usize,
    /// By how much its clock differs from the time of the world.
    clock_offset: u64,
    /// Until when its process does not run; it knows nothing afterwards.
    stopped_until: u64,
    /// Until when it is suspended.
    suspended_until: u64,
    /// Until when it is cut off from everything.
    cut_until: u64,
    leadership: Option<Leadership>,
    follows: Option<usize>,
    /// The leader that it followed last.
    last_leader: Option<usize>,
    contact: Option<Contact>,
    store_answered_at: u64,
    store_failed_at: Option<u64>,
    /// When its next call is due: a heartbeat, or a reading of the claim.
    next_call: u64,
    next_check: u64,
    /// When a call to the store that gets no answer reaches its time limit.
    check_fails_at: Option<u64>,
}

struct Worker {
    domain: usize,
    token: u64,
    lease_until: u64,
    runs: BTreeSet<usize>,
}

struct Claim {
    host: usize,
    term: u64,
    lease_until: u64,
}

/// A heartbeat under way.
struct Heartbeat {
    arrives: u64,
    from: usize,
    to: usize,
    /// The last answer, with its age.
    echo: Option<(Contact, Millis)>,
    store_age: u64,
    store_failed_age: Option<u64>,
    sent: u64,
}

pub struct World {
    pub violations: Vec<String>,
    /// How many runs ended because their lease was over.
    pub lapsed: u64,
    pub partitions: u64,
    now: u64,
    faults: Faults,
    rng: ChaCha8Rng,
    domains: usize,
    hosts: Vec<Host>,
    workers: Vec<Worker>,
    claim: Option<Claim>,
    last_claim: Option<LastClaim>,
    /// How many tasks are stored.
    stored_tasks: usize,
    store_away_until: u64,
    /// Whether leases run out while the store is away.
    leases_run_out: bool,
    partitioned: Option<usize>,
    partitioned_until: u64,
    under_way: Vec<Heartbeat>,
    next_fault: u64,
}

impl World {
    pub fn open(seed: u64, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let domains = rng.random_range(2..5);
        // In some worlds all hosts begin in one domain, and those of other domains are unknown.
        let used = if rng.random_bool(0.4) { 1 } else { domains };
        let hosts = rng.random_range(2..7);
        let workers = (0..2 * domains).map(|n| Worker {
            domain: n % domains,
            token: 0,
            lease_until: 0,
            runs: BTreeSet::new(),
        });
        let mut world = Self {
            violations: Vec::new(),
            lapsed: 0,
            partitions: 0,
            now: 10_000,
            faults,
            domains,
            workers: workers.collect(),
            hosts: Vec::new(),
            claim: None,
            last_claim: None,
            stored_tasks: TASKS,
            store_away_until: 0,
            leases_run_out: true,
            partitioned: None,
            partitioned_until: 0,
            under_way: Vec::new(),
            next_fault: 16_000,
            rng,
        };
        for n in 0..hosts {
            world.join(n % used);
        }
        world
    }

    /// Adds a host that knows nothing.
    fn join(&mut self, domain: usize) {
        let clock_offset = self.hosts.len() as u64 * 1_000_000;
        self.hosts.push(Host {
            domain,
            clock_offset,
            stopped_until: 0,
            suspended_until: 0,
            cut_until: 0,
            leadership: None,
            follows: None,
            last_leader: None,
            contact: None,
            store_answered_at: self.now,
            store_failed_at: None,
            next_call: self.now,
            next_check: self.now,
            check_fails_at: None,
        });
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end && self.violations.is_empty() {
            self.now += STEP_MS;
            self.begin_fault();
            self.expire();
            self.deliver();
            self.submit();
            for host in 0..self.hosts.len() {
                if self.is_running(host) {
                    self.check_store(host);
                    self.lead(host);
                    self.follow(host);
                }
            }
            self.check();
        }
    }

    fn begin_fault(&mut self) {
        if self.now < self.next_fault {
            return;
        }
        let pause = self.rng.random_range(FAULT_EVERY_MS..3 * FAULT_EVERY_MS);
        let host = self.rng.random_range(0..self.hosts.len());
        let until = self.now + self.rng.random_range(500..14_000);
        self.next_fault = self.now + pause;
        let kind = if self.faults == Faults::StoreOnly { 0 } else { self.rng.random_range(0..8) };
        match kind {
            0 => {
                let longest =
                    if self.faults == Faults::StoreOnly { LONGEST_OUTAGE_MS } else { 9_000 };
                self.store_away_until = self.now + self.rng.random_range(1_000..longest);
                self.leases_run_out = self.rng.random_bool(0.5);
                self.next_fault = self.next_fault.max(self.store_away_until + FAULT_EVERY_MS);
            }
            // One domain at a time is cut off, as installations tolerate.
            1..=3 if self.partitioned.is_none() => {
                let cut = self.rng.random_range(0..self.domains);
                self.partitioned = Some(cut);
                self.partitioned_until = until;
                self.partitions += 1;
                if self.rng.random_bool(0.3) {
                    self.join((cut + 1) % self.domains);
                }
            }
            4 => self.hosts[host].cut_until = until.min(self.now + 6_000),
            5 => self.hosts[host].suspended_until = until.min(self.now + 4_000),
            6 => {
                let domain = self.rng.random_range(0..self.domains);
                self.join(domain);
            }
            _ => {
                let stopped = Host { leadership: None, follows: None, ..self.fresh(host) };
                self.hosts[host] = Host {
                    stopped_until: self.now + 3_000,
                    next_call: self.now + 3_000,
                    ..stopped
                };
            }
        }
    }

    /// Returns a host as it is after its process has started again.
    fn fresh(&mut self, host: usize) -> Host {
        let domain = self.hosts[host].domain;
        self.join(domain);
        let mut fresh = self.hosts.pop().expect("the host has just been added");
        fresh.clock_offset = self.hosts[host].clock_offset;
        fresh.cut_until = self.hosts[host].cut_until;
        fresh
    }

    /// Ends what is over by time: partitions, leases of runs, the lease of the claim.
    fn expire(&mut self) {
        if self.now >= self.partitioned_until {
            self.partitioned = None;
        }
        for worker in &mut self.workers {
            if self.now >= worker.lease_until {
                self.lapsed += worker.runs.len() as u64;
                worker.runs.clear();
            }
        }
        let is_away = self.now < self.store_away_until;
        if let Some(claim) = &mut self.claim {
            if is_away && !self.leases_run_out {
                claim.lease_until += STEP_MS;
            } else if self.now >= claim.lease_until {
                self.claim = None;
            }
        }
    }

    /// Stores a task now and then through any host that the store answers, which announces it to
    /// the leader that it follows.
    fn submit(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let is_due = self.rng.random_bool(0.04) && self.stored_tasks < TASKS + MAX_SUBMITTED;
        if !is_due || !self.is_running(host) || !self.reaches_store(host) {
            return;
        }
        let task = self.stored_tasks;
        self.stored_tasks += 1;
        let leader = match &self.hosts[host] {
            state if state.leadership.is_some() => host,
            state => match state.follows {
                Some(leader) if self.hosts_pass(host, leader) && self.is_running(leader) => leader,
                _ => return,
            },
        };
        let now = self.clock(leader);
        if let Some(own) = &mut self.hosts[leader].leadership {
            own.reports.record_store_answer(now);
            own.tasks.insert(task);
        }
    }

    fn is_running(&self, host: usize) -> bool {
        let host = &self.hosts[host];
        self.now >= host.stopped_until && self.now >= host.suspended_until
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        self.partitioned.is_none_or(|cut| (from == cut) == (to == cut))
    }

    fn hosts_pass(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        self.now >= from.cut_until
            && self.now >= to.cut_until
            && self.passes(from.domain, to.domain)
    }

    fn reaches_worker(&self, host: usize, worker: usize) -> bool {
        let host = &self.hosts[host];
        self.now >= host.cut_until && self.passes(host.domain, self.workers[worker].domain)
    }

    /// Returns whether the store answers a host. A domain that is cut off loses the store.
    fn reaches_store(&self, host: usize) -> bool {
        let host = &self.hosts[host];
        self.now >= self.store_away_until
            && self.now >= host.cut_until
            && self.partitioned != Some(host.domain)
    }

    fn clock(&self, host: usize) -> Instant {
        Instant(self.now + self.hosts[host].clock_offset)
    }

    /// Calls the store now and then; a call without an answer fails at its time limit.
    fn check_store(&mut self, host: usize) {
        let (now, reaches) = (self.now, self.reaches_store(host));
        let state = &mut self.hosts[host];
        if state.check_fails_at.is_some_and(|at| now >= at) {
            state.check_fails_at = None;
            state.store_failed_at = Some(now);
        }
        if now < state.next_check || state.check_fails_at.is_some() {
            return;
        }
        state.next_check = now + BEAT_MS;
        if reaches {
            state.store_answered_at = now;
            state.store_failed_at = None;
        } else {
            state.check_fails_at = Some(now + STORE_LIMIT_MS);
        }
    }

    fn lead(&mut self, host: usize) {
        let Some(mut own) = self.hosts[host].leadership.take() else { return };
        let clock = self.clock(host);
        if self.now >= own.next_renewal && !self.reaches_store(host) {
            own.next_renewal = self.now + STORE_LIMIT_MS + RENEW_MS;
        } else if self.now >= own.next_renewal {
            own.next_renewal = self.now + RENEW_MS;
            match &mut self.claim {
                Some(claim) if (claim.host, claim.term) == (host, own.term) => {
                    claim.lease_until = self.now + authority::LEASE.0;
                    own.confirmed = clock;
                }
                _ => return,
            }
        }
        if self.reaches_store(host) && authority::is_confirmed(own.confirmed, clock) {
            // Its watch of the store reports what is submitted.
            own.tasks.extend(0..self.stored_tasks);
        }
        if own.reports.is_contradicted(own.confirmed)
            && !authority::is_confirmed(own.confirmed, clock)
        {
            // The claim is confirmed at once; a call that fails ends the leadership.
            match &mut self.claim {
                Some(claim) if (claim.host, claim.term) == (host, own.term) => {}
                _ => return,
            }
            if !self.reaches_store(host) {
                return;
            }
            own.confirmed = clock;
        }
        let basis = own.reports.basis(&self.place(host), own.confirmed, clock);
        match basis.authority() {
            Authority::Lost => return,
            Authority::Wait => {}
            may_act => {
                if !self.act(host, &mut own, may_act == Authority::Act) {
                    return;
                }
            }
        }
        self.hosts[host].leadership = Some(own);
    }

    fn place(&self, host: usize) -> Place {
        Place { domain: domain_id(self.hosts[host].domain), is_only_domain: false }
    }

    /// Renews leases, and starts what runs nowhere; returns false if a worker obeys a later leader.
    fn act(&mut self, host: usize, own: &mut Leadership, may_release: bool) -> bool {
        self.stop_former(host, own);
        let clock = self.clock(host);
        for at in 0..self.workers.len() {
            if own.next_contact.get(&at).is_some_and(|next| self.now < *next) {
                continue;
            }
            let reaches = self.reaches_worker(host, at);
            let pause = if reaches { self.rng.random_range(CONTACT_MS) } else { SILENT_CONTACT_MS };
            own.next_contact.insert(at, self.now + pause);
            if !reaches {
                continue;
            }
            let worker = &mut self.workers[at];
            if worker.token > own.term {
                if authority::is_confirmed(own.confirmed, clock) {
                    continue;
                }
                return false;
            }
            worker.token = own.term;
            worker.lease_until = self.now + RUN_LEASE_MS;
            own.granted.insert(at, self.now);
            own.unanswered.remove(&at);
            own.assigned.retain(|task, on| *on != at || worker.runs.contains(task));
            // A task that is known to run elsewhere is stopped here.
            worker.runs.retain(|task| *own.assigned.entry(*task).or_insert(at) == at);
        }
        let is_scan_over =
            own.unanswered.is_empty() || (may_release && self.now >= own.scan_over_at);
        if is_scan_over && own.inherited_wait && self.reaches_store(host) {
            own.inherited_wait = false;
            let settled = self.last_claim.take().filter(|last| last.claim.term == own.term);
            self.last_claim =
                settled.map(|last| Inherited::nothing().last_claim(last.claim, Instant(0)));
        }
        if is_scan_over && may_release {
            own.unanswered.clear();
            let (now, granted) = (self.now, &own.granted);
            let is_over = |at: &usize| {
                granted.get(at).is_none_or(|since| now >= since + RUN_LEASE_WITH_DRIFT_MS)
            };
            own.assigned.retain(|_, at| !is_over(at));
        }
        if own.unanswered.is_empty() {
            own.unknown.clear();
        }
        self.start_tasks(host, own);
        true
    }

    fn start_tasks(&mut self, host: usize, own: &mut Leadership) {
        let reached: Vec<usize> = (0..self.workers.len())
            .filter(|&at| self.reaches_worker(host, at) && self.workers[at].token == own.term)
            .collect();
        let tasks = own.tasks.iter().copied();
        let waits = |task: &usize| !own.assigned.contains_key(task) && !own.unknown.contains(task);
        for task in tasks.filter(waits).collect::<Vec<_>>() {
            let Some(&at) = reached.choose(&mut self.rng) else { return };
            self.workers[at].runs.insert(task);
            own.assigned.insert(task, at);
        }
    }

    /// Asks the host of a former leader that may act on to stop.
    fn stop_former(&mut self, host: usize, own: &mut Leadership) {
        if own.to_ask.is_empty() {
            return;
        }
        let asked = std::mem::take(&mut own.to_ask);
        for record in asked {
            let former = host_at(&record.host);
            if !self.hosts_pass(host, former) || self.now < self.hosts[former].suspended_until {
                own.to_ask.push(record);
                continue;
            }
            let state = &mut self.hosts[former];
            state.leadership = state.leadership.take().filter(|l| l.term >= own.term);
        }
        if own.to_ask.is_empty() {
            let over = self.now + RUN_LEASE_WITH_DRIFT_MS + TAKEOVER_MARGIN_MS;
            own.scan_over_at = own.scan_over_at.min(over);
        }
    }

    fn follow(&mut self, host: usize) {
        if self.hosts[host].leadership.is_some() || self.now < self.hosts[host].next_call {
            return;
        }
        self.hosts[host].next_call = self.now + BEAT_MS;
        let Some(leader) = self.hosts[host].follows else { return self.look_for_leader(host) };
        let late = self.rng.random_bool(0.05);
        let delay = if late { self.rng.random_range(300..4_000) } else { 0 };
        let state = &self.hosts[host];
        self.under_way.push(Heartbeat {
            arrives: self.now + delay,
            from: host,
            to: leader,
            echo: state.contact.map(|c| (c, self.clock(host).since(c.answered_at))),
            store_age: self.now - state.store_answered_at,
            store_failed_age: state.store_failed_at.map(|at| self.now - at),
            sent: self.now,
        });
        if delay == 0 && self.hosts_pass(host, leader) && self.is_running(leader) {
            return;
        }
        // No answer comes within the time limit.
        let reaches = self.reaches_store(host);
        let state = &mut self.hosts[host];
        state.next_call = self.now + CALL_LIMIT_MS;
        if reaches {
            state.follows = None;
        }
    }

    /// Hands over the heartbeats that have arrived. One that is held up by a partition arrives when
    /// the partition is over.
    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.under_way).into_iter().partition(|beat| {
            let (from, to) = (beat.from, beat.to);
            beat.arrives <= self.now && self.hosts_pass(from, to) && self.is_running(to)
        });
        self.under_way = later;
        let due: Vec<Heartbeat> = due;
        for beat in due {
            self.answer(&beat);
        }
    }

    fn answer(&mut self, beat: &Heartbeat) {
        let now = self.clock(beat.to);
        let place = self.place(beat.to);
        let domain = domain_id(self.hosts[beat.from].domain);
        let answered = self.hosts[beat.to].leadership.as_mut().map(|own| {
            let echo = beat.echo.filter(|(contact, _)| contact.term == own.term);
            let sent = echo.map_or(now, |(contact, age)| contact.leader_clock + age);
            let ago = |age: u64| Instant(sent.0 - age);
            own.reports.record(
                now,
                Report {
                    host: host_id(beat.from),
                    domain,
                    addr: String::new(),
                    pledged_at: echo.map(|(contact, _)| contact.leader_clock),
                    store_answered_at: ago(beat.store_age),
                    store_failed_at: beat.store_failed_age.map(ago),
                },
            );
            (own.term, own.reports.basis(&place, own.confirmed, now).authority())
        });
        // The answer to a heartbeat that was under way for long comes to nobody.
        let is_awaited = self.now - beat.sent < CALL_LIMIT_MS && self.is_running(beat.from);
        let clock = self.clock(beat.from);
        let reaches = self.reaches_store(beat.from);
        let from = &mut self.hosts[beat.from];
        if !is_awaited || from.leadership.is_some() || from.follows != Some(beat.to) {
            return;
        }
        match answered {
            Some((term, authority)) if authority != Authority::Lost => {
                let sent_at = Instant(beat.sent + from.clock_offset);
                from.contact =
                    Some(Contact { term, sent_at, answered_at: clock, leader_clock: now });
                if authority == Authority::Wait && reaches {
                    from.follows = None;
                }
            }
            _ if reaches => from.follows = None,
            _ => {}
        }
    }

    /// Reads who leads, and claims the leadership if nobody does.
    fn look_for_leader(&mut self, host: usize) {
        if !self.reaches_store(host) {
            // The store may be refusing this host only, and the last leader may still lead.
            self.hosts[host].follows = self.hosts[host].last_leader;
            return;
        }
        self.hosts[host].store_answered_at = self.now;
        self.hosts[host].store_failed_at = None;
        if let Some(claim) = &self.claim {
            if claim.host != host {
                self.hosts[host].follows = Some(claim.host);
                self.hosts[host].last_leader = Some(claim.host);
                return;
            }
        }
        let term = self.last_claim.as_ref().map_or(1, |last| last.claim.term + 1);
        let claimed = self.clock(host);
        let stopped_by = authority::stopped_by(claimed, term - 1, self.hosts[host].contact);
        let inherited = match &self.last_claim {
            None => Inherited::nothing(),
            Some(last) => claims::inherit(Some(last), &host_id(host), claimed, stopped_by),
        };
        let record = LeaderRecord {
            host: host_id(host),
            addr: String::new(),
            incarnation: ids::Incarnation(0),
            term,
            lease: term,
        };
        self.claim = Some(Claim { host, term, lease_until: self.now + authority::LEASE.0 });
        self.last_claim = Some(inherited.last_claim(record, claimed));
        let (inherited_wait, until) = match inherited.former_leaders {
            FormerLeaders::StoppedBy(at) => (false, at),
            FormerLeaders::UnseenUntil(at) => (true, at),
        };
        let over = until.max(claimed) + Millis(RUN_LEASE_WITH_DRIFT_MS + TAKEOVER_MARGIN_MS);
        self.hosts[host].leadership = Some(Leadership {
            term,
            confirmed: claimed,
            reports: Reports::default(),
            tasks: (0..self.stored_tasks).collect(),
            unknown: (0..self.stored_tasks).collect(),
            assigned: BTreeMap::new(),
            granted: BTreeMap::new(),
            next_contact: BTreeMap::new(),
            unanswered: (0..self.workers.len()).collect(),
            scan_over_at: over.0 - self.hosts[host].clock_offset,
            to_ask: inherited.to_ask,
            inherited_wait,
            next_renewal: self.now + RENEW_MS,
        });
    }

    /// Holds the runs of each task against each other.
    fn check(&mut self) {
        for task in 0..self.stored_tasks {
            let at: Vec<usize> = (0..self.workers.len())
                .filter(|&at| self.workers[at].runs.contains(&task))
                .collect();
            if at.len() > 1 {
                let terms: Vec<u64> = at.iter().map(|&at| self.workers[at].token).collect();
                self.violations.push(format!(
                    "at {} ms task {task} runs at workers {at:?} under terms {terms:?}",
                    self.now
                ));
            }
        }
    }
}

fn host_id(host: usize) -> ids::EntryId {
    ids::EntryId(format!("host-{host}"))
}

fn host_at(id: &ids::EntryId) -> usize {
    let number = id.0.strip_prefix("host-").and_then(|number| number.parse().ok());
    number.expect("the name of every host ends in its number")
}

fn domain_id(domain: usize) -> ids::DomainId {
    ids::DomainId(format!("domain-{domain}"))
}
