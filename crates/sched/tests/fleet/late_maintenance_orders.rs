//! Orders to take a host down that are carried out late, and answers that refer to a later attempt.
//!
//! Guards against more hosts of a maintenance wave being down at one time than allowed. The refusal
//! of a repeated order released its host although the first attempt could still be carried out, and
//! a successor did not know of orders whose outcome was open, so other hosts went down meanwhile.
//! The cause: an answer to a repeated call says nothing about earlier attempts. `late_starts` tests
//! the same kind of fault for starts.

use gaplock_jobs::Step;
use gaplock_sched::message::{MaintenanceAnswer, WaveProgress};

use crate::simulation::{
    assert_no_violations, host_name, job, step, Faults, OrderOutcome, Simulation,
};

#[test]
fn an_order_carried_out_after_its_repeat_was_refused_counts_as_a_host_that_is_down() {
    for refusal in
        [MaintenanceAnswer::NotOfWave, MaintenanceAnswer::Busy, MaintenanceAnswer::Fenced]
    {
        let mut sim = Simulation::open(141, 4);
        sim.hosts
            .order_outcomes
            .extend([OrderOutcome::Unanswered(3_500), OrderOutcome::Refused(refusal)]);
        sim.request_wave(1, 3, 60_000, 1);
        sim.run(30_000);
        assert_eq!(sim.hosts.max_hosts_down, 1, "after {refusal:?}");
        assert!(sim.is_wave_completed(1), "after {refusal:?}");
        assert_eq!(sim.hosts.maintenances.len(), 3, "after {refusal:?}");
        assert_no_violations(&sim);
    }
}

#[test]
fn a_host_list_requested_before_a_host_goes_down_does_not_prove_that_it_is_back() {
    for slow in (0..500).step_by(20) {
        let mut sim = Simulation::open(142, 5);
        sim.hosts.host_list_delay_ms = 200;
        sim.hosts.order_outcomes.extend([OrderOutcome::Answered(slow); 4]);
        sim.request_wave(1, 4, 60_000, 1);
        sim.run(30_000);
        assert_eq!(sim.hosts.max_hosts_down, 1, "an order took {slow} ms");
        assert!(sim.is_wave_completed(1));
        assert_no_violations(&sim);
    }
}

#[test]
fn a_successor_counts_a_host_that_the_previous_leader_ordered_down() {
    let mut sim = Simulation::open(143, 4);
    sim.work_ms = 4_000;
    sim.hosts.host_list_delay_ms = 300;
    sim.hosts.order_outcomes.extend([OrderOutcome::Unanswered(2_000)]);
    sim.request_wave(1, 4, 60_000, 1);
    while sim.hosts.maintenance_ordered.is_empty() {
        sim.run(1);
    }
    assert_eq!(sim.hosts.maintenance_ordered, [host_name(0)]);
    sim.lose_leader();
    sim.start_new_leader();
    sim.run(20);
    assert!(!sim.in_recovery_scan());
    // The successor takes that host for the busiest one and so would take it down last: another
    // worker has come up there, and the successor takes it for the worker of another host until it
    // has a list of hosts.
    let next = sim.replace_worker(0);
    set_others_overloaded(&mut sim, next, true);
    sim.submit(job(1, vec![step(4, &[])]));
    sim.run(250);
    set_others_overloaded(&mut sim, next, false);
    assert_eq!(sim.running_at(next), 4);
    sim.run(40_000);
    assert_eq!(sim.hosts.max_hosts_down, 1);
    assert_eq!(
        sim.hosts.maintenance_ordered[1],
        host_name(0),
        "another host was ordered down first"
    );
    assert!(sim.is_wave_completed(1));
    assert!(sim.is_completed(1));
    assert_no_violations(&sim);
}

/// Guards against two leaders that order the same host down in turn: the successor sent its first order right after
/// the former leader's last one.
#[test]
fn a_successor_orders_no_host_down_before_the_orders_of_the_former_leader_have_lapsed() {
    for after in (0..1_000).step_by(50) {
        let mut sim = Simulation::open(144, 4);
        let busy = OrderOutcome::Refused(MaintenanceAnswer::Busy);
        sim.hosts.order_outcomes.extend([busy; 40]);
        sim.request_wave(1, 2, 60_000, 1);
        while sim.hosts.maintenance_ordered.is_empty() {
            sim.run(1);
        }
        sim.run(after);
        sim.change_leader(0);
        sim.run(30_000);
        assert!(sim.is_wave_completed(1), "{after} ms");
        assert_no_violations(&sim);
    }
}

#[test]
fn a_successor_gives_no_tasks_to_a_host_that_the_previous_leader_ordered_down() {
    let mut sim = Simulation::open(145, 3);
    sim.hosts.host_list_delay_ms = 300;
    sim.hosts.order_outcomes.extend([OrderOutcome::Unanswered(1_500)]);
    sim.request_wave(1, 1, 60_000, 1);
    while sim.hosts.maintenance_ordered.is_empty() {
        sim.run(1);
    }
    sim.change_leader(100);
    sim.run(20);
    assert!(!sim.in_recovery_scan());
    // The successor has no list of hosts yet.
    let long_running = Step { lasting: true, may_miss: Some(0), ..step(12, &[]) };
    sim.submit(job(1, vec![long_running]));
    sim.run(4_000);
    assert_eq!(sim.running_of(1), 12);
    assert!(sim.is_wave_completed(1));
    assert_no_violations(&sim);
}

