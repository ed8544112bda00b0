//! Checks that imports between the folders of the core go one way: a folder uses only those listed before it.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders and files of `src`; each is listed before those that may use it.
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
/// Files without a place in the layers: the root of the crate and the fixtures that unit tests share.
const OUTSIDE_LAYERS: [&str; 2] = ["lib", "testing"];

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

/// Returns the folder or file of `src` that a source file belongs to.
fn layer_of(source: &Path, root: &Path) -> String {
    let inside = source.strip_prefix(root).expect("a source of the crate");
    let first = inside.components().next().expect("a name");
    let first = first.as_os_str().to_string_lossy();
    first.trim_end_matches(".rs").to_string()
}

/// Returns the layers that a source file names in code; comments are left out.
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
fn no_folder_imports_a_later_one() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let rank = |name: &str| LAYERS.iter().position(|layer| *layer == name);
    let mut seen = BTreeSet::new();
    for source in sources(&root) {
        let layer = layer_of(&source, &root);
        if OUTSIDE_LAYERS.contains(&layer.as_str()) {
            continue;
        }
        let own = rank(&layer).unwrap_or_else(|| panic!("{layer} is missing in LAYERS"));
        let text = fs::read_to_string(&source).expect("a source");
        for used in imports(&text) {
            // A name imported from the root, or an import in braces, is not a layer either and fails the test.
            let used_rank = rank(&used)
                .unwrap_or_else(|| panic!("{} imports `{used}` of the crate", source.display()));
            assert!(
                used_rank <= own,
                "{} imports {used}, a later layer",
                source.display()
            );
        }
        seen.insert(layer);
    }
    assert_eq!(
        seen.len(),
        LAYERS.len(),
        "some layers have no source file; found: {seen:?}"
    );
}
