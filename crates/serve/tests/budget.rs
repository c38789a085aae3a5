//! The ledger of a process on virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use gaplock_serve::budget::{self, Amount, Bytes, Class, ConnectionId, Ledger, Phase, MIN_AGE};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The smallest hosts of the users' sites.
const SMALL_HOST: (Bytes, usize) = (Bytes(160 << 20), 4_100);

fn ledger(memory: u64, connections: usize) -> Ledger {
    Ledger::new(budget::divide(Amount { memory: Bytes(memory), connections }))
}

/// Opens connections of a class until one is refused.
fn fill(ledger: &mut Ledger, class: Class, now: Duration) -> Vec<ConnectionId> {
    std::iter::from_fn(|| ledger.open(class, now).granted).collect()
}

#[test]
fn no_class_takes_what_is_reserved_for_another() {
    for first in Class::ALL {
        let mut ledger = ledger(1 << 30, 160);
        let mut opened = fill(&mut ledger, first, Duration::ZERO).len();
        for class in Class::ALL.into_iter().filter(|&class| class != first) {
            let granted = fill(&mut ledger, class, Duration::ZERO).len();
            assert!(granted >= 10, "{granted} for {class} behind {first}");
            opened += granted;
        }
        assert_eq!(opened, 160);
    }
}

#[test]
fn a_small_host_keeps_its_limits_and_serves_the_largest_requests() {
    let (memory, descriptors) = SMALL_HOST;
    let budget = budget::of_process(memory, descriptors);
    assert!(budget.total.memory.0 <= memory.0 / 2 && budget.total.connections < descriptors / 2);
    let mut ledger = Ledger::new(budget);
    let hosts = fill(&mut ledger, Class::Hosts, Duration::ZERO).len();
    assert!(hosts >= 330, "{hosts} hosts");
    let callers = fill(&mut ledger, Class::Callers, Duration::ZERO).len();
    assert!(callers >= 480, "{callers} callers");
    for class in [Class::Readiness, Class::Metrics] {
        assert!(fill(&mut ledger, class, Duration::ZERO).len() >= 32);
    }
    // The largest body with its handling, beside connections of every other class.
    let mut ledger = Ledger::new(budget);
    fill(&mut ledger, Class::Hosts, Duration::ZERO);
    let id = ledger.open(Class::Callers, Duration::ZERO).granted.unwrap();
    assert!(ledger.charge(id, Bytes(262_144 * 41), Duration::ZERO).granted.is_some());
}

#[test]
fn even_the_smallest_process_serves_one_request_of_the_largest_size() {
    let mut ledger = Ledger::new(budget::of_process(Bytes(0), 0));
    for class in [Class::Hosts, Class::Readiness, Class::Metrics] {
        assert!(!fill(&mut ledger, class, Duration::ZERO).is_empty());
    }
    let id = ledger.open(Class::Callers, Duration::ZERO).granted.unwrap();
    assert!(ledger.charge(id, Bytes(262_144 * 41), Duration::ZERO).granted.is_some());
}

#[test]
fn the_connection_that_was_idle_longest_makes_place() {
    let mut ledger = ledger(1 << 30, 160);
    let first = ledger.open(Class::Callers, Duration::ZERO).granted.unwrap();
    let second = ledger.open(Class::Callers, Duration::from_millis(1)).granted.unwrap();
    let later = fill(&mut ledger, Class::Callers, Duration::from_millis(2));
    assert!(ledger.enter(first, Phase::Busy, Duration::from_millis(3)));
    assert!(ledger.enter(later[0], Phase::Reading, Duration::from_millis(3)));
    let now = Duration::from_millis(3) + MIN_AGE;
    assert_eq!(ledger.open(Class::Callers, now).evicted, [second]);
    assert!(!ledger.enter(second, Phase::Reading, now), "it was evicted");
    for id in &later[1..] {
        assert!(ledger.enter(*id, Phase::Busy, now));
    }
    assert_eq!(ledger.open(Class::Callers, now).evicted, [later[0]]);
    let full = ledger.open(Class::Callers, now);
    assert_eq!(
        (full.granted, full.evicted),
        (None, Vec::new()),
        "only young and busy ones are left"
    );
}

/// Hosts that send heartbeats every second keep their connections beside a crowd that fills all
/// other places with half a request, again and again.
#[test]
fn hosts_that_send_heartbeats_outlast_clients_that_stall() {
    let mut ledger = ledger(1 << 30, 160);
    let hosts: Vec<_> = std::iter::repeat_with(|| ledger.open(Class::Hosts, Duration::ZERO))
        .take(20)
        .filter_map(|grant| grant.granted)
        .collect();
    let mut refused = 0;
    for tenth in 1..600_u64 {
        let now = Duration::from_millis(tenth * 100);
        for (at, &host) in hosts.iter().enumerate() {
            if (tenth + at as u64).is_multiple_of(10) {
                assert!(ledger.enter(host, Phase::Busy, now), "host {at} at {now:?}");
                assert!(ledger.enter(host, Phase::Idle, now));
            }
        }
        let grant = ledger.open(Class::Hosts, now);
        refused += usize::from(grant.granted.is_none());
        if let Some(id) = grant.granted {
            assert!(ledger.enter(id, Phase::Reading, now));
        }
    }
    assert_eq!(refused, 0);
}