/// Sets whether every worker except one refuses its orders as overloaded.
fn set_others_overloaded(sim: &mut Simulation, except: usize, overloaded: bool) {
    for (at, worker) in sim.workers.iter_mut().enumerate() {
        worker.unhealthy = overloaded && at != except;
    }
}

#[test]
fn a_host_that_may_go_down_by_a_late_order_gets_no_tasks_at_its_next_worker() {
    let mut sim = Simulation::open(144, 3);
    let lost = [
        OrderOutcome::Unanswered(9_000),
        OrderOutcome::Lost,
        OrderOutcome::Lost,
        OrderOutcome::Lost,
    ];
    sim.hosts.order_outcomes.extend(lost);
    sim.request_wave(1, 1, 60_000, 1);
    sim.run(1_000);
    assert_eq!(sim.hosts.maintenance_ordered, [host_name(0)]);
    let replacement = sim.replace_worker(0);
    sim.run(1_200);
    let long_running = Step { lasting: true, may_miss: Some(0), ..step(8, &[]) };
    sim.submit(job(1, vec![long_running]));
    sim.run(2_000);
    assert_eq!(sim.running_of(1), 8);
    assert_eq!(
        sim.running_at(replacement),
        0,
        "the new worker runs tasks that a late order would end"
    );
    assert_no_violations(&sim);
}

#[test]
fn no_wave_takes_too_many_hosts_down_despite_late_orders_and_leader_changes() {
    for seed in 0..30 {
        let mut sim = Simulation::open(150 + seed, 8);
        sim.faults = Faults {
            lost_per_mille: 50,
            unanswered_per_mille: 100,
            late_per_mille: 250,
            unhealthy_per_mille: 150,
            ..Faults::default()
        };
        sim.work_ms = 1_500;
        sim.request_wave(1, 6, 200_000, 2);
        for turn in 0..8 {
            sim.submit(job(100 + turn, vec![step(10, &[])]));
            let span = 1_000 + sim.draw(4_000);
            sim.run(span);
            sim.lose_leader();
            let pause = sim.draw(1_000);
            sim.run(pause);
            sim.start_new_leader();
        }
        sim.faults = Faults::default();
        sim.run(60_000);
        assert!(
            sim.hosts.max_hosts_down <= 2,
            "seed {seed}: {} hosts were down at one time, at most 2 allowed",
            sim.hosts.max_hosts_down
        );
        assert!(sim.is_wave_completed(1), "seed {seed}");
        assert_eq!(sim.hosts.maintenances.len(), 6, "seed {seed}");
    }
}

/// Draws the outcome of an order: a third are carried out late, a third get no answer or are
/// refused, and the rest are answered.
fn draw_order_outcome(sim: &mut Simulation) -> OrderOutcome {
    match sim.draw(9) {
        0..3 => OrderOutcome::Unanswered(2_000 + sim.draw(10_000)),
        3 => OrderOutcome::Unanswered(0),
        4 => OrderOutcome::Lost,
        5 => OrderOutcome::Refused(MaintenanceAnswer::Busy),
        _ => OrderOutcome::Answered(sim.draw(200)),
    }
}

#[test]
fn late_orders_take_down_no_more_long_running_tasks_than_may_be_missed() {
    for seed in 0..20 {
        let mut sim = Simulation::open(200 + seed, 6);
        let outcomes: Vec<OrderOutcome> = (0..60).map(|_| draw_order_outcome(&mut sim)).collect();
        sim.hosts.order_outcomes.extend(outcomes);
        let long_running = Step { lasting: true, may_miss: Some(1), ..step(9, &[]) };
        sim.submit(job(1, vec![long_running]));
        sim.run(3_000);
        sim.request_wave(1, 5, 200_000, 2);
        for _ in 0..5 {
            let span = 2_000 + sim.draw(6_000);
            sim.run(span);
            sim.lose_leader();
            let pause = sim.draw(800);
            sim.run(pause);
            sim.start_new_leader();
        }
        sim.run(90_000);
        assert!(
            sim.hosts.max_hosts_down <= 2,
            "seed {seed}: {} hosts were down at one time, at most 2 allowed",
            sim.hosts.max_hosts_down
        );
        assert!(sim.is_wave_completed(1), "seed {seed}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn wave_progress_stored_by_an_earlier_version_can_still_be_read() {
    let text = r#"{"number":7,"began_unix_ms":5,"begun":["h1"],"completed":false}"#;
    let stored: WaveProgress =
        serde_json::from_str(text).expect("a record without `ordered` decodes");
    assert_eq!(stored.begun.len(), 1);
    assert!(stored.ordered.is_empty());
}

#[test]
fn a_late_order_of_the_previous_leader_takes_down_no_more_hosts_than_allowed() {
    let mut sim = Simulation::open(97, 4);
    sim.run(500);
    sim.hosts.order_outcomes.extend([OrderOutcome::Unanswered(1_500)]);
    sim.request_wave(1, 4, 60_000, 1);
    sim.run(600);
    assert_eq!(sim.hosts.maintenance_ordered.len(), 1);
    sim.lose_leader();
    sim.submit(job(1, vec![Step { lasting: true, ..step(1, &[]) }]));
    sim.run(300);
    sim.start_new_leader();
    for at in 0..4 {
        sim.list_again(at);
    }
    sim.run(20_000);
    assert_eq!(sim.hosts.max_hosts_down, 1, "hosts that were down at one time, one allowed");
    assert_no_violations(&sim);
}
