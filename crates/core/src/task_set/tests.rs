use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// A task set behaves like a `BTreeSet` under any insertions and removals, and a part of it that is limited to a
    /// few ranges never drops numbers that were recorded before.
    #[test]
    fn behaves_like_a_btree_set_and_keeps_recorded_numbers(steps in prop::collection::vec((any::<bool>(), 0u32..60), 0..200), max_ranges in 1usize..8) {
        let (mut set, mut expected) = (TaskSet::below(20), (0..20).collect::<BTreeSet<u32>>());
        let mut recorded = TaskSet::default();
        for (add, n) in steps {
            if add {
                prop_assert_eq!(set.insert(n), expected.insert(n));
            } else if !recorded.contains(n) {
                prop_assert_eq!(set.remove(n), expected.remove(&n));
            }
            let next = set.limited_to_ranges(max_ranges, &recorded);
            prop_assert!(recorded.iter().all(|n| next.contains(n)));
            prop_assert!(next.iter().all(|n| set.contains(n)));
            prop_assert!(next.ranges().count() <= max_ranges.max(recorded.ranges().count()));
            recorded = next;
        }
        prop_assert_eq!(set.iter().collect::<Vec<_>>(), expected.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!(set.len() as usize, expected.len());
        prop_assert!((0..60).all(|n| set.contains(n) == expected.contains(&n)));
    }
}
