use super::*;
use crate::fleet::ZonePartitions;
use crate::testing::{add_live_machine, add_running_task, job, leader, NOW};

/// Returns a leader of two zones with six machines each, and the time `after` the start. All machines in zone `b` but
/// `heard` have been silent since the start.
fn leader_with_silent_machines(heard: &[&str], after: Span) -> (Leader, Time) {
    let mut leader = leader();
    let now = NOW.time + after;
    for n in 0..6 {
        for zone in ["a", "b"] {
            let id = add_live_machine(&mut leader, &format!("vm-{zone}{n}"), zone);
            let at = if zone == "a" || heard.contains(&id.as_str()) {
                now
            } else {
                NOW.time
            };
            leader
                .fleet
                .machines
                .get_mut(&id)
                .expect("a machine")
                .last_heard_at = Some(at);
        }
    }
    leader.fleet.reachability.call_answered(now);
    leader.detect_partitioned_zones(now);
    (leader, now)
}

#[test]
fn a_zone_without_any_report_is_partitioned() {
    let (mut leader, now) = leader_with_silent_machines(&[], Span(5_000));
    assert!(leader.fleet.partitioned_zones.contains(&"b".into()));
    assert_eq!(leader.machines_declared_dead(now), BTreeMap::new());
    assert_eq!(leader.machines_to_probe(now), Vec::<MachineId>::new());
    // One machine is heard from again: the others get time to report.
    let id = MachineId::from("vm-b3");
    leader
        .fleet
        .machines
        .get_mut(&id)
        .expect("a machine")
        .last_heard_at = Some(now);
    leader.detect_partitioned_zones(now);
    assert_eq!(leader.fleet.partitioned_zones.iter().count(), 0);
    assert_eq!(leader.machines_declared_dead(now), BTreeMap::new());
}

/// After a failover all agents report at once, and then none for a while. When the first agent of one zone reports
/// again, the other zone does not count as partitioned yet.
#[test]
fn a_pause_after_a_failover_is_no_partition() {
    let mut leader = leader();
    for n in 0..30 {
        for zone in ["a", "b"] {
            add_live_machine(&mut leader, &format!("vm-{zone}{n}"), zone);
        }
    }
    let now = NOW.time + Span(1_600);
    let report = |leader: &mut Leader, n: u32| {
        let id = MachineId::from(format!("vm-a{n}").as_str());
        leader
            .fleet
            .machines
            .get_mut(&id)
            .expect("a machine")
            .last_heard_at = Some(now);
    };
    report(&mut leader, 0);
    leader.detect_partitioned_zones(now);
    assert_eq!(leader.fleet.partitioned_zones.iter().count(), 0);
    (0..30).for_each(|n| report(&mut leader, n));
    leader.detect_partitioned_zones(now);
    assert!(leader.fleet.partitioned_zones.contains(&"b".into()));
}

/// Machines that are silent while others of their zone are heard from have failed.
#[test]
fn silent_machines_among_others_are_declared_dead() {
    let heard = ["vm-b0", "vm-b1", "vm-b2", "vm-b3", "vm-b4"];
    let (leader, now) = leader_with_silent_machines(&heard, Span(5_600));
    assert_eq!(leader.fleet.partitioned_zones.iter().count(), 0);
    assert_eq!(
        leader.machines_declared_dead(now),
        BTreeMap::from([("vm-b5".into(), RetireReason::Silent)])
    );
}

