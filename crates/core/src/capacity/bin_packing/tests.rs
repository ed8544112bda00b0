use super::*;
use crate::testing::{job_of, leader};

fn offer(zone: &str) -> InstanceOffer {
    InstanceOffer {
        machine_type: "m4".into(),
        zone: zone.into(),
        spot: false,
    }
}

/// Coming machines of four CPUs: so many in each of two zones.
fn coming(leader: &Leader, in_a: u32, in_b: u32) -> Bins {
    [("a", in_a), ("b", in_b)]
        .into_iter()
        .map(|(zone, machines)| Bin::coming(leader, offer(zone), machines))
        .collect()
}

/// Machines of all bins by what is free on them, in CPUs.
fn machines_by_free_cpus(bins: &Bins) -> BTreeMap<i64, u32> {
    let mut machines = BTreeMap::new();
    for bin in &bins.0 {
        *machines.entry(bin.free.cpus / 1000).or_default() += bin.machines;
    }
    machines
}

#[test]
fn tasks_fill_machines_one_after_the_other() {
    let leader = leader();
    let job = job_of(1, "sweep", "red", "normal", 100, 1.0);
    let mut bins = coming(&leader, 2, 1);
    let mut zones = TasksByZone::default();
    assert_eq!(bins.pack(&leader, &job, 6, &mut zones, None), 6);
    assert_eq!(
        machines_by_free_cpus(&bins),
        BTreeMap::from([(0, 1), (2, 1), (4, 1)])
    );
    assert_eq!(
        (zones.in_zone(&"a".into()), zones.in_zone(&"b".into())),
        (6, 0)
    );
    assert_eq!(bins.room_in(&job, &"a".into()), 2);
    assert_eq!(bins.pack(&leader, &job, 100, &mut zones, None), 6);
    assert_eq!(machines_by_free_cpus(&bins), BTreeMap::from([(0, 3)]));
}

#[test]
fn only_half_of_a_coming_machine_counts_for_work_that_cannot_wait() {
    let leader = leader();
    let urgent = job_of(1, "standing", "red", "prod", 100, 1.0);
    let mut bins = coming(&leader, 2, 0);
    let packed = bins.pack(&leader, &urgent, 100, &mut TasksByZone::default(), None);
    assert_eq!(packed, 4);
    // A task that takes most of a machine has it all the same.
    let large = job_of(2, "standing", "red", "prod", 100, 3.0);
    let mut bins = coming(&leader, 2, 0);
    let packed = bins.pack(&leader, &large, 100, &mut TasksByZone::default(), None);
    assert_eq!(packed, 2);
}

#[test]
fn packing_keeps_to_a_zone_and_to_rules_for_zones() {
    let leader = leader();
    let gang = job_of(1, "gang", "red", "normal", 100, 1.0);
    let mut bins = coming(&leader, 1, 2);
    let only = Zone::from("b");
    let packed = bins.pack(
        &leader,
        &gang,
        100,
        &mut TasksByZone::default(),
        Some(&only),
    );
    assert_eq!((packed, bins.room_in(&gang, &"a".into())), (8, 4));
    let mut spread = job_of(2, "standing", "red", "normal", 6, 1.0);
    let mut spec = (*spread.spec).clone();
    spec.spread = true;
    spread.spec = std::sync::Arc::new(spec);
    let mut zones = TasksByZone::default();
    let mut bins = coming(&leader, 2, 2);
    assert_eq!(bins.pack(&leader, &spread, 6, &mut zones, None), 6);
    assert_eq!(
        (zones.in_zone(&"a".into()), zones.in_zone(&"b".into())),
        (3, 3)
    );
}
