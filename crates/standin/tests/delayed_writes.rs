//! Checks that the store stand-in delays writes while that fault is on, and draws nothing for it
//! while it is off.

use gaplock_coord::action::{StoreAnswer, StoreCall};
use gaplock_standin::store::{Faults, Model};
use gaplock_types::ids;

fn write(value: &str, index: u64) -> StoreCall {
    let value = value.as_bytes().to_vec();
    StoreCall::Cas { key: "k".to_string(), value, index: ids::StoreIndex(index) }
}

#[test]
fn a_delayed_write_takes_effect_only_if_its_condition_still_holds() {
    let faults = Faults { late_percent: 100, late_ms: 3_000, ..Faults::default() };
    let mut store = Model::default();
    store.faults = faults;
    let (first, repeat) = (write("first", 0), write("repeat", 0));
    assert_eq!(store.draw_write_delay(), Some(3_000));
    assert_eq!(store.carry_out(&first), StoreAnswer::Written(ids::StoreIndex(1)));
    assert_eq!(store.carry_out(&repeat), StoreAnswer::Conflict);
    assert_eq!(store.counts.late, 1);
}

#[test]
fn nothing_is_drawn_while_no_writes_are_delayed() {
    let faults = Faults { lose_percent: 50, ..Faults::default() };
    let (mut delay_drawn, mut delay_not_drawn) = (Model::default(), Model::default());
    (delay_drawn.faults, delay_not_drawn.faults) = (faults, faults);
    for _ in 0..100 {
        assert_eq!(delay_drawn.draw_write_delay(), None);
        assert_eq!(delay_drawn.draw_answer_loss(), delay_not_drawn.draw_answer_loss());
    }
}
