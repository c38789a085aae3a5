//! Checks that `docs/OPERATIONS.md` lists exactly the events that the scheduler, the daemon, its
//! listeners and the platform adapter log.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn find_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("the source folder exists") {
        let path = entry.expect("the folder entry can be read").path();
        if path.is_dir() {
            find_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

fn events_in_sources() -> BTreeSet<String> {
    let mut files = Vec::new();
    find_sources(&root().join("crates/sched/src"), &mut files);
    find_sources(&root().join("crates/node/src"), &mut files);
    find_sources(&root().join("crates/rpc/src"), &mut files);
    find_sources(&root().join("crates/serve/src"), &mut files);
    find_sources(&root().join("platform/src"), &mut files);
    let mut events = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("the source file can be read");
        for part in text.split("event = \"").skip(1) {
            events.insert(part.split('"').next().unwrap_or_default().to_string());
        }
    }
    events
}

fn events_in_docs() -> BTreeSet<String> {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md"))
        .expect("docs/OPERATIONS.md can be read");
    let section =
        page.split("## Events").nth(1).expect("docs/OPERATIONS.md has a section `## Events`");
    let section = section.split("\n## ").next().unwrap_or_default();
    let names = section.lines().filter_map(|l| l.strip_prefix("| `")?.split('`').next());
    names.map(str::to_string).collect()
}

#[test]
fn every_event_is_listed_and_every_listed_event_exists() {
    assert_eq!(events_in_sources(), events_in_docs());
}
