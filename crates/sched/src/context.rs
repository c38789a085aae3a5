//! Handles the events of one leader: passes each to its module, runs the periodic checks, and
//! returns the actions.

use std::ops::{Deref, DerefMut};

use gaplock_types::time::{Instant, Millis};

use crate::changes::crashes::recorded_starts;
use crate::changes::{
    accounting, best_effort_limits, commits, crashes, directory, dispatch, drain, evacuation,
    freshness, inbox, intake, maintenance, moving, orders, pacing, permits, renewals, roster,
    shares, steering, stragglers, takeover, terminated,
};
use crate::interface::event_queue;
use crate::interface::message::{Action, Event, WorkerIx};
use crate::interface::settings::Settings;
use crate::state::State;

pub use crate::state::Term;

/// The shortest interval between dispatch passes under a high rate of events; a pass examines every
/// ready step.
const MIN_PASS_INTERVAL: Millis = Millis(4);

/// A pass goes over all workers, so it runs less often on large fleets: the interval grows by one
/// millisecond for this many workers.
const WORKERS_PER_MS: u64 = 150;

/// A pass that compared many waiting steps with many workers is followed by a longer pause: one
/// millisecond for this many candidate evaluations. Otherwise the passes of a full installation
/// would leave no processor time for its renewals.
const EVALUATIONS_PER_MS: u64 = 2_000;

/// How often due renewals are looked for under a high rate of events; each check sends all that are
/// due.
const RENEWAL_CHECK_INTERVAL: Millis = Millis(2);

/// How often time limits are checked.
const HOUSEKEEPING_INTERVAL: Millis = Millis(50);

/// How often better workers are looked for. Each check goes over all workers for every image that
/// is stuck, and moves at most one task to each worker.
const REBALANCE_INTERVAL: Millis = Millis(200);

/// How often better workers are looked for at least, however far the leader is behind.
const MAX_REBALANCE_INTERVAL: Millis = Millis(800);

/// A leader's state, with the times of its last periodic checks. It dereferences to the state, so a
/// driver reads the state through it.
#[derive(Debug)]
pub struct Context {
    state: State,
    last_pass: Instant,
    last_renewals: Instant,
    /// Set when renewals may be due but were not looked for.
    renewals_postponed: bool,
    last_housekeeping: Instant,
    last_rebalanced: Instant,
}

impl Deref for Context {
    type Target = State;

    fn deref(&self) -> &State {
        &self.state
    }
}

impl DerefMut for Context {
    fn deref_mut(&mut self) -> &mut State {
        &mut self.state
    }
}

impl Context {
    /// Creates the context of a leader that knows nothing yet; [`takeover::restore`] fills its
    /// state.
    pub fn open(settings: Settings, term: Term, now: Instant, unix_ms: u64) -> Self {
        Self {
            state: State::open(settings, term, now, unix_ms),
            last_pass: Instant(0),
            last_renewals: Instant(0),
            renewals_postponed: false,
            last_housekeeping: Instant(0),
            last_rebalanced: Instant(0),
        }
    }

    /// Handles an event that happened at `now`, then does what is due by time alone. Actions are
    /// collected in [`State::actions`].
    pub fn handle(&mut self, now: Instant, unix_ms: u64, event: Event) {
        self.apply_event(now, unix_ms, event);
        self.run_due();
    }

    /// Handles an event that is handled at `now` after it has waited for its turn, without what is
    /// due by time alone. [`Context::run_due`] must follow once the driver has no more events at
    /// hand.
    pub fn handle_waiting(&mut self, now: Instant, unix_ms: u64, waited: Millis, event: Event) {
        self.delay.record(now, waited);
        self.apply_event(now, unix_ms, event);
    }

    fn apply_event(&mut self, now: Instant, unix_ms: u64, event: Event) {
        self.now = now;
        self.unix_ms = unix_ms;
        self.apply(event);
    }

    /// Does what is due by time alone.
    pub fn run_due(&mut self) {
        self.run_housekeeping();
        self.send_renewals();
        self.run_due_pass();
    }

