//! Measures how the cost of decisions and the size of the state grow with the fleet.
//!
//! `gaplock-scale` measures whole processes and their processor time. This module measures the time of
//! a single decision and the size in bytes of what is stored or sent.

use std::time::Instant;

use gaplock_coord::records::{Entry, Record};
use gaplock_coord::state::PartitionState;
use gaplock_coord::{assign, members};
use gaplock_policy::{interference, placement};
use gaplock_types::{api, ids, sizes, wire};

use crate::report::Report;

/// The numbers of workers to measure.
const FLEET_SIZES: [usize; 4] = [50, 200, 650, 1_300];
/// Tasks for each worker at the size planned for in two years: 13,700 tasks on 1,300 workers.
const TASKS_PER_WORKER: usize = 11;
/// How often a placement decision is repeated to measure its mean time.
const DECISIONS: usize = 2_000;

/// Measures costs and sizes for each fleet size.
pub fn measure(seed: u64) -> Report {
    let mut rows = Vec::new();
    let mut costs = Vec::new();
    for workers in FLEET_SIZES {
        let layout = layout_of(workers);
        let workers_per_partition = workers.div_ceil(layout.count() as usize);
        let decision_us = decision_cost_us(workers_per_partition);
        costs.push(decision_us);
        rows.push(row(workers, workers_per_partition, &layout, decision_us));
    }
    let growth = costs[FLEET_SIZES.len() - 1] / costs[0];
    let findings = vec![
        format!(
            "one placement decision costs {growth:.2} times as much at 1,300 workers as at 50 \
             (26 times the fleet)"
        ),
        format!("one start adds {} bytes to the journal", start_bytes()),
        format!("a heartbeat of an owner of 7 partitions has {} bytes", heartbeat_bytes(7)),
        format!(
            "a lease exchange has {} bytes for a worker without tasks, {} more for each task",
            lease_bytes(0),
            (lease_bytes(20) - lease_bytes(0)) / 20
        ),
        format!("a member's record has {} bytes", member_bytes()),
    ];
    Report {
        name: "scale",
        seed,
        headings: vec![
            "workers",
            "partitions",
            "workers each",
            "decision us",
            "assignment us",
            "snapshot bytes",
            "bytes a task",
        ],
        rows,
        findings,
    }
}

/// Returns the layout of a fleet. The number of failure domains is in proportion to the size planned for in
/// two years: 31 for 1,300 workers, and at least 3.
fn layout_of(workers: usize) -> assign::Layout {
    let domains = (workers * 31).div_ceil(1_300).max(3);
    let domains = (0..domains).map(|i| ids::DomainId(format!("d{i}"))).collect();
    assign::Layout { domains, slices: 2 }
}

/// Builds the table row of a fleet with `workers_per_partition` workers in each partition.
fn row(
    workers: usize,
    workers_per_partition: usize,
    layout: &assign::Layout,
    decision_us: f64,
) -> Vec<String> {
    let state = state_of(workers_per_partition * TASKS_PER_WORKER);
    let snapshot =
        serde_json::to_vec(&state).expect("a partition's state always serializes to JSON").len();
    vec![
        workers.to_string(),
        layout.count().to_string(),
        workers_per_partition.to_string(),
        format!("{decision_us:.1}"),
        format!("{:.1}", owners_cost_us(layout)),
        snapshot.to_string(),
        (snapshot / (workers_per_partition * TASKS_PER_WORKER)).to_string(),
    ]
}

