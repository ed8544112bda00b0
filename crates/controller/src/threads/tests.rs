use super::*;

/// The architecture page explains the thread names that tools show of a running process, so it must list all of them.
#[test]
fn the_architecture_page_lists_every_thread() {
    let page = include_str!("../../../../docs/architecture.md");
    for role in ThreadRole::ALL {
        let row = format!("| `{}", role.name());
        assert!(page.contains(&row), "{role:?} is missing: {row}");
    }
}
