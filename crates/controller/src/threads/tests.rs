use super::*;

/// The page is for people who look at a running process and want to know what its threads do.
#[test]
fn the_architecture_page_lists_every_thread() {
    let page = include_str!("../../../../docs/architecture.md");
    for role in ThreadRole::ALL {
        let row = format!("| `{}", role.name());
        assert!(page.contains(&row), "{role:?} is missing: {row}");
    }
}
