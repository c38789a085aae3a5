//! The commands against the stand-in store.

use async_std::task;
use gaplock_overload::steer::{self, Instruction, Steer};
use gaplock_platform::store as client;
use gaplock_platform_standin::store::{self, Store};
use gaplock_steer::{carry_out, parse, Command, CommandError, Options};
use serde_json::json;

const NOW: u64 = 1_700_000_000_000;

const QUEUE: &str = "checks";

/// Opens a store that holds a configuration with one queue, and a client of it.
fn open() -> (Store, client::Store) {
    let standin = task::block_on(store::bind()).expect("a port is free");
    let route = json!({"Name": QUEUE, "Host": "h", "PathPrefix": "/q/", "TimeoutMs": 3000,
        "TargetLatencyMs": 250, "Service": "pool"});
    let limits = json!({"MaxBodyBytes": 262_144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000});
    let services = json!([{"Name": "pool", "Preconditions": true}]);
    let config = json!({"Version": 1, "Routes": [route], "Services": services, "Limits": limits});
    standin.put("op/config", &config);
    let client = client::open(&standin.addr().to_string(), 100.0);
    (standin, client)
}

fn hold() -> Steer {
    Steer { instruction: Instruction::Hold, until_unix_ms: NOW + 60_000 }
}

fn confirm(steer: Steer, revision: u64) -> Command {
    Command::Confirm { queue: QUEUE.into(), steer, revision }
}

fn run(client: &client::Store, command: &Command) -> Result<String, CommandError> {
    task::block_on(carry_out(client, command, NOW))
}

/// Returns the revision that a command's answer names.
fn revision_in(text: &str) -> u64 {
    let digits = text.split("(revision ").nth(1).and_then(|rest| rest.split(')').next());
    digits.and_then(|digits| digits.parse().ok()).expect("the answer names the revision")
}

/// Guards against a plan that changes something, a confirmation or undo against another revision
/// that is carried out, and an undo that does not restore the former record.
#[test]
fn an_instruction_is_planned_confirmed_and_undone_by_revision() {
    let (standin, client) = open();
    let plan = Command::Plan { queue: QUEUE.into(), steer: hold() };
    let planned = run(&client, &plan).expect("the plan is made");
    assert!(
        planned.contains("gaplock-steer confirm checks hold --until 1700000060000 --revision 0")
    );
    assert_eq!(standin.get(&steer::key(QUEUE)), None, "a plan has changed something");
    let first = revision_in(&run(&client, &confirm(hold(), 0)).expect("it is confirmed"));
    let changed = |planned, stored| Err(CommandError::Changed { planned, stored });
    assert_eq!(run(&client, &confirm(hold(), 0)), changed(0, first));
    let cap = Steer { instruction: Instruction::Cap(2_500), ..hold() };
    let second = revision_in(&run(&client, &confirm(cap, first)).expect("it is confirmed"));
    let undo = |revision| Command::Undo { queue: QUEUE.into(), revision };
    assert_eq!(run(&client, &undo(first)), changed(first, second));
    let undone = run(&client, &undo(second)).expect("it is undone");
    assert!(undone.starts_with("checks: hold best-effort work for 60 s (revision"), "{undone}");
    let last = revision_in(&undone);
    run(&client, &undo(last)).expect("the first instruction is undone, too");
    assert_eq!(standin.get(&steer::key(QUEUE)), None);
}

/// Guards against an instruction for a queue that does not exist, and against a record of another
/// program that is overwritten.
#[test]
fn nothing_is_written_for_an_unknown_queue_or_over_a_malformed_record() {
    let (standin, client) = open();
    let command = Command::Confirm { queue: "chekcs".into(), steer: hold(), revision: 0 };
    let Err(CommandError::Input(e)) = run(&client, &command) else { panic!("it was accepted") };
    assert_eq!((e.field, e.value.as_str()), ("queue", "chekcs"));
    assert_eq!(standin.get(&steer::key("chekcs")), None);
    standin.put(&steer::key(QUEUE), &json!({"queue": 7}));
    let outcome = run(&client, &confirm(hold(), 0));
    assert!(matches!(outcome, Err(CommandError::Record(_))), "{outcome:?}");
    assert_eq!(standin.get(&steer::key(QUEUE)), Some(json!({"queue": 7})));
}

/// Guards against input that is passed over, such as a word too many or a missing revision.
#[test]
fn a_command_line_is_read_completely() {
    let read = |line: &str, options: &Options| {
        let words: Vec<String> = line.split_whitespace().map(str::to_string).collect();
        parse(&words, options, NOW).map_err(|e| (e.field, e.value))
    };
    let none = Options::default();
    let refused = |field, value: &str| Err((field, value.to_string()));
    assert_eq!(read("show checks", &none), Ok(Command::Show { queue: QUEUE.into() }));
    assert_eq!(read("show checks now", &none), refused("argument", "now"));
    assert_eq!(read("show", &none), refused("queue", ""));
    assert_eq!(read("drop checks", &none), refused("command", "drop"));
    assert_eq!(read("plan checks hold", &none), refused("for", ""));
    assert_eq!(read("undo checks", &none), refused("revision", ""));
    let until = Options { until: Some("1700000060000".into()), ..none };
    assert_eq!(read("confirm checks hold", &until), refused("revision", ""));
    let full = Options { revision: Some("7".into()), ..until };
    assert_eq!(read("confirm checks hold", &full), Ok(confirm(hold(), 7)));
}
