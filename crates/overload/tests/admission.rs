//! Decisions of admission control on virtual time.

use gaplock_overload::admission::{
    self, AdmissionControl, Arrival, ArrivalKey, Decision, RefusalReason, ADMIT, KEPT_AFTER_RETURN,
    MAX_REFUSALS, MAX_RETURN, MIN_RETURN,
};
use gaplock_overload::summary::{LoadSummary, PoolLoad, QueueLoad, WorkClass};
use gaplock_types::ids::ServiceId;
use gaplock_types::sizes::Resources;
use gaplock_types::time::{Instant, Millis};

/// The work of each job, which its queue completes in 100 ms.
const JOB_CORE_MS: u64 = 10_000;
const RATE: u64 = 100_000;
const OBJECTIVE: Millis = Millis(2_000);
const CHAIN: Millis = Millis(500);

/// The backlog that drains so that an arriving job ends at three times its objective.
const FULL: u64 = RATE * 55 / 10;

fn load(queue: &str, backlog_core_ms: u64) -> QueueLoad {
    QueueLoad {
        queue: queue.to_string(),
        pool: ServiceId("pool".to_string()),
        class: WorkClass::Short,
        priority: 0,
        jobs: 1,
        running_millicores: 0,
        waiting_millicores: 1_000,
        preceding_millicores: 1_000,
        backlog_core_ms,
        arriving_core_ms_per_s: 0,
        completed_core_ms_per_s: RATE,
    }
}

fn summary(sequence: u64, queues: Vec<QueueLoad>) -> LoadSummary {
    LoadSummary { term: 1, sequence, queues, ..LoadSummary::default() }
}

fn job(queue: &str, key: u64) -> Arrival {
    Arrival {
        key: ArrivalKey(key),
        queue: queue.to_string(),
        pool: ServiceId("pool".to_string()),
        class: WorkClass::Short,
        needed: Resources::new(1_000, 256, 0),
        chain: CHAIN,
        objective: OBJECTIVE,
        work_core_ms: JOB_CORE_MS,
    }
}

/// Returns after what time a refused caller should return.
fn return_in(decision: Decision) -> Millis {
    match decision {
        Decision::Refuse { return_in, .. } => return_in,
        Decision::Admit { .. } => panic!("the job was admitted"),
    }
}

fn is_admitted(decision: Decision) -> bool {
    matches!(decision, Decision::Admit { .. })
}

/// Guards against refusals of jobs that would end in time to be of use, and of work that has no
/// backlog to judge it by.
#[test]
fn a_job_is_refused_only_if_it_ends_after_three_times_its_objective() {
    let now = Instant(0);
    let decide = |backlog, arrival: &Arrival| {
        AdmissionControl::default().decide(now, &summary(1, vec![load("q", backlog)]), arrival)
    };
    assert_eq!(decide(FULL, &job("q", 1)), ADMIT);
    let late = decide(FULL + RATE / 100, &job("q", 1));
    assert!(matches!(late, Decision::Refuse { reason: RefusalReason::TooLate, .. }), "{late:?}");
    let long = Arrival { class: WorkClass::LongRunning, ..job("q", 1) };
    let other = Arrival { class: WorkClass::BestEffort, ..job("q", 1) };
    let without = Arrival { objective: Millis(0), ..job("q", 1) };
    for arrival in [long, other, without, job("unlisted", 1)] {
        assert_eq!(decide(FULL * 10, &arrival), ADMIT, "{arrival:?}");
        let listed = summary(1, vec![load("q", FULL * 10)]);
        assert!(!admission::may_be_refused(&listed, &arrival), "{arrival:?}");
    }
    let drains_in = |ms| summary(1, vec![load("q", RATE * ms / 1_000)]);
    assert!(!admission::may_be_refused(&drains_in(OBJECTIVE.0), &job("q", 1)));
    assert!(admission::may_be_refused(&drains_in(OBJECTIVE.0 + 1), &job("q", 1)));
    let stuck = QueueLoad { completed_core_ms_per_s: 0, ..load("q", FULL * 10) };
    let stuck = summary(1, vec![stuck]);
    assert_eq!(AdmissionControl::default().decide(now, &stuck, &job("q", 1)), ADMIT);
}

