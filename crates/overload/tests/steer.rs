//! Operators' instructions for a queue.

use gaplock_overload::steer::{self, Instruction, Steer, SteerRecord};

const NOW: u64 = 1_700_000_000_000;

fn steer(instruction: Instruction, seconds: u64) -> Steer {
    Steer { instruction, until_unix_ms: NOW + seconds * 1_000 }
}

/// Guards against input that is read as something else than it says, and against errors that do not
/// name what is wrong.
#[test]
fn unusable_input_is_refused_by_field_and_value() {
    let field =
        |kind, amount| steer::parse_instruction(kind, amount).map_err(|e| (e.field, e.value));
    assert_eq!(field("cap", Some("2500m")), Ok(Instruction::Cap(2_500)));
    assert_eq!(field("floor", Some("2")), Ok(Instruction::Floor(2_000)));
    assert_eq!(field("hold", None), Ok(Instruction::Hold));
    assert_eq!(field("hold", Some("2")), Err(("amount", "2".into())));
    assert_eq!(field("cap", None), Err(("amount", String::new())));
    assert_eq!(field("cap", Some("-1")), Err(("amount", "-1".into())));
    assert_eq!(field("stop", None), Err(("instruction", "stop".into())));
    let until = |text| steer::parse_until(text, NOW).map_err(|e| e.field);
    assert_eq!(until("1700000000001"), Ok(NOW + 1));
    assert_eq!(until("1700000000000"), Err("until"));
    assert_eq!(until("1700086400001"), Err("until"));
    let duration = |text| steer::parse_duration(text, NOW).map_err(|e| e.field);
    assert_eq!(duration("60"), Ok(NOW + 60_000));
    assert_eq!(
        (duration("0"), duration("86401"), duration("1h")),
        (Err("for"), Err("for"), Err("for"))
    );
}

/// Guards against an undo that restores an instruction whose end has passed, or restores one twice.
#[test]
fn an_undo_restores_the_former_instruction_until_its_end() {
    let first = steer::replaced(None, "q", steer(Instruction::Hold, 60), NOW);
    assert_eq!(steer::undone(&first, NOW), None);
    let second = steer::replaced(Some(&first), "q", steer(Instruction::Cap(1), 600), NOW);
    let restored = SteerRecord { former: None, ..first };
    assert_eq!(steer::undone(&second, NOW + 59_999), Some(restored.clone()));
    assert_eq!(steer::undone(&second, NOW + 60_000), None);
    let late = steer::replaced(Some(&restored), "q", steer(Instruction::Hold, 90), NOW + 60_000);
    assert_eq!(late.former, None);
}

/// Guards against a record of another queue that steers this one.
#[test]
fn a_record_is_read_only_for_its_own_queue() {
    let record = steer::replaced(None, "q", steer(Instruction::Floor(7), 60), NOW);
    let text = serde_json::to_vec(&record).expect("the record can be encoded");
    assert_eq!(steer::decode("q", &text), Ok(record));
    assert_eq!(steer::decode("r", &text).map_err(|e| e.field), Err("queue"));
    assert_eq!(steer::decode("q", b"{}").map_err(|e| e.field), Err("record"));
}