#[test]
fn memory_is_taken_from_requests_that_take_longest_to_arrive() {
    let class = Class::Callers;
    let body = Bytes(class.connection_bytes().0 * 10);
    // The part of callers takes three connections with such bodies.
    let mut ledger = ledger(class.connection_bytes().0 * 56, 160);
    let mut open = |at| {
        let now = Duration::from_millis(at);
        let id = ledger.open(class, now).granted.unwrap();
        assert!(ledger.enter(id, Phase::Reading, now));
        let grant = ledger.charge(id, body, now);
        (id, grant)
    };
    let (first, _) = open(0);
    let (second, _) = open(1);
    let (_, grant) = open(2);
    assert!(grant.granted.is_some());
    let (fourth, grant) = open(3);
    assert_eq!((grant.granted, grant.evicted), (None, Vec::new()), "none is old enough");
    let now = MIN_AGE + Duration::from_millis(1);
    let grant = ledger.charge(fourth, body, now);
    assert_eq!((grant.granted, grant.evicted), (Some(()), vec![first]));
    assert!(ledger.enter(second, Phase::Busy, now));
}

#[test]
fn connections_expire_by_what_they_are_doing() {
    let mut ledger = ledger(1 << 30, 160);
    let mut open = |class| ledger.open(class, Duration::ZERO).granted.unwrap();
    let (idle, reading, busy) = (open(Class::Hosts), open(Class::Hosts), open(Class::Hosts));
    open(Class::Callers);
    let at = Duration::from_secs;
    assert!(ledger.enter(reading, Phase::Reading, at(1)));
    assert!(ledger.enter(busy, Phase::Busy, at(2)));
    let mut expire = |phase, now| ledger.expire(Class::Hosts, phase, at(10), at(now));
    assert_eq!(expire(Phase::Idle, 10), []);
    assert_eq!(expire(Phase::Idle, 11), [idle]);
    assert_eq!(expire(Phase::Reading, 11), []);
    assert_eq!(expire(Phase::Reading, 12), [reading]);
    assert_eq!(expire(Phase::Busy, 13), [busy]);
    assert_eq!(ledger.used(Class::Hosts), Amount::default());
    assert_eq!(ledger.used(Class::Callers).connections, 1);
}

/// Random worlds: what is accounted for is always what is open, stays within the budget, and is
/// nothing at the end; busy and young connections are never evicted.
#[test]
fn random_clients_never_exceed_the_budget() {
    let seeds = std::env::var("BUDGET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        world(seed);
    }
}

struct Seen {
    class: Class,
    phase: Phase,
    since: Duration,
    memory: Bytes,
}

fn world(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let total = Amount {
        memory: Bytes(rng.random_range(1 << 20..64 << 20)),
        connections: rng.random_range(16..400),
    };
    let mut ledger = Ledger::new(budget::divide(total));
    let mut open = BTreeMap::<ConnectionId, Seen>::new();
    let mut now = Duration::ZERO;
    for _ in 0..2_000 {
        now += Duration::from_millis(rng.random_range(0..40));
        let class = Class::ALL[rng.random_range(0..4)];
        let picked = open.keys().nth(rng.random_range(0..=open.len())).copied();
        let evicted = match (rng.random_range(0..10), picked) {
            (0..=3, _) | (_, None) => {
                let grant = ledger.open(class, now);
                if let Some(id) = grant.granted {
                    let memory = class.connection_bytes();
                    open.insert(id, Seen { class, phase: Phase::Idle, since: now, memory });
                }
                grant.evicted
            }
            (4..=6, Some(id)) => {
                let memory = Bytes(rng.random_range(0..1 << 20));
                let grant = ledger.charge(id, memory, now);
                if grant.granted.is_some() {
                    let seen = open.get_mut(&id).unwrap();
                    seen.memory = seen.memory + memory;
                }
                grant.evicted
            }
            (7, Some(id)) => {
                ledger.close(id);
                open.remove(&id);
                Vec::new()
            }
            (_, Some(id)) => {
                let phase = [Phase::Idle, Phase::Reading, Phase::Busy][rng.random_range(0..3)];
                assert!(ledger.enter(id, phase, now));
                let seen = open.get_mut(&id).unwrap();
                (seen.phase, seen.since) = (phase, now);
                Vec::new()
            }
        };
        for id in evicted {
            let seen = open.remove(&id).expect("seed {seed}: an open connection is evicted");
            assert!(seen.phase != Phase::Busy && now - seen.since >= MIN_AGE, "seed {seed}");
        }
        let mut sum = Amount::default();
        for class in Class::ALL {
            let of_class = open.values().filter(|seen| seen.class == class);
            let memory = of_class.clone().map(|seen| seen.memory).sum();
            let used = Amount { memory, connections: of_class.count() };
            assert_eq!(ledger.used(class), used, "seed {seed}");
            sum.memory = sum.memory + used.memory;
            sum.connections += used.connections;
        }
        assert!(sum.memory <= total.memory, "seed {seed}");
        assert!(sum.connections <= total.connections, "seed {seed}");
    }
    open.into_keys().for_each(|id| ledger.close(id));
    assert!(Class::ALL.into_iter().all(|class| ledger.used(class) == Amount::default()));
}
