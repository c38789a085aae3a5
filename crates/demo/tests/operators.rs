//! Checks the command line from an operator's view: plan, confirm, read commands, undo, and every
//! kind of wrong use.

use std::io;
use std::time::Duration;

use async_std::task;
use gaplock_demo::cluster::{self, Cluster, Plan};
use gaplock_demo::process::Process;
use gaplock_demo::site;
use http_types::Method;
use serde_json::{json, Value};

/// Bounds the wait for each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the command-line programs against an installation.
struct Shell {
    entries: String,
    health: String,
    folder: std::path::PathBuf,
}

impl Shell {
    /// Runs a program with a key, and returns its exit code and standard output.
    fn run(&self, program: &str, key: &str, args: &[&str]) -> (i32, String) {
        let args: Vec<String> = args.iter().map(|w| (*w).to_string()).collect();
        let env = [
            ("GAPLOCK_ENTRY", self.entries.as_str()),
            ("GAPLOCK_HEALTH", self.health.as_str()),
            ("GAPLOCK_KEY", key),
        ];
        let mut p = Process::spawn(program, &args, &env).expect("the program starts");
        let code = p.wait(Duration::from_secs(30)).expect("the program ends within 30 s");
        p.drain();
        (code, p.printed.join("\n"))
    }

    fn file(&self, name: &str) -> String {
        self.folder.join(name).to_string_lossy().into_owned()
    }
}

fn example() -> String {
    format!("{}/../../examples/ljubljana.toml", env!("CARGO_MANIFEST_DIR"))
}