/// A new leader knows from the previous one when the leases in a partitioned zone have expired. Replicas move then, and
/// not before. The zone stays partitioned when no task is left there.
#[test]
fn replicas_in_a_partitioned_zone_move_once_their_leases_have_expired() {
    let (mut leader, _) = leader_with_silent_machines(&[], Span(2_000));
    leader.fleet.partitioned_zones = ZonePartitions::default();
    leader.term.set_elected_at(NOW.time + Span(2_000));
    let seen = BTreeMap::from([("b".into(), NOW.time)]);
    (leader.fleet.partitioned_zones).set_seen_by_earlier_leader(seen);
    let machines_in_b: Vec<MachineId> =
        (0..6).map(|n| format!("vm-b{n}").as_str().into()).collect();
    for (n, id) in machines_in_b.iter().enumerate() {
        leader
            .fleet
            .machines
            .get_mut(id)
            .expect("a machine")
            .last_heard_at = None;
        if n < 4 {
            add_running_task(
                &mut leader,
                &job(7 + n as u32, "standing", "blue", "prod"),
                0,
                id,
            );
        }
    }
    let mut later = |after: u64| {
        let now = NOW.time + Span(after);
        for m in leader
            .fleet
            .machines
            .values_mut()
            .filter(|m| m.zone == "a".into())
        {
            m.last_heard_at = Some(now);
        }
        leader.detect_partitioned_zones(now);
        (
            leader.fleet.partitioned_zones.iter().count(),
            leader
                .machines_declared_dead(now)
                .into_keys()
                .collect::<Vec<_>>(),
        )
    };
    assert_eq!(later(6_500), (1, Vec::new()));
    assert_eq!(later(7_500), (1, machines_in_b[..4].to_vec()));
    for id in &machines_in_b {
        leader
            .fleet
            .machines
            .get_mut(id)
            .expect("a machine")
            .tasks
            .clear();
    }
    leader.detect_partitioned_zones(NOW.time + Span(8_000));
    assert_eq!(leader.fleet.partitioned_zones.iter().count(), 1);
}

/// A new leader probes machines that it has never heard from but on which an earlier one ran tasks, at the address that
/// the cloud lists, and declares them dead if they don't answer.
#[test]
fn a_new_leader_probes_machines_it_never_heard_from() {
    let (mut leader, _) =
        leader_with_silent_machines(&["vm-b0", "vm-b1", "vm-b2", "vm-b4"], Span(5_000));
    let id = MachineId::from("vm-b3");
    add_running_task(&mut leader, &job(7, "sweep", "blue", "normal"), 0, &id);
    leader
        .fleet
        .machines
        .get_mut(&id)
        .expect("a machine")
        .last_heard_at = None;
    let now = NOW.time + Span(5_000);
    assert!(leader.machines_to_probe(now).contains(&id));
    assert!(!leader.machines_declared_dead(now).contains_key(&id));
    for after in [0, 400, 900] {
        leader.direct_call_unanswered(&id, Time(now.0 - 1_500 + after));
    }
    assert_eq!(
        leader.machines_declared_dead(now).get(&id),
        Some(&RetireReason::DoesNotAnswer)
    );
}

/// When one machine is found silent, other machines that run replicas are probed before they miss a report.
#[test]
fn a_failure_makes_machines_with_replicas_suspect() {
    let heard = ["vm-b0", "vm-b1", "vm-b2", "vm-b3"];
    let (mut leader, now) = leader_with_silent_machines(&heard, Span(5_000));
    for (id, kind, priority) in [("vm-a1", "standing", "prod"), ("vm-a2", "sweep", "normal")] {
        let n = u32::from(id == "vm-a1") + 1;
        add_running_task(&mut leader, &job(n, kind, "red", priority), 0, &id.into());
        leader
            .fleet
            .machines
            .get_mut(&id.into())
            .expect("a machine")
            .last_heard_at = Some(Time(now.0 - 1_600));
    }
    let replicas = MachineId::from("vm-a1");
    assert!(!leader.machines_to_probe(now).contains(&replicas));
    leader.direct_call_unanswered(&"vm-b5".into(), now);
    let probed = leader.machines_to_probe(now);
    assert_eq!(probed.first(), Some(&replicas));
    assert!(!probed.contains(&"vm-a2".into()));
}

/// With a fixed limit of 64 open probes, the last of several hundred hanging machines would be probed many seconds
/// after the first.
#[test]
fn the_number_of_open_probes_grows_with_the_fleet() {
    for (machines, expected_probes) in [(30, 20), (1_000, 64), (4_000, 250), (6_000, 375)] {
        let mut leader = leader();
        for n in 0..machines {
            add_live_machine(&mut leader, &format!("vm-{n}"), "a");
        }
        (leader.fleet.reachability).call_answered(NOW.time + Span(3_000));
        let probed = leader.machines_to_probe(NOW.time + Span(3_000));
        assert!(
            probed.len() >= expected_probes,
            "{machines} machines: {}",
            probed.len()
        );
        assert!(
            probed.len() <= expected_probes.max(64),
            "{machines} machines: {}",
            probed.len()
        );
    }
}
