//! Checks that the links in the documentation point to existing files and headings.

use std::{
    fs,
    path::{Path, PathBuf},
};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pages() -> Vec<PathBuf> {
    let folders = ["", "docs", "examples"].map(|folder| repository_root().join(folder));
    let files = folders.iter().flat_map(|folder| fs::read_dir(folder).expect("a directory"));
    let paths = files.map(|file| file.expect("a readable directory").path());
    paths.filter(|path| path.extension().is_some_and(|extension| extension == "md")).collect()
}

/// Returns the targets of links within the repository.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    targets.filter(|target| !target.contains("://"))
}

/// Returns the anchors of all headings of a page.
fn anchors(text: &str) -> Vec<String> {
    let headings = text.lines().filter(|line| line.starts_with('#'));
    headings.map(|line| anchor(line.trim_start_matches('#').trim())).collect()
}

fn anchor(heading: &str) -> String {
    let lower = heading.to_lowercase();
    let allowed = lower.chars().filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'));
    allowed.map(|c| if c == ' ' { '-' } else { c }).collect()
}

fn is_valid_link(page: &Path, target: &str) -> bool {
    let (file, heading) = target.split_once('#').unwrap_or((target, ""));
    let path = match file.is_empty() {
        true => page.to_owned(),
        false => page.parent().expect("a page in a directory").join(file),
    };
    if heading.is_empty() {
        return path.exists();
    }
    let text = fs::read_to_string(path).unwrap_or_default();
    anchors(&text).iter().any(|anchor| anchor == heading)
}

#[test]
fn every_link_has_a_target() {
    let mut links_checked = 0;
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page");
        for target in links(&text) {
            links_checked += 1;
            if !is_valid_link(&page, target) {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(links_checked > 30, "the search found too few links: {links_checked}");
    assert!(broken.is_empty(), "broken links: {broken:#?}");
}
