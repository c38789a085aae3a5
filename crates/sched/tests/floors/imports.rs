//! Finds the modules that each module of the crate uses, by a simple scan of the sources.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// A module with its source code.
#[derive(Debug)]
pub struct Source {
    /// Its path within the crate, such as `message::hosts`.
    pub module: String,
    /// Its code without comments.
    pub code: String,
}

/// Reads all modules below a folder except the root of the crate.
pub fn sources(folder: &Path) -> Vec<Source> {
    let mut found = Vec::new();
    read_folder(folder, "", &mut found);
    found.sort_by(|a, b| a.module.cmp(&b.module));
    found
}

fn read_folder(folder: &Path, prefix: &str, found: &mut Vec<Source>) {
    for entry in fs::read_dir(folder).expect("the source folder is readable") {
        let path = entry.expect("entries of the source folder are readable").path();
        let stem = path
            .file_stem()
            .and_then(|s| s.to_str())
            .expect("names of source files are valid UTF-8")
            .to_string();
        let module = if prefix.is_empty() { stem } else { format!("{prefix}::{stem}") };
        if path.is_dir() {
            read_folder(&path, &module, found);
        } else if module != "lib" {
            let text = fs::read_to_string(&path).expect("source files are readable as UTF-8");
            found.push(Source { module, code: without_comments(&text) });
        }
    }
}

fn without_comments(text: &str) -> String {
    let code = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    code.collect::<Vec<&str>>().join("\n")
}

/// Returns the modules that a module uses: for each path, its longest prefix that is a known module, or
/// [`ROOT`] for a name that the root of the crate re-exports.
pub fn used_modules(source: &Source, modules: &BTreeSet<String>) -> BTreeSet<String> {
    let tokens = tokens(&source.code);
    let paths = paths(&tokens);
    let found = paths.iter().filter_map(|path| resolve(&source.module, path, modules));
    found.filter(|module| *module != source.module).collect()
}

/// Stands for the root of the crate among the returned modules.
pub const ROOT: &str = "lib";

/// Splits code into words, `::` and single characters.
fn tokens(code: &str) -> Vec<String> {
    let mut found: Vec<String> = Vec::new();
    let mut chars = code.chars().peekable();
    while let Some(c) = chars.next() {
        if c.is_alphanumeric() || c == '_' {
            let mut word = c.to_string();
            while let Some(c) = chars.next_if(|c| c.is_alphanumeric() || *c == '_') {
                word.push(c);
            }
            found.push(word);
        } else if c == ':' && chars.next_if_eq(&':').is_some() {
            found.push("::".to_string());
        } else if !c.is_whitespace() {
            found.push(c.to_string());
        }
    }
    found
}

/// Lists every path in the code, with `use` trees expanded to full paths.
fn paths(tokens: &[String]) -> Vec<Vec<String>> {
    let mut found = Vec::new();
    let mut at = 0;
    while at < tokens.len() {
        let begins = at == 0 || tokens[at - 1] != "::";
        if tokens[at] == "use" {
            at = read_tree(tokens, at + 1, &[], &mut found);
        } else if begins && tokens.get(at + 1).is_some_and(|next| next == "::") {
            let mut path = vec![tokens[at].clone()];
            while tokens.get(at + 1).is_some_and(|next| next == "::") && at + 2 < tokens.len() {
                at += 2;
                path.push(tokens[at].clone());
            }
            found.push(path);
        }
        at += 1;
    }
    found
}

/// Reads one tree of a `use` statement from a position on, and returns the position of the token that ends it.
fn read_tree(
    tokens: &[String],
    from: usize,
    prefix: &[String],
    found: &mut Vec<Vec<String>>,
) -> usize {
    let mut path = prefix.to_vec();
    let mut at = from;
    loop {
        match tokens[at].as_str() {
            "," | "}" | ";" => {
                // After a trailing comma there is no name to add.
                found.extend((at > from).then_some(path));
                return at;
            }
            "{" => {
                while tokens[at] != "}" {
                    at = read_tree(tokens, at + 1, &path, found);
                }
                return at + 1;
            }
            "::" | "self" => {}
            "as" => at += 1,
            word => path.push(word.to_string()),
        }
        at += 1;
    }
}

/// Returns the module that a path refers to, if it belongs to this crate.
fn resolve(module: &str, path: &[String], modules: &BTreeSet<String>) -> Option<String> {
    let mut resolved: Vec<&str> = module.split("::").collect();
    let mut rest: Vec<&str> = path.iter().map(String::as_str).collect();
    match rest.first().copied()? {
        "crate" => {
            resolved.clear();
            rest.remove(0);
        }
        "super" => {
            while rest.first() == Some(&"super") {
                rest.remove(0);
                resolved.pop();
            }
        }
        first if modules.contains(&format!("{module}::{first}")) => {}
        _ => return None,
    }
    resolved.extend(rest);
    while !resolved.is_empty() && !modules.contains(&resolved.join("::")) {
        resolved.pop();
    }
    if resolved.is_empty() {
        return Some(ROOT.to_string());
    }
    Some(resolved.join("::"))
}
