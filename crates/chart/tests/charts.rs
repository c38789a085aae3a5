//! Tests that invalid charts are rejected and that the charts of the daemons are valid.

use expect_test::expect;
use gaplock_chart::charts::{intent, ownership, task, upstream};
use gaplock_chart::Chart;

fn parse_error(text: &str) -> String {
    Chart::parse(text).map(|c| c.to_string()).unwrap_err().to_string()
}

#[test]
fn invalid_charts_are_rejected() {
    let errors = [
        parse_error("chart a\nevents go\nstate x\n  never go\nstate y\n  keep go\n"),
        parse_error("chart a\nevents go stop\nstate x\n  on go -> x\n"),
        parse_error("chart a\nevents go\nstate x\n  on go -> nowhere\n"),
        parse_error("chart a\nevents go\nstate x\n  on run -> x\n"),
        parse_error("chart a\nevents go\nstate x\n  keep go\n  never go\n"),
        parse_error("chart a\nevents go\n  keep go\n"),
        parse_error("chart a\nstate x\nstate x\n"),
        parse_error("chart a\nnonsense\n"),
    ];
    expect![[r#"
        line 0: state `y` is unreachable
        line 0: state `x` has no rule for event `stop`
        line 4: state `nowhere` is not declared
        line 4: event `run` is not declared
        line 5: event `go` has two rules in one state
        line 3: rule before the first state
        line 3: state `x` is declared twice
        line 2: cannot parse `nonsense`"#]]
    .assert_eq(&errors.join("\n"));
}

#[test]
fn daemon_charts_parse_and_every_state_has_a_variant() {
    for chart in [task::chart(), upstream::chart(), ownership::chart(), intent::chart()] {
        assert!(chart.state_names().count() > 1, "expected more than one state: {chart}");
    }
    for name in task::chart().state_names() {
        assert!(
            task::State::from_name(name).is_some(),
            "state {name} of the task chart has no variant"
        );
    }
    for name in upstream::chart().state_names() {
        assert!(
            upstream::State::from_name(name).is_some(),
            "state {name} of the upstream chart has no variant"
        );
    }
}

#[test]
fn a_finished_task_cannot_finish_again() {
    let done = task::State::Assigned.step(task::Event::Finish).unwrap();
    assert!(done.is_final());
    let again = done.step(task::Event::Finish).unwrap_err();
    assert_eq!(again.to_string(), "chart task: `finish` must not come in state `done`");
}
