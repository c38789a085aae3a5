//! The store stand-in puts writes off where it is told to, and draws nothing where it is not.

use gaplock_coord::action::{StoreAnswer, StoreCall};
use gaplock_standin::store::{Faults, Model};
use gaplock_types::ids;

fn write(value: &str, index: u64) -> StoreCall {
    let value = value.as_bytes().to_vec();
    StoreCall::Cas { key: "k".to_string(), value, index: ids::StoreIndex(index) }
}

#[test]
fn a_late_write_takes_effect_only_if_its_condition_still_holds() {
    let faults = Faults { late_percent: 100, late_ms: 3_000, ..Faults::default() };
    let mut store = Model::default();
    store.faults = faults;
    let (first, repeat) = (write("first", 0), write("repeat", 0));
    assert_eq!(store.late(), Some(3_000));
    assert_eq!(store.carry_out(&first), StoreAnswer::Written(ids::StoreIndex(1)));
    assert_eq!(store.carry_out(&repeat), StoreAnswer::Conflict);
    assert_eq!(store.counts.late, 1);
}

#[test]
fn nothing_is_drawn_where_no_write_is_late() {
    let faults = Faults { lose_percent: 50, ..Faults::default() };
    let (mut with, mut without) = (Model::default(), Model::default());
    (with.faults, without.faults) = (faults, faults);
    for _ in 0..100 {
        assert_eq!(with.late(), None);
        assert_eq!(with.loses(), without.loses());
    }
}