/// Guards against a wave of refused callers that returns all at once, out of order, or behind
/// callers that come later.
#[test]
fn a_wave_of_refused_callers_returns_spread_in_order_and_before_newcomers() {
    let mut control = AdmissionControl::default();
    let full = summary(1, vec![load("q", FULL + JOB_CORE_MS)]);
    let now = Instant(1_000);
    let told: Vec<Millis> =
        (0..100).map(|key| return_in(control.decide(now, &full, &job("q", key)))).collect();
    assert!(told.windows(2).all(|pair| pair[1].0 == pair[0].0 + 100), "{told:?}");
    assert!(told.iter().all(|&wait| (MIN_RETURN..=MAX_RETURN).contains(&wait)), "{told:?}");
    // The queue stays full, and newcomers arrive throughout.
    for (key, &wait) in told.iter().enumerate() {
        let at = now + wait;
        let full = summary(2 + key as u64, vec![load("q", FULL + JOB_CORE_MS)]);
        let early = control.decide(Instant(at.0 - 1), &full, &job("q", key as u64));
        let reason = RefusalReason::ReturnedEarly;
        assert_eq!(early, Decision::Refuse { reason, return_in: MIN_RETURN });
        let newcomer = control.decide(at, &full, &job("q", 1_000 + key as u64));
        assert!(!is_admitted(newcomer), "newcomer {key} overtook a returning caller");
        let returned = control.decide(at, &full, &job("q", key as u64));
        assert_eq!(returned, Decision::Admit { returned: true }, "caller {key}");
    }
}

/// Guards against an admitted caller that loses its place because its host could not store the job.
#[test]
fn a_returning_caller_is_admitted_until_its_job_is_known() {
    let mut control = AdmissionControl::default();
    let full = summary(1, vec![load("q", FULL * 2)]);
    let at = Instant(0) + return_in(control.decide(Instant(0), &full, &job("q", 1)));
    for _ in 0..2 {
        assert_eq!(control.decide(at, &full, &job("q", 1)), Decision::Admit { returned: true });
    }
    control.forget(ArrivalKey(1));
    assert!(!is_admitted(control.decide(at, &full, &job("q", 1))));
}

/// Guards against a flood of one queue that delays or displaces the refused callers of another.
#[test]
fn a_flood_of_one_queue_moves_no_return_time_of_another() {
    let both = summary(1, vec![load("flooded", FULL * 2), load("calm", FULL * 2)]);
    let now = Instant(0);
    let mut alone = AdmissionControl::default();
    let mut flooded = AdmissionControl::default();
    for key in 0..2 * MAX_REFUSALS as u64 {
        flooded.decide(now, &both, &job("flooded", key));
    }
    assert_eq!(flooded.len(), MAX_REFUSALS);
    for key in 0..50 {
        let arrival = job("calm", u64::MAX - key);
        let expected = alone.decide(now, &both, &arrival);
        assert_eq!(flooded.decide(now, &both, &arrival), expected);
        assert_eq!(flooded.first_refused(arrival.key), Some(now), "caller {key} has no place");
    }
}

/// Guards against a table that grows without a bound, and against callers without a place that are
/// told to return before those that have one.
#[test]
fn a_full_table_refuses_without_a_place_and_takes_callers_again_once_entries_expire() {
    let mut control = AdmissionControl::default();
    let full = summary(1, vec![load("q", FULL * 2)]);
    let count = MAX_REFUSALS as u64;
    let told: Vec<Millis> = (0..count + 10)
        .map(|key| return_in(control.decide(Instant(0), &full, &job("q", key))))
        .collect();
    assert_eq!(control.len(), MAX_REFUSALS);
    assert_eq!(control.first_refused(ArrivalKey(count)), None);
    assert!(told.windows(2).all(|pair| pair[0] <= pair[1]) && told.last() == Some(&MAX_RETURN));
    let expired = Instant(MAX_RETURN.0 + KEPT_AFTER_RETURN.0);
    control.decide(expired, &full, &job("q", u64::MAX));
    assert_eq!(control.len(), 1);
}

