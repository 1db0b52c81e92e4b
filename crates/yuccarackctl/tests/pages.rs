//! Checks that the documentation has every counter, reason, header and crate of the code.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_sources(folder: &Path, contents: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a directory of sources") {
        let path = entry.expect("a readable directory").path();
        if path.is_dir() {
            read_sources(&path, contents);
        } else {
            contents.push(fs::read_to_string(&path).expect("a source file"));
        }
    }
}

fn read_daemon_sources() -> Vec<String> {
    let mut contents = Vec::new();
    read_sources(&repository_root().join("crates/yuccarackd/src"), &mut contents);
    contents
}

/// Returns the literals of lower-case words separated by dots, which only counters have.
fn counter_names(source: &str) -> impl Iterator<Item = &str> {
    let is_word = |word: &str| {
        !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_')
    };
    let is_counter = move |text: &&str| text.contains('.') && text.split('.').all(is_word);
    source.split('"').skip(1).step_by(2).filter(is_counter)
}

/// Returns the literals after `=> "`, by which enums are written as text.
fn match_arm_literals(source: &str) -> impl Iterator<Item = &str> {
    source.split("=> \"").skip(1).filter_map(|rest| rest.split('"').next())
}

/// Returns whether the page has the counter, by itself or followed by a reason.
fn has_counter(page: &str, counter: &str) -> bool {
    page.contains(&format!("`{counter}`")) || page.contains(&format!("`{counter}."))
}

/// Returns the reasons in the first columns of the tables below the headings `Refusals`.
fn documented_reasons(page: &str) -> Vec<&str> {
    let tables = page.split("\n## Refusals").skip(1).filter_map(|rest| rest.split("\n## ").next());
    let rows = tables.flat_map(str::lines).filter(|line| line.starts_with("| `"));
    let first_cells = rows.filter_map(|line| line.split('|').nth(1));
    first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).collect()
}

/// Returns the operators' pages about the product's own interface and about daemons on the users'
/// platform.
fn operator_pages() -> String {
    let read = |name: &str| fs::read_to_string(repository_root().join(name)).expect("a page");
    format!("{}\n{}", read("docs/OPERATING.md"), read("docs/OPERATIONS.md"))
}

#[test]
fn every_counter_is_on_the_operators_page() {
    let page = operator_pages();
    let sources = read_daemon_sources();
    let names_found: BTreeSet<&str> =
        sources.iter().flat_map(|source| counter_names(source)).collect();
    let missing: Vec<_> =
        names_found.iter().filter(|counter| !has_counter(&page, counter)).collect();
    assert!(names_found.len() > 30, "the search found too few names: {names_found:?}");
    assert!(missing.is_empty(), "docs/OPERATING.md lacks the counters {missing:?}");
}

#[test]
fn every_header_is_on_the_interfaces_page() {
    let root = repository_root();
    let page = fs::read_to_string(root.join("docs/INTERFACES.md")).expect("the page");
    let headers = root.join("crates/yuccarack_config/src/headers.rs");
    let source = fs::read_to_string(headers).expect("the source with the header names");
    let names: Vec<&str> =
        source.split("= \"").skip(1).filter_map(|rest| rest.split('"').next()).collect();
    assert!(names.len() > 10, "the search found too few names: {names:?}");
    let missing: Vec<_> = names.iter().filter(|name| !page.contains(*name)).collect();
    assert!(missing.is_empty(), "docs/INTERFACES.md lacks the headers {missing:?}");
}

#[test]
fn every_crate_is_on_the_developers_page() {
    let root = repository_root();
    let page = fs::read_to_string(root.join("CONTRIBUTING.md")).expect("the page");
    for folder in fs::read_dir(root.join("crates")).expect("the directory of crates") {
        let name = folder.expect("a readable directory").file_name();
        let name = format!("`{}`", name.to_string_lossy());
        assert!(page.contains(&name), "CONTRIBUTING.md lacks the crate {name}");
    }
}

#[test]
fn every_reason_is_on_the_operators_page() {
    let page = operator_pages();
    let root = repository_root().join("crates");
    let mut files = Vec::new();
    read_sources(&root.join("yuccarack_policy/src"), &mut files);
    read_sources(&root.join("yuccarackd/src/protocol"), &mut files);
    let names_found: BTreeSet<&str> =
        files.iter().flat_map(|source| match_arm_literals(source)).collect();
    assert!(names_found.len() > 30, "the search found too few names: {names_found:?}");
    let outdated: Vec<_> = documented_reasons(&page)
        .into_iter()
        .filter(|reason| !names_found.contains(reason))
        .collect();
    assert!(
        outdated.is_empty(),
        "docs/OPERATING.md has reasons that no longer exist: {outdated:?}"
    );
    let is_documented = |reason: &&&str| {
        page.contains(&format!("`{reason}`")) || page.contains(&format!(".{reason}`"))
    };
    let missing: Vec<_> = names_found.iter().filter(|reason| !is_documented(reason)).collect();
    assert!(missing.is_empty(), "docs/OPERATING.md lacks the reasons {missing:?}");
}