    /// Passes an event to the one module that handles it.
    fn apply(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Settings(settings) => self.settings = *settings,
            Event::Config(config) => intake::apply_config(self, config),
            Event::Job(job, stored_at) => inbox::add_job(self, job, stored_at),
            Event::Cancel(key, stored_at) => inbox::cancel(self, key, stored_at),
            Event::InboxRead(up_to) => inbox::read(self, up_to),
            Event::Listed(info) => directory::listed(self, info),
            Event::Unreadable(id) => directory::unreadable(self, &id),
            Event::Unlisted(id) => directory::unlisted(self, &id),
            Event::DirectoryRecovered => self.directory_recovered_at = self.now,
            Event::DirectoryRead(read) => freshness::directory_read(self, read),
            Event::StoreRevision(sample) => freshness::record_revision(self, sample),
            Event::FormerLeadersStopped => takeover::former_leaders_stopped(self),
            Event::Evacuated(evacuated) => evacuation::apply(self, evacuated),
            Event::Steered(instructions) => steering::apply(self, instructions),
            Event::Renewed { worker, sent, outcome } => {
                renewals::handle_renewal_outcome(self, worker, sent, outcome);
            }
            Event::Started { worker, task, run, outcome } => {
                self.start_answered(worker);
                orders::handle_start_outcome(self, worker, task, run, outcome);
            }
            Event::Stopped { worker, task, run, outcome } => {
                orders::handle_stop_outcome(self, worker, task, run, outcome);
            }
            Event::Paced { worker, task, run, percent, execution } => {
                pacing::handle_pace_outcome(self, worker, task, run, percent, execution);
            }
            Event::Advised { step, asked, sent, answer } => {
                permits::handle_advice(self, step, &asked, sent, answer);
            }
            Event::Wave(request) => maintenance::handle_wave_request(self, request),
            Event::Hosts { sent, hosts } => maintenance::handle_host_list(self, sent, hosts),
            Event::Maintenance { wave, host, answer } => {
                maintenance::handle_order_answer(self, wave, &host, answer);
            }
            Event::Committed => {
                let removed = commits::committed(self);
                inbox::removals_stored(self, removed);
                recorded_starts::send_stored_starts(self);
            }
            Event::CommitFailed => commits::failed(self),
        }
    }

    /// Checks time limits, at most once per [`HOUSEKEEPING_INTERVAL`]. The order matters. Expired
    /// leases and ended incarnations come first, since they free tasks and capacity; then what they
    /// prove about the tasks that ran there; then the tasks that must leave their worker and those
    /// that would be better off elsewhere; then what is stored or dropped.
    fn run_housekeeping(&mut self) {
        if self.now.since(self.last_housekeeping) < HOUSEKEEPING_INTERVAL {
            return;
        }
        self.last_housekeeping = self.now;
        takeover::check_recovery_scan(self);
        freshness::check(self);
        intake::begin_due_rounds(self);
        terminated::check(self);
        roster::check(self);
        orders::check(self);
        crashes::check(self);
        recorded_starts::send_stored_starts(self);
        maintenance::advance_waves(self);
        drain::check(self);
        best_effort_limits::check(self);
        shares::check(self);
        self.rebalance();
        pacing::store_learned(self);
        accounting::log_backlogs(self);
        steering::check(self);
        inbox::remove_finished(self);
        self.pass_wanted |= !self.ready.is_empty();
    }

    /// Sends the renewals that are due.
    fn send_renewals(&mut self) {
        self.renewals_postponed = self.now.since(self.last_renewals) < RENEWAL_CHECK_INTERVAL;
        if !self.renewals_postponed {
            self.last_renewals = self.now;
            renewals::send_due(self);
        }
    }

    /// Runs a dispatch pass if one is due. It comes last, so that it can use the capacity that was
    /// freed before.
    fn run_due_pass(&mut self) {
        if self.pass_wanted && self.now.since(self.last_pass) >= self.min_pass_interval() {
            self.last_pass = self.now;
            self.pass_wanted = false;
            if !self.freshness.is_behind() {
                dispatch::pass(self);
            }
        }
    }

    /// Records that one start fewer is in flight; steps may have waited for that.
    fn start_answered(&mut self, ix: WorkerIx) {
        let waited_for = self.is_at_start_limit() || self.is_worker_at_start_limit(ix);
        self.pass_wanted |= waited_for && !self.ready.is_empty();
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
        let worker = self.worker_mut(ix);
        worker.starts_in_flight = worker.starts_in_flight.saturating_sub(1);
    }

    /// Periodically looks for better workers for running tasks.
    fn rebalance(&mut self) {
        let interval = self.delay.stretched(REBALANCE_INTERVAL, MAX_REBALANCE_INTERVAL);
        if self.now.since(self.last_rebalanced) < interval {
            return;
        }
        self.last_rebalanced = self.now;
        self.rebalance_searches = moving::check(self) + stragglers::check(self);
    }

    /// Returns the shortest interval between two passes.
    fn min_pass_interval(&self) -> Millis {
        let by_fleet = Millis(self.fleet_size() as u64 / WORKERS_PER_MS);
        let by_evaluations = Millis(self.pass_evaluations as u64 / EVALUATIONS_PER_MS);
        MIN_PASS_INTERVAL.max(by_fleet).max(by_evaluations)
    }

    /// Returns when [`Event::Tick`] is needed next.
    pub fn next_wake(&self) -> Instant {
        let pass = self.last_pass + self.min_pass_interval();
        let mut wake = self.last_housekeeping + HOUSEKEEPING_INTERVAL;
        if self.pass_wanted {
            wake = wake.min(pass);
        }
        if self.renewals_postponed {
            wake = wake.min(self.last_renewals + RENEWAL_CHECK_INTERVAL);
        }
        wake
    }

    /// Takes the collected actions, the most urgent ones first.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.state.actions);
        event_queue::sort_actions(&mut actions);
        actions
    }
}