/// Guards against a queue of which more is refused than it drains until the latest return time:
/// all those callers would be admitted at once when they return.
#[test]
fn callers_whose_turn_comes_later_than_the_latest_return_time_keep_their_order() {
    let mut control = AdmissionControl::default();
    let mut backlog = FULL * 2;
    let mut told: Vec<(Instant, u64)> = (0..600)
        .map(|key| {
            let listed = summary(1, vec![load("q", backlog)]);
            (Instant(0) + return_in(control.decide(Instant(0), &listed, &job("q", key))), key)
        })
        .collect();
    let mut admitted = Vec::new();
    for second in 1..=90 {
        backlog = backlog.saturating_sub(RATE);
        let listed = summary(1 + second, vec![load("q", backlog)]);
        let now = Instant(second * 1_000);
        for (at, key) in told.iter_mut().filter(|(at, _)| *at <= now) {
            match control.decide(now, &listed, &job("q", *key)) {
                Decision::Admit { .. } => {
                    backlog += JOB_CORE_MS;
                    admitted.push(*key);
                    control.forget(ArrivalKey(*key));
                    *at = Instant(u64::MAX);
                }
                Decision::Refuse { return_in, .. } => *at = now + return_in,
            }
        }
        assert!(backlog <= FULL * 2, "too many are admitted at second {second}");
    }
    assert_eq!(admitted.len(), 600);
    assert!(admitted.is_sorted(), "{admitted:?}");
}

/// Guards against a successor that takes the promises of the lost leader for its own, or refuses
/// forever.
#[test]
fn a_successor_without_the_table_treats_returning_callers_as_newcomers() {
    let mut lost = AdmissionControl::default();
    let full = summary(1, vec![load("q", FULL * 2)]);
    let at = Instant(0) + return_in(lost.decide(Instant(0), &full, &job("q", 1)));
    let mut successor = AdmissionControl::default();
    let again = successor.decide(at, &full, &job("q", 1));
    assert!(matches!(again, Decision::Refuse { reason: RefusalReason::TooLate, .. }), "{again:?}");
    let drained = summary(2, vec![load("q", FULL / 2)]);
    let returned = at + return_in(again);
    assert!(is_admitted(successor.decide(returned, &drained, &job("q", 1))));
}

/// Guards against refusals of jobs that a worker could hold, or whose pool is not known yet.
#[test]
fn a_job_that_no_worker_has_ever_been_able_to_hold_is_refused() {
    let largest = Resources::new(64_000, 1_024, 0);
    let pool = ServiceId("pool".to_string());
    let known = PoolLoad { pool, capacity_millicores: 0, largest };
    let listed = LoadSummary { pools: vec![known], ..summary(1, Vec::new()) };
    let sized = |cpu| Arrival { needed: Resources::new(cpu, 256, 0), ..job("q", 1) };
    let mut control = AdmissionControl::default();
    assert_eq!(control.decide(Instant(0), &listed, &sized(64_000)), ADMIT);
    let refused = Decision::Refuse { reason: RefusalReason::TooLarge, return_in: MAX_RETURN };
    assert_eq!(control.decide(Instant(0), &listed, &sized(64_001)), refused);
    assert!(admission::may_be_refused(&listed, &sized(64_001)));
    let unknown = summary(2, Vec::new());
    assert_eq!(control.decide(Instant(0), &unknown, &sized(64_001)), ADMIT);
    assert!(!admission::may_be_refused(&unknown, &sized(64_001)));
}

/// Guards against refusals in a burst that finds free capacity: its work is a large backlog, but none of it waits, so
/// a newcomer starts at once. Waiting work that goes behind a newcomer delays it as little.
#[test]
fn work_that_delays_no_newcomer_refuses_nobody() {
    let mut control = AdmissionControl::default();
    let running = QueueLoad {
        running_millicores: 5_000_000,
        waiting_millicores: 0,
        preceding_millicores: 0,
        ..load("short", FULL * 100)
    };
    let calm = summary(1, vec![running.clone()]);
    assert!(!admission::may_be_refused(&calm, &job("short", 1)));
    for key in 1..1_000 {
        assert_eq!(control.decide(Instant(1_000), &calm, &job("short", key)), ADMIT);
    }
    let past_use = QueueLoad { waiting_millicores: 15_000_000, ..running.clone() };
    let behind = summary(2, vec![past_use]);
    assert!(is_admitted(control.decide(Instant(1_300), &behind, &job("short", 1_500))));
    let mostly_waiting =
        QueueLoad { waiting_millicores: 15_000_000, preceding_millicores: 15_000_000, ..running };
    let overloaded = summary(3, vec![mostly_waiting]);
    assert!(!is_admitted(control.decide(Instant(1_600), &overloaded, &job("short", 2_000))));
}
