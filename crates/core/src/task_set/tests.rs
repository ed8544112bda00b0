use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Compared with a plain set, whatever is inserted and removed; and a part of it in few ranges never drops what was
    /// recorded before.
    #[test]
    fn behaves_like_a_plain_set_and_keeps_what_was_recorded(steps in prop::collection::vec((any::<bool>(), 0u32..60), 0..200), most in 1usize..8) {
        let (mut set, mut plain) = (TaskSet::below(20), (0..20).collect::<BTreeSet<u32>>());
        let mut recorded = TaskSet::default();
        for (add, n) in steps {
            if add {
                prop_assert_eq!(set.insert(n), plain.insert(n));
            } else if !recorded.contains(n) {
                prop_assert_eq!(set.remove(n), plain.remove(&n));
            }
            let next = set.limited_to_ranges(most, &recorded);
            prop_assert!(recorded.iter().all(|n| next.contains(n)));
            prop_assert!(next.iter().all(|n| set.contains(n)));
            prop_assert!(next.ranges().count() <= most.max(recorded.ranges().count()));
            recorded = next;
        }
        prop_assert_eq!(set.iter().collect::<Vec<_>>(), plain.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!(set.len() as usize, plain.len());
        prop_assert!((0..60).all(|n| set.contains(n) == plain.contains(&n)));
    }
}
