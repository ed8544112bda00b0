use super::*;
use crate::testing::{leader, NOW};
use rudderreel_wire::cloud::MAX_MACHINES_PER_SCALE_OUT;

/// Guards against a fixed limit of five open requests of fifty machines, whatever rate of calls the cloud accepts: a
/// fleet of thousands of machines was requested only at that rate.
#[test]
fn limit_on_open_requests_follows_the_rate_of_calls() {
    let offer = InstanceOffer {
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
    };
    let wanted = WantedMachines {
        is_urgent: false,
        count: 4_000,
    };
    for (calls_per_s, open) in [(2.0, 5), (6.0, 6), (17.0, 17)] {
        let mut leader = leader();
        leader.cloud_calls_per_s = calls_per_s;
        leader.request_machines(BTreeMap::from([(offer.clone(), wanted)]));
        assert_eq!(leader.scale_out.open_requests().len(), open);
        let mut counts = leader
            .scale_out
            .open_requests()
            .iter()
            .map(|request| request.count);
        assert!(counts.all(|count| count == MAX_MACHINES_PER_SCALE_OUT));
        assert!(leader.scale_out.may_request(&offer, NOW.time));
    }
}