async fn open() -> io::Result<(Cluster, Shell)> {
    let cluster = Cluster::start(Plan::default()).await?;
    for i in 0..3 {
        cluster.wait_ready(i, STEP_TIMEOUT).await?;
    }
    let join = |pick: fn(&cluster::Entry) -> &str| {
        cluster.entries.iter().map(pick).collect::<Vec<_>>().join(",")
    };
    let folder = std::env::temp_dir().join(format!("gaplock-operators-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let shell = Shell { entries: join(|e| &e.callers), health: join(|e| &e.health), folder };
    Ok((cluster, shell))
}

#[test]
fn the_command_line_plans_confirms_undoes_and_refuses_wrong_use() {
    task::block_on(async {
        let (cluster, shell) = open().await.expect("the installation starts");
        let first = shell.file("first.json");
        let gaplock = |key: &str, args: &[&str]| shell.run("gaplock", key, args);
        let (code, text) = gaplock(site::BOOTSTRAP_KEY, &["plan", &example(), "--out", &first]);
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("service coldtrace would start with 8 replicas"), "{text}");
        assert_eq!(confirm(&shell, site::BOOTSTRAP_KEY, &first).0, 0);
        let key = site::OPERATOR_KEY;
        cluster.wait_usable(0, 8, STEP_TIMEOUT).await.expect("8 workers become usable");
        cluster.wait_serving(0, STEP_TIMEOUT).await.expect("the service answers through entry 0");
        read_commands_work(&shell, key);
        a_change_can_be_undone(&shell, key);
        wrong_use_gives_its_exit_code(&shell, key, &first);
        wrong_requests_get_their_code(&cluster).await.expect("every request is answered");
        the_burn_report_is_written(&shell);
        std::fs::remove_dir_all(&shell.folder).expect("the folder of this test can be removed");
    });
}

/// Confirms a plan, and repeats that for four seconds while the command is refused (exit code 1).
fn confirm(shell: &Shell, key: &str, plan: &str) -> (i32, String) {
    for _ in 0..20 {
        let (code, text) = shell.run("gaplock", key, &["confirm", plan]);
        if code != 1 {
            return (code, text);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    (1, "the confirmation was refused for four seconds".to_string())
}

fn read_commands_work(shell: &Shell, key: &str) {
    let (code, text) = shell.run("gaplock", key, &["status"]);
    assert!(code == 0 && text.contains("g1 in force at: entry-0, entry-1, entry-2"), "{text}");
    let (code, text) = shell.run("gaplock", key, &["workers"]);
    assert!(code == 0 && text.matches("usable").count() == 8, "{text}");
    let (code, text) = shell.run("gaplock", key, &["jobs", "--json"]);
    let rows: Vec<Value> = serde_json::from_str(&text).expect("`--json` prints JSON");
    assert!(code == 0 && !rows.is_empty(), "{text}");
    let job = rows[0]["job"].as_str().expect("a row has a job id").to_string();
    let (code, text) = shell.run("gaplock", key, &["why", &job]);
    assert!(code == 0 && text.contains("it runs"), "{text}");
    let (code, text) = shell.run("gaplock", key, &["report"]);
    assert!(code == 0 && text.contains("coldtrace"), "{text}");
}

fn a_change_can_be_undone(shell: &Shell, key: &str) {
    let intent = shell.file("fewer.json");
    let mut wanted = site::first_intent(4);
    wanted
        .as_object_mut()
        .expect("an intent is a JSON object")
        .retain(|name, _| name == "placements");
    std::fs::write(&intent, wanted.to_string()).expect("the file can be written");
    let plan = shell.file("fewer-plan.json");
    let (code, text) = shell.run("gaplock", key, &["plan", &intent, "--out", &plan]);
    assert!(code == 0 && text.contains("coldtrace would stop 4 replicas"), "{text}");
    assert_eq!(confirm(shell, key, &plan).0, 0);
    assert_eq!(confirm(shell, key, &plan).0, 0, "a confirmation can be repeated");
    let back = shell.file("back.json");
    let (code, text) = shell.run("gaplock", key, &["undo", "--out", &back]);
    assert!(code == 0 && text.contains("coldtrace would start 4 more replicas"), "{text}");
    assert_eq!(confirm(shell, key, &back).0, 0);
    let (code, text) = shell.run("gaplock", key, &["config", "history"]);
    assert!(code == 0 && text.contains("g3") && text.contains("ana"), "{text}");
}

fn wrong_use_gives_its_exit_code(shell: &Shell, key: &str, stale: &str) {
    assert_eq!(shell.run("gaplock", key, &["plan", "/nowhere.toml"]).0, 2);
    assert_eq!(shell.run("gaplock", key, &["dance"]).0, 2);
    assert_eq!(shell.run("gaplock", key, &["--colour", "red", "status"]).0, 2);
    assert_eq!(shell.run("gaplock", "wrong", &["status"]).0, 1);
    assert_eq!(shell.run("gaplock", site::PARTNER_KEYS[0].1, &["workers"]).0, 1);
    assert_eq!(shell.run("gaplock", key, &["why", "j0-9999"]).0, 1);
    assert_eq!(shell.run("gaplock", key, &["confirm", stale]).0, 4);
    let unreachable = shell.run("gaplock", key, &["--entry", "127.0.0.1:1", "status"]);
    assert_eq!(unreachable.0, 3);
    let never_fits = shell.file("huge.json");
    let mut wanted = site::first_intent(4);
    wanted["placements"][0]["services"][0]["demand"]["cpu"] = json!(64_000);
    std::fs::write(&never_fits, wanted.to_string()).expect("the file can be written");
    let (code, text) = shell.run("gaplock", key, &["plan", &never_fits]);
    assert!(code == 1 && text.contains("no worker can hold a replica"), "{text}");
}

/// Checks that each kind of wrong request gets a refusal with the code and status of its cause.
async fn wrong_requests_get_their_code(cluster: &Cluster) -> io::Result<()> {
    let partner = site::PARTNER_KEYS[0].1;
    let service = format!("/v1/services/{}/check", site::SERVICE);
    let huge = json!({"pad": "x".repeat(2 << 20)});
    let spec = json!({"class": "bundle", "demand": {"cpu": 1_000, "mem": 64}, "work_ms": 100});
    let no_class = json!({"class": "other", "demand": {"cpu": 1, "mem": 1}, "work_ms": 1});
    let too_big = json!({"class": "bundle", "demand": {"cpu": 90_000, "mem": 1}, "work_ms": 1});
    let once = [("idempotency-key", "k1")];
    let other = [("idempotency-key", "k2")];
    let late = [("x-gaplock-deadline-ms", "0")];
    type Case<'a> = (Method, &'a str, &'a str, &'a [(&'a str, &'a str)], Value, u16);
    let cases: Vec<Case<'_>> = vec![
        (Method::Post, &service, "nobody", &[], json!({}), 101),
        (Method::Post, &service, site::OPERATOR_KEY, &[], json!({}), 102),
        (Method::Post, "/v1/services/unknown", partner, &[], json!({}), 103),
        (Method::Get, "/nowhere", partner, &[], Value::Null, 103),
        (Method::Post, &service, partner, &[], huge, 104),
        (Method::Post, &service, partner, &late, json!({}), 100),
        (Method::Post, "/v1/jobs", partner, &[], spec.clone(), 100),
        (Method::Post, "/v1/jobs", partner, &once, json!({"class": 3}), 100),
        (Method::Post, "/v1/jobs", partner, &once, no_class, 102),
        (Method::Post, "/v1/jobs", partner, &other, too_big, 108),
        (Method::Get, "/v1/jobs/nonsense", partner, &[], Value::Null, 100),
    ];
    for (method, path, key, headers, body, expected) in cases {
        let answer = cluster.ask(0, method, path, key, headers, body).await?;
        let refusal: gaplock_types::api::Refusal = answer.json().unwrap_or_else(|| {
            panic!("{path}: the answer with status {} holds no refusal", answer.status);
        });
        assert_eq!(refusal.code, expected, "{path}: {}", refusal.message);
        assert_eq!(answer.status, refusal.result_code().row().status, "{path}");
    }
    // A partner can read and cancel only its own jobs.
    let stored = cluster.ask(0, Method::Post, "/v1/jobs", partner, &once, spec).await?;
    let job = stored.json::<Value>().and_then(|v| v["job"].as_str().map(String::from));
    let path = format!("/v1/jobs/{}", job.expect("the answer holds the id of the stored job"));
    let other_partner = site::PARTNER_KEYS[1].1;
    assert_eq!(
        cluster.ask(1, Method::Get, &path, other_partner, &[], Value::Null).await?.status,
        404
    );
    assert_eq!(
        cluster.ask(1, Method::Delete, &path, other_partner, &[], Value::Null).await?.status,
        404
    );
    assert_eq!(cluster.ask(2, Method::Get, &path, partner, &[], Value::Null).await?.status, 200);
    Ok(())
}

fn the_burn_report_is_written(shell: &Shell) {
    let page = shell.file("burn.html");
    let args = ["--objective", "coldtrace=40:99", "--for", "2", "--every", "1", "--html", &page];
    let (code, text) = shell.run("gaplock-burn", "none", &args);
    assert!(code == 0 && text.contains("coldtrace for alpina"), "{text}");
    let html = std::fs::read_to_string(&page).expect("the HTML file is written");
    assert!(html.contains("<h2>coldtrace for alpina</h2>"), "{html}");
}
