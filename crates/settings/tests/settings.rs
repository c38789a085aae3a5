//! All errors are reported together, flags override variables, and secrets stay hidden.

use expect_test::expect;
use gaplock_settings::{read, setting, Invocation, Kind, Setting, Values};

const TABLE: &[Setting] = &[
    setting("name", Kind::Text, "NAME", None, "The name."),
    setting("store", Kind::Addr, "ADDR", None, "The store."),
    setting("ttl", Kind::Number { min: 10, max: 100 }, "MS", Some("50"), "The lease."),
    setting("domains", Kind::List, "NAMES", Some("a,b"), "The domains."),
    setting("secret", Kind::Secret, "FILE", Some(""), "The secret."),
    setting("loud", Kind::Switch, "", None, "Say more."),
];

fn run(args: &[&str], env: &[(&str, &str)]) -> Result<Invocation, String> {
    let args: Vec<String> = args.iter().map(|a| (*a).to_string()).collect();
    let look_up =
        |name: &str| env.iter().find(|(n, _)| *n == name).map(|(_, value)| (*value).to_string());
    read("program", "does something", TABLE, &args, look_up).map_err(|e| e.to_string())
}

fn values(args: &[&str], env: &[(&str, &str)]) -> Values {
    match run(args, env) {
        Ok(Invocation::Run(values)) => values,
        other => panic!("expected settings, got {other:?}"),
    }
}

#[test]
fn all_errors_are_reported_together() {
    let errors = run(&["--store", "localhost:1", "--ttl", "5", "--domains", "a,,b"], &[]);
    expect![[r#"
        error: --name is required (The name.)
        error: --store: `localhost:1` is not an IP number with a port
        error: --ttl: 5 is not within 10 to 100 MS
        error: --domains: `a,,b` has an empty part
        Run with --help for every setting."#]]
    .assert_eq(&errors.unwrap_err());
}

#[test]
fn a_flag_overrides_its_variable() {
    let env = [("GAPLOCK_NAME", "from-env"), ("GAPLOCK_TTL", "20"), ("GAPLOCK_LOUD", "true")];
    let v = values(&["--store", "127.0.0.1:1", "--name", "from-flag"], &env);
    assert_eq!(v.text("name"), "from-flag");
    assert_eq!(v.number("ttl"), 20);
    assert!(v.switch("loud"));
}

#[test]
fn check_prints_the_values_and_hides_secrets() {
    let args = ["--store", "127.0.0.1:1", "--name", "n", "--check"];
    let Ok(Invocation::Print(text)) = run(&args, &[("GAPLOCK_SECRET", "hush")]) else {
        panic!("expected a text to print for `--check`");
    };
    expect![[r#"
        --name = n
        --store = 127.0.0.1:1
        --ttl = 50
        --domains = a,b
        --secret = (hidden)
        --loud = false
        settings: ok"#]]
    .assert_eq(&text);
}

#[test]
fn the_error_for_an_unknown_flag_names_it() {
    let error = run(&["--stoer", "127.0.0.1:1"], &[]).unwrap_err();
    assert!(error.contains("stoer"), "{error}");
}
