use super::*;
use crate::testing::{add_live_machine, leader, NOW};

/// Guards against a list that silently ends after the first 200 machines, and a total price of only these.
#[test]
fn all_machines_are_listed_in_pages_and_counted_in_the_price() {
    for fleet in [4_000, 6_000] {
        let mut leader = leader();
        for n in 0..fleet {
            add_live_machine(&mut leader, &format!("vm-{n:06}"), "a");
        }
        let (mut seen, mut after) = (0, None);
        loop {
            let page = MachinesPage::of(&leader, after.as_ref(), NOW);
            let page = serde_json::to_value(page).expect("JSON");
            seen += page["machines"].as_array().map_or(0, Vec::len);
            assert_eq!(page["of"], fleet);
            assert_eq!(page["price_per_hour"], fleet as f64);
            match page["next_after"].as_str() {
                Some(name) => after = Some(MachineId::from(name)),
                None => break,
            }
        }
        assert_eq!(seen, fleet);
    }
}
