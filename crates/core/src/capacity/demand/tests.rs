use super::*;
use crate::testing::{leader, NOW};

/// Five requests of fifty machines were open at a time, whatever the cloud takes: a fleet of thousands was
/// rented at that rate.
#[test]
fn as_many_rentals_are_open_as_the_cloud_takes_calls() {
    let offer = InstanceOffer {
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
    };
    for (calls_per_s, open) in [(2.0, 5), (6.0, 6), (17.0, 17)] {
        let mut leader = leader();
        leader.cloud_calls_per_s = calls_per_s;
        leader.ask(BTreeMap::from([(offer.clone(), (false, 4_000))]));
        assert_eq!(leader.scale_out.open.len(), open);
        let each = leader.scale_out.open.iter().map(|rent| rent.count);
        assert!(each.clone().all(|count| count == MACHINES_PER_RENTAL));
        assert!(leader.scale_out.is_open(&offer, NOW.time));
    }
}
