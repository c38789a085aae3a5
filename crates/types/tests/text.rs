//! Tests that identifiers and sizes parse the text that they print, and reject invalid text.

use expect_test::expect;
use gaplock_types::ids;
use gaplock_types::sizes::{MebiBytes, MilliCores, Resources};

#[test]
fn identifiers_parse_what_they_print() {
    let job = ids::JobId { home: ids::PartitionId(3), number: 17 };
    let task = ids::TaskId { job, index: 2 };
    assert_eq!(task.to_string(), "j3-17.2");
    assert_eq!("j3-17.2".parse(), Ok(task));
    assert_eq!("p7".parse(), Ok(ids::PartitionId(7)));
}

#[test]
fn incarnations_of_a_worker_differ_and_have_its_name() {
    let name = ids::WorkerName::from("i-3");
    let [unknown, first, next] = [None, Some(5), Some(6)].map(|ms| ids::WorkerId::of(&name, ms));
    assert_eq!(first.to_string(), "i-3@5");
    assert_eq!("i-3@5".parse(), Ok(first.clone()));
    assert_eq!("i-3".parse(), Ok(unknown.clone()));
    for id in [unknown, first, next] {
        assert_eq!(id.name(), name);
    }
    assert!("i-3@".parse::<ids::WorkerId>().is_err());
    assert!("i-3@x".parse::<ids::WorkerId>().is_err());
    assert!("i 3@5".parse::<ids::WorkerId>().is_err());
}

#[test]
fn invalid_text_is_rejected_with_a_reason() {
    let errors = [
        "x".repeat(65).parse::<ids::WorkerId>().map(drop).unwrap_err().why.to_string(),
        "a b".parse::<ids::EntryId>().map(drop).unwrap_err().to_string(),
        "j3".parse::<ids::JobId>().map(drop).unwrap_err().to_string(),
        "q7".parse::<ids::Epoch>().map(drop).unwrap_err().to_string(),
        "2.5".parse::<MilliCores>().map(drop).unwrap_err().to_string(),
        "9999999Gi".parse::<MebiBytes>().map(drop).unwrap_err().to_string(),
    ];
    expect![[r#"
        it is longer than 64 bytes
        `a b` is not a entry name: only letters, digits, `-`, `_`, `.` and `:` are allowed
        `j3` is not a job id: `jPARTITION-NUMBER` was expected
        `q7` is not a Epoch: `e` and a number were expected
        `2.5` is not a processor size: `2500m` or `2` was expected
        `9999999Gi` is not a memory size: `512Mi` or `4Gi` was expected"#]]
    .assert_eq(&errors.join("\n"));
}

#[test]
fn resources_add_up_and_never_wrap() {
    let big = Resources::new(u32::MAX, 10, 1);
    assert_eq!(big.plus(&big).cpu, MilliCores(u32::MAX));
    assert_eq!(Resources::new(1, 1, 0).minus(&big), Resources::new(0, 0, 0));
    assert!(!Resources::new(10, 10, 0).holds(&Resources::new(1, 1, 1)));
    assert_eq!(Resources::new(0, 0, 1).dominant_share(&Resources::new(4, 4, 0)), f64::INFINITY);
}
