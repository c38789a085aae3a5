//! The modules of the crate stand on floors, and each names only modules that stand lower.

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

/// Returns how high a module stands, counted over all floors.
fn height(module: &str) -> usize {
    let mut all = table::LAYERS.iter().flat_map(|(_, modules)| *modules);
    // The root of the crate passes everything on, so it stands above all.
    all.position(|known| *known == module).unwrap_or(usize::MAX)
}

/// Lists what names a module that does not stand lower.
fn upward(sources: &[Source]) -> BTreeSet<(String, String)> {
    let modules = modules(sources);
    let mut found = BTreeSet::new();
    for source in sources {
        let above = |named: &String| height(named) >= height(&source.module);
        let named = imports::named(source, &modules).into_iter().filter(above);
        found.extend(named.map(|named| (source.module.clone(), named)));
    }
    found
}

fn pairs(known: &[(&str, &str)]) -> BTreeSet<(String, String)> {
    known.iter().map(|(from, to)| (from.to_string(), to.to_string())).collect()
}

#[test]
fn every_module_stands_on_one_floor() {
    let standing: Vec<&str> = table::LAYERS.iter().flat_map(|(_, all)| *all).copied().collect();
    let once: BTreeSet<String> = standing.iter().map(|module| module.to_string()).collect();
    assert_eq!(standing.len(), once.len(), "a module stands twice in tests/floors/table.rs");
    assert_eq!(once, modules(&sources()), "modules of tests/floors/table.rs, and of src");
}

#[test]
fn folders_show_the_floors() {
    for (floor, modules) in table::LAYERS {
        let within = |module: &&str| module.split("::").next() == Some(floor);
        assert!(modules.iter().all(within), "a module of {floor} lies elsewhere");
    }
}

#[test]
fn imports_go_down() {
    let found = upward(&sources());
    let known = pairs(table::UPWARD);
    let new: Vec<_> = found.difference(&known).collect();
    let over: Vec<_> = known.difference(&found).collect();
    assert!(new.is_empty(), "these modules name a higher one: {new:#?}");
    assert!(over.is_empty(), "take these out of UPWARD, they are gone: {over:#?}");
}

#[test]
fn decisions_change_nothing() {
    let decisions: Vec<Source> =
        sources().into_iter().filter(|s| s.module.starts_with("decisions::")).collect();
    assert!(!decisions.is_empty());
    for source in decisions {
        assert!(!source.code.contains("&mut State"), "{} changes the state", source.module);
    }
}

#[test]
fn imports_are_found_in_all_their_forms() {
    let modules: BTreeSet<String> =
        ["a", "b", "b::c", "b::d", "e"].iter().map(|m| m.to_string()).collect();
    let named = |module: &str, code: &str| {
        let source = Source { module: module.to_string(), code: code.to_string() };
        Vec::from_iter(imports::named(&source, &modules))
    };
    assert_eq!(named("a", "use crate::{b::{self, c::X}, e as f,};"), ["b", "b::c", "e"]);
    assert_eq!(named("a", "fn f() { crate::b::d::g(); }"), ["b::d"]);
    assert_eq!(named("b::c", "use super::d::X;\nuse super::Y;"), ["b", "b::d"]);
    assert_eq!(named("b", "mod c;\npub use c::X;\nfn f() { d::g(); }"), ["b::c", "b::d"]);
    assert_eq!(named("a", "use crate::Settings;"), [imports::ROOT]);
    assert_eq!(named("a", "use std::fmt;\npub(crate) fn f() { a::b(); }"), Vec::<String>::new());
}
