//! Messages that bring a version to another host: their size, their parts, and what they change.

use std::sync::Arc;

use gaplock_distribution::message::{
    Incoming, MessageError, Messages, PartAnswer, Received, Versions, PART_BYTES,
};
use gaplock_jobs::config::{CallerLimits, Config, Index, Pool, Queue};
use gaplock_types::ids::ServiceId;
use gaplock_types::time::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// About as many queues as the store's longest value holds.
const MANY: usize = 5_000;

fn name(rng: &mut ChaCha8Rng) -> String {
    (0..8).map(|_| char::from(rng.random_range(b'a'..=b'z'))).collect()
}

fn queue(rng: &mut ChaCha8Rng) -> Queue {
    Queue {
        name: format!("r-{}", name(rng)),
        host: format!("{}.example", name(rng)),
        prefix: format!("/{}/", name(rng)),
        service: ServiceId("checks".to_string()),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        slack: Millis(250),
        advice: None,
    }
}

fn config(version: u64, queues: Vec<Queue>) -> Arc<Config> {
    let service = ServiceId("checks".to_string());
    let pools = vec![Pool { service, guards_capacity: true, headroom: false }];
    let limits =
        CallerLimits { header_bytes: 1 << 14, body_bytes: 1, header: Millis(1), idle: Millis(1) };
    Arc::new(Config { version, queues, pools, limits, index: Index::default() })
}

/// Transfers the newest version to a host that has `held`; returns it and the number of parts.
fn transfer(messages: &Messages, held: Option<&Config>) -> (Config, usize) {
    let mut incoming = Incoming::default();
    for parts in 1.. {
        let request = incoming.request(held.map_or(0, |c| c.version));
        match incoming.add(messages.part(request), held).expect("the parts fit") {
            Received::More => {}
            Received::Complete(config) => return (*config, parts),
            Received::NothingNewer => panic!("nothing is newer"),
        }
    }
    unreachable!("the loop has no end")
}

#[test]
fn changes_of_any_kind_bring_the_same_configuration() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut versions = Versions::default();
    let mut former: Vec<Arc<Config>> = Vec::new();
    let mut queues: Vec<Queue> = (0..20).map(|_| queue(&mut rng)).collect();
    for version in 1..200 {
        for _ in 0..rng.random_range(0..4) {
            let at = rng.random_range(0..queues.len());
            match rng.random_range(0..5) {
                0 if queues.len() > 1 => drop(queues.remove(at)),
                1 => queues[at].priority += 1,
                2 => queues[at].name = name(&mut rng),
                3 => queues.insert(at, queue(&mut rng)),
                _ => queues.push(queue(&mut rng)),
            }
        }
        let target = config(version, queues.clone());
        versions.set(Arc::clone(&target));
        let messages = versions.messages();
        let held = former.iter().rev().take(4).map(|c| Some(c.as_ref())).chain([None]);
        for held in held {
            assert_eq!(transfer(&messages, held).0, *target, "version {version}");
        }
        former.push(target);
    }
}

/// Guards against messages that grow with the number of queues where few of them change.
#[test]
fn a_large_configuration_takes_few_parts_and_a_small_change_of_it_takes_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut queues: Vec<Queue> = (0..MANY).map(|_| queue(&mut rng)).collect();
    let (first, mut versions) = (config(1, queues.clone()), Versions::default());
    versions.set(Arc::clone(&first));
    let (whole, parts) = transfer(&versions.messages(), None);
    assert_eq!(whole, *first);
    let json = serde_json::to_vec(&*first).expect("it serializes").len();
    assert!(parts * PART_BYTES * 3 < json, "{parts} parts for {json} bytes");
    queues[MANY / 2].priority = 1;
    versions.set(config(2, queues));
    assert_eq!(transfer(&versions.messages(), Some(&first)).1, 1);
}

#[test]
fn a_transfer_goes_on_at_another_host_and_begins_again_for_another_version() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let queues: Vec<Queue> = (0..MANY).map(|_| queue(&mut rng)).collect();
    let hosts: Vec<Versions> = (0..2)
        .map(|_| {
            let mut versions = Versions::default();
            versions.set(config(1, queues.clone()));
            versions
        })
        .collect();
    let mut incoming = Incoming::default();
    for at in 0..4 {
        let answer = hosts[at % 2].messages().part(incoming.request(0));
        assert!(matches!(incoming.add(answer, None), Ok(Received::More)));
    }
    assert_eq!(incoming.received(), 4 * PART_BYTES);
    let mut next = hosts[0].clone();
    next.set(config(2, queues[1..].to_vec()));
    let answer = next.messages().part(incoming.request(0));
    assert!(matches!(incoming.add(answer, None), Ok(Received::More)));
    assert_eq!(incoming.received(), PART_BYTES);
}

#[test]
fn damaged_parts_are_refused_and_the_transfer_begins_again() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut versions = Versions::default();
    versions.set(config(1, (0..10).map(|_| queue(&mut rng)).collect()));
    let messages = versions.messages();
    let mut incoming = Incoming::default();
    let PartAnswer::Part { message, offset, data } = messages.part(incoming.request(0)) else {
        panic!("there is a version to send");
    };
    let damaged = PartAnswer::Part { message, offset, data: format!("AAAA{}", &data[4..]) };
    assert_eq!(incoming.add(damaged, None).err(), Some(MessageError::Inconsistent));
    let shifted = PartAnswer::Part { message, offset: offset + 1, data };
    assert_eq!(incoming.add(shifted, None).err(), Some(MessageError::Inconsistent));
    assert_eq!(incoming.received(), 0);
    assert_eq!(transfer(&messages, None).0.version, 1);
}

#[test]
fn a_host_with_the_newest_version_is_sent_nothing() {
    let mut versions = Versions::default();
    assert_eq!(versions.messages().part(Incoming::default().request(0)), PartAnswer::NothingNewer);
    versions.set(config(3, Vec::new()));
    assert_eq!(versions.messages().part(Incoming::default().request(3)), PartAnswer::NothingNewer);
}

/// Guards against a version that another thread takes late and that would be sent instead of the
/// newest one.
#[test]
fn an_older_version_does_not_replace_the_newest_one() {
    let mut versions = Versions::default();
    versions.set(config(3, Vec::new()));
    versions.set(config(2, Vec::new()));
    assert_eq!(versions.messages().version(), 3);
}