fn decision_cost_us(workers: usize) -> f64 {
    let service = ids::ServiceId::from("coldtrace");
    let mut learned = interference::InterferenceModel::default();
    let class = |i: usize| ids::BatchClass(format!("class-{}", i % 6));
    for i in 0..60 {
        let shares = vec![(class(i), 0.2)];
        learned.observe(&service, &shares, interference::LoadBand(1), 12_000.0);
    }
    let candidates: Vec<placement::Candidate> = (0..workers)
        .map(|i| placement::Candidate {
            capacity: sizes::Resources::new(16_000, 60 * 1024, 0),
            used: sizes::Resources::new(4_000 + (i as u32 % 5) * 1_000, 16_384, 0),
            batch_cpu: sizes::MilliCores((i as u32 % 5) * 1_000),
            rack: ids::RackId(format!("r{}", i / 8)),
            services: vec![(service.clone(), interference::LoadBand(1), 40_000.0)],
            shares: vec![(class(i), 0.1), (class(i + 1), 0.05)],
            throttled: false,
            unknown_tasks: 0,
        })
        .collect();
    let wanted = class(2);
    let want = placement::BatchDemand {
        class: &wanted,
        demand: sizes::Resources::new(1_000, 1_024, 0),
        batch_cpu_percent: 100,
        tail_weight: 1.0,
    };
    let began = Instant::now();
    let mut found = 0;
    for _ in 0..DECISIONS {
        found += usize::from(placement::for_batch(&candidates, &want, &learned).is_some());
    }
    assert!(
        found == DECISIONS || found == 0,
        "{found} of {DECISIONS} decisions on the same input found a worker, expected all or none"
    );
    began.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn owners_cost_us(layout: &assign::Layout) -> f64 {
    let entries: Vec<ids::EntryId> = (0..9).map(|i| ids::EntryId(format!("entry-{i}"))).collect();
    let began = Instant::now();
    let repetitions = 50;
    for _ in 0..repetitions {
        assert!(!assign::assign_owners(layout, &entries).is_empty());
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(repetitions)
}

fn run_of(number: u64) -> wire::Run {
    let job = ids::JobId { home: ids::PartitionId(12), number };
    wire::Run { task: ids::TaskId { job, index: 0 }, attempt: ids::Attempt(1) }
}

fn add_job(number: u64) -> Record {
    Record::JobAdd {
        number,
        partner: "cold-chain-partner".into(),
        key: ids::RequestKey(format!("bundle-2026-12-02-{number}")),
        digest: "{\"class\":\"bundle\",\"demand\":{\"cpu\":1000,\"mem\":1024,\"acc\":0}}".into(),
        kind: wire::TaskKind::Batch("bundle".into()),
        demand: sizes::Resources::new(1_000, 1_024, 0),
        work_ms: 60_000,
        tasks: 1,
        urgent: false,
        at_unix_ms: 1_796_000_000_000,
    }
}

fn assignment(number: u64) -> Record {
    Record::Assign {
        run: run_of(number),
        worker: ids::WorkerId(format!("worker-{}", number % 40)),
        boot: wire::Boot(0x1234_5678_9abc_def0),
        reserve: sizes::Resources::new(1_000, 1_024, 0),
    }
}

fn state_of(tasks: usize) -> PartitionState {
    let home = ids::PartitionId(12);
    let mut state = PartitionState::default();
    for number in 0..tasks as u64 {
        for record in [add_job(number), assignment(number)] {
            state
                .apply(home, ids::Epoch(7), &ids::Member::default(), &record)
                .expect("each record applies after the ones before it");
        }
    }
    state
}

/// Returns the bytes that one start adds to a journal entry of fifty starts.
fn start_bytes() -> usize {
    let entry = |count: u64| Entry {
        seq: ids::Seq(123_456),
        epoch: ids::Epoch(17),
        owner: ids::Member { entry: "entry-3".into(), incarnation: ids::Incarnation(u64::MAX) },
        records: (0..count).map(assignment).collect(),
    };
    let bytes = |count| {
        serde_json::to_vec(&entry(count)).expect("a journal entry always serializes to JSON").len()
    };
    (bytes(50) - bytes(0)) / 50
}

fn heartbeat_bytes(partitions: u32) -> usize {
    let beat = api::Heartbeat {
        from: ids::Member { entry: "entry-3".into(), incarnation: ids::Incarnation(u64::MAX) },
        store_ok: true,
        stopping: false,
        generation: ids::Generation(123_456),
        owned: (0..partitions).map(|i| (ids::PartitionId(i * 9), ids::Epoch(17))).collect(),
        load: vec![api::ServiceLoad { service: "coldtrace".into(), free: 123 }],
        rooms: (0..partitions)
            .map(|i| api::FreeCapacity {
                partition: ids::PartitionId(i * 9),
                free: sizes::Resources::new(12_000, 30_000, 0),
            })
            .collect(),
    };
    serde_json::to_vec(&beat).expect("a heartbeat always serializes to JSON").len()
}

fn lease_bytes(tasks: u64) -> usize {
    let req = wire::LeaseRequest {
        partition: ids::PartitionId(12),
        epoch: ids::Epoch(17),
        owner: ids::Member { entry: "entry-3".into(), incarnation: ids::Incarnation(u64::MAX) },
        boot: Some(wire::Boot(u64::MAX)),
        seen: Some(wire::WorkerClock(1_234_567_890)),
        ttl_ms: 30_000,
        acked: Vec::new(),
    };
    let report = |number| wire::RunReport {
        run: run_of(number),
        state: wire::RunState::Running,
        progress_ms: 123_456,
        checkpoint_ms: 120_000,
    };
    let used = |number| wire::RunUsage { run: run_of(number), cpu: sizes::MilliCores(1_000) };
    let reply = wire::LeaseReply {
        epoch: ids::Epoch(17),
        boot: wire::Boot(u64::MAX),
        clock: wire::WorkerClock(1_234_567_890),
        leaving: false,
        slots_busy: 3,
        runs: (0..tasks).map(report).collect(),
        usage: Some(wire::Usage {
            taken: wire::WorkerClock(1_234_567_000),
            cpu: sizes::MilliCores(12_000),
            services: vec![wire::ServiceUsage {
                service: "coldtrace".into(),
                requests: 120,
                p50_us: 4_321,
                p99_us: 12_345,
            }],
            runs: (0..tasks).map(used).collect(),
        }),
    };
    let req = serde_json::to_vec(&req).expect("a lease request always serializes to JSON").len();
    req + serde_json::to_vec(&reply).expect("a lease reply always serializes to JSON").len()
}

fn member_bytes() -> usize {
    let record = members::MemberRecord {
        member: ids::Member { entry: "entry-3".into(), incarnation: ids::Incarnation(u64::MAX) },
        addr: "10.11.12.13:8090".to_string(),
        domain: "vrhnika-hall".into(),
        beat: 123_456,
    };
    serde_json::to_vec(&record).expect("a membership record always serializes to JSON").len()
}
