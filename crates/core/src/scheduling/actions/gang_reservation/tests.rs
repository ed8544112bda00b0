use super::*;
use crate::testing::{add_live_machine, add_running_task, job_of, leader, NOW};
use crate::units::{Now, Span};

/// Returns a leader with two machines in each of two zones, one machine of each zone full for four seconds, and a
/// gang that needs two whole machines.
fn full_fleet() -> (Leader, Job) {
    let mut leader = leader();
    for zone in ["a", "b"] {
        let full = add_live_machine(&mut leader, &format!("vm-{zone}1"), zone);
        add_live_machine(&mut leader, &format!("vm-{zone}2"), zone);
        let n = u32::from(zone == "b") + 1;
        let running = job_of(n, "sweep", "red", "normal", 1, 4.0);
        add_running_task(&mut leader, &running, 0, &full);
    }
    for placed in leader
        .fleet
        .machines
        .values_mut()
        .flat_map(|m| &mut m.tasks)
    {
        placed.running_since = Some(NOW.time);
    }
    let gang = job_of(9, "gang", "blue", "normal", 2, 4.0);
    leader.jobs.insert(gang.spec.id.clone(), gang.clone());
    (leader, gang)
}

/// Returns the zones of the machines that are reserved once the gang has waited for `waited`.
fn reserved_after(waited: Span) -> Vec<String> {
    let (leader, gang) = full_fleet();
    let now = Now {
        time: NOW.time,
        wall: NOW.wall + waited,
    };
    let mut snapshot = Snapshot::take(&leader, now);
    reserve_for_gangs(&leader, &mut snapshot, &[&gang]);
    let reserved = snapshot.candidates.iter().filter(|candidate| {
        (candidate.gang_reservation.as_ref()).is_some_and(|r| r.gang == gang.spec.id)
    });
    reserved
        .map(|candidate| candidate.zone.to_string())
        .collect()
}

#[test]
fn machines_of_one_zone_are_reserved_once_the_gang_would_begin_too_late() {
    assert_eq!(reserved_after(Span(0)), Vec::<String>::new());
    let reserved = reserved_after(Span(100_000));
    assert_eq!(reserved.len(), 2);
    assert_eq!(
        reserved[0], reserved[1],
        "the reserved machines must be in one zone"
    );
}
