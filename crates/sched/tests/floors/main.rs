//! Checks the layers of the crate: each module uses only modules that come before it in `table.rs`, so that
//! dependencies between modules have no cycles.

mod imports;
mod table;

use std::collections::BTreeSet;
use std::path::Path;

use imports::Source;

fn sources() -> Vec<Source> {
    imports::sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"))
}

fn modules(sources: &[Source]) -> BTreeSet<String> {
    sources.iter().map(|source| source.module.clone()).collect()
}

/// Returns the position of a module, counted over all layers from the lowest up.
fn position(module: &str) -> usize {
    let mut all = table::LAYERS.iter().flat_map(|(_, modules)| *modules);
    // The root of the crate re-exports all modules, so it comes after all of them.
    all.position(|known| *known == module).unwrap_or(usize::MAX)
}

/// Lists each module that uses one at the same or a higher position, together with that one.
fn upward_imports(sources: &[Source]) -> BTreeSet<(String, String)> {
    let modules = modules(sources);
    let mut found = BTreeSet::new();
    for source in sources {
        let above = |used: &String| position(used) >= position(&source.module);
        let used = imports::used_modules(source, &modules).into_iter().filter(above);
        found.extend(used.map(|used| (source.module.clone(), used)));
    }
    found
}

fn owned_pairs(known: &[(&str, &str)]) -> BTreeSet<(String, String)> {
    known.iter().map(|(from, to)| (from.to_string(), to.to_string())).collect()
}

#[test]
fn every_module_belongs_to_one_layer() {
    let listed: Vec<&str> = table::LAYERS.iter().flat_map(|(_, all)| *all).copied().collect();
    let once: BTreeSet<String> = listed.iter().map(|module| module.to_string()).collect();
    assert_eq!(listed.len(), once.len(), "tests/floors/table.rs lists a module twice");
    assert_eq!(
        once,
        modules(&sources()),
        "tests/floors/table.rs (left) must list exactly the modules of src (right)"
    );
}

#[test]
fn modules_lie_in_the_folder_of_their_layer() {
    for (layer, modules) in table::LAYERS {
        let within = |module: &&str| module.split("::").next() == Some(layer);
        assert!(
            modules.iter().all(within),
            "a module of the layer {layer} lies in another folder: {modules:?}"
        );
    }
}

#[test]
fn modules_import_only_lower_modules() {
    let found = upward_imports(&sources());
    let known = owned_pairs(table::UPWARD_IMPORTS);
    let new: Vec<_> = found.difference(&known).collect();
    let removed: Vec<_> = known.difference(&found).collect();
    assert!(new.is_empty(), "these modules (first) use one that is not lower (second): {new:#?}");
    assert!(
        removed.is_empty(),
        "remove these from UPWARD_IMPORTS, the imports are gone: {removed:#?}"
    );
}

#[test]
fn decisions_do_not_change_the_state() {
    let decisions: Vec<Source> =
        sources().into_iter().filter(|s| s.module.starts_with("decisions::")).collect();
    assert!(!decisions.is_empty());
    for source in decisions {
        assert!(
            !source.code.contains("&mut State"),
            "{} may change the state: it takes `&mut State`",
            source.module
        );
    }
}

#[test]
fn imports_are_found_in_all_their_forms() {
    let modules: BTreeSet<String> =
        ["a", "b", "b::c", "b::d", "e"].iter().map(|m| m.to_string()).collect();
    let used = |module: &str, code: &str| {
        let source = Source { module: module.to_string(), code: code.to_string() };
        Vec::from_iter(imports::used_modules(&source, &modules))
    };
    assert_eq!(used("a", "use crate::{b::{self, c::X}, e as f,};"), ["b", "b::c", "e"]);
    assert_eq!(used("a", "fn f() { crate::b::d::g(); }"), ["b::d"]);
    assert_eq!(used("b::c", "use super::d::X;\nuse super::Y;"), ["b", "b::d"]);
    assert_eq!(used("b", "mod c;\npub use c::X;\nfn f() { d::g(); }"), ["b::c", "b::d"]);
    assert_eq!(used("a", "use crate::Settings;"), [imports::ROOT]);
    assert_eq!(used("a", "use std::fmt;\npub(crate) fn f() { a::b(); }"), Vec::<String>::new());
}
