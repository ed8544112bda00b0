use super::*;
use crate::testing::{job_of, leader};

fn offer(zone: &str) -> InstanceOffer {
    InstanceOffer {
        machine_type: "m4".into(),
        zone: zone.into(),
        spot: false,
    }
}

/// Creates upcoming machines of four CPUs: `in_a` in zone a and `in_b` in zone b.
fn upcoming(leader: &Leader, in_a: u32, in_b: u32) -> Bins {
    [("a", in_a), ("b", in_b)]
        .into_iter()
        .map(|(zone, machines)| Bin::upcoming(leader, offer(zone), machines))
        .collect()
}

/// Returns the number of machines in all bins by their free CPUs.
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
    let mut bins = upcoming(&leader, 2, 1);
    let mut zones = TasksByZone::default();
    assert_eq!(bins.pack(&job, GpuPreference::Any, 6, &mut zones, None), 6);
    assert_eq!(
        machines_by_free_cpus(&bins),
        BTreeMap::from([(0, 1), (2, 1), (4, 1)])
    );
    assert_eq!(
        (zones.in_zone(&"a".into()), zones.in_zone(&"b".into())),
        (6, 0)
    );
    assert_eq!(bins.room_in(&job, GpuPreference::Any, &"a".into()), 2);
    assert_eq!(
        bins.pack(&job, GpuPreference::Any, 100, &mut zones, None),
        6
    );
    assert_eq!(machines_by_free_cpus(&bins), BTreeMap::from([(0, 3)]));
}

#[test]
fn only_half_of_an_upcoming_machine_counts_for_non_preemptible_work() {
    let leader = leader();
    let urgent = job_of(1, "standing", "red", "prod", 100, 1.0);
    let mut bins = upcoming(&leader, 2, 0);
    let packed = bins.pack(
        &urgent,
        GpuPreference::Any,
        100,
        &mut TasksByZone::default(),
        None,
    );
    assert_eq!(packed, 4);
    // A task that needs more than half of a machine still fits on an empty one.
    let large = job_of(2, "standing", "red", "prod", 100, 3.0);
    let mut bins = upcoming(&leader, 2, 0);
    let packed = bins.pack(
        &large,
        GpuPreference::Any,
        100,
        &mut TasksByZone::default(),
        None,
    );
    assert_eq!(packed, 2);
}

#[test]
fn packing_respects_the_given_zone_and_zone_rules() {
    let leader = leader();
    let gang = job_of(1, "gang", "red", "normal", 100, 1.0);
    let mut bins = upcoming(&leader, 1, 2);
    let only = Zone::from("b");
    let packed = bins.pack(
        &gang,
        GpuPreference::Any,
        100,
        &mut TasksByZone::default(),
        Some(&only),
    );
    assert_eq!(
        (packed, bins.room_in(&gang, GpuPreference::Any, &"a".into())),
        (8, 4)
    );
    let mut spread = job_of(2, "standing", "red", "normal", 6, 1.0);
    let mut spec = (*spread.spec).clone();
    spec.spread = true;
    spread.spec = std::sync::Arc::new(spec);
    let mut zones = TasksByZone::default();
    let mut bins = upcoming(&leader, 2, 2);
    assert_eq!(
        bins.pack(&spread, GpuPreference::Any, 6, &mut zones, None),
        6
    );
    assert_eq!(
        (zones.in_zone(&"a".into()), zones.in_zone(&"b".into())),
        (3, 3)
    );
}
