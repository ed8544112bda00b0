//! Imports between the folders of the core go one way: a folder uses only those that stand before it here.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders and files of `src`, each before those that may use it.
const LAYERS: [&str; 20] = [
    "units",
    "task_set",
    "metrics",
    "io",
    "store",
    "leadership",
    "cache",
    "jobs",
    "overload",
    "fleet",
    "placement_log",
    "cloud",
    "teams",
    "leader",
    "agents",
    "scheduling",
    "api",
    "dispatch",
    "capacity",
    "node",
];
/// Files that stand apart: the root of the crate, and what unit tests share.
const APART: [&str; 2] = ["lib", "testing"];

fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|e| e == "rs") && !path.ends_with("tests.rs") {
            found.push(path);
        }
    }
    found
}

/// The folder or file of `src` that a source belongs to.
fn layer_of(source: &Path, root: &Path) -> String {
    let inside = source.strip_prefix(root).expect("a source of the crate");
    let first = inside.components().next().expect("a name");
    let first = first.as_os_str().to_string_lossy();
    first.trim_end_matches(".rs").to_string()
}

/// The layers that a source names in code, not in comments.
fn imports(text: &str) -> BTreeSet<String> {
    let code = text.lines().map(|line| line.split("//").next());
    let mut found = BTreeSet::new();
    for line in code.flatten() {
        for path in line.split("crate::").skip(1) {
            let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
            found.insert(path.chars().take_while(|c| is_name(*c)).collect());
        }
    }
    found
}

#[test]
fn imports_between_folders_go_one_way() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let rank = |name: &str| LAYERS.iter().position(|layer| *layer == name);
    let mut seen = BTreeSet::new();
    for source in sources(&root) {
        let layer = layer_of(&source, &root);
        if APART.contains(&layer.as_str()) {
            continue;
        }
        let own = rank(&layer).unwrap_or_else(|| panic!("{layer} has no place among the layers"));
        let text = fs::read_to_string(&source).expect("a source");
        for used in imports(&text) {
            // What is imported from the root, or in braces, has no place either.
            let used_rank = rank(&used)
                .unwrap_or_else(|| panic!("{} imports `{used}` of the crate", source.display()));
            assert!(used_rank <= own, "{} imports {used}", source.display());
        }
        seen.insert(layer);
    }
    assert_eq!(seen.len(), LAYERS.len(), "every layer exists: {seen:?}");
}
