use super::*;
use crate::testing::{add_live_machine, add_running_task, job, leader, NOW};
use proptest::prelude::*;
use rudderreel_wire::worker::Cause;

fn now(s: u64) -> Now {
    Now {
        time: NOW.time + Span(s * 1_000),
        ..NOW
    }
}

/// Records a failure of a job's task on a machine, in an attempt of its own.
fn fail(leader: &mut Leader, n: u32, machine: &str, at: u64) {
    let task = format!("wk-{n}/0").parse().expect("a task");
    let exit = TaskExit {
        task,
        attempt: Attempt(at),
        cause: Cause::Error,
        ran: None,
    };
    leader.task_failed(&machine.into(), &exit, now(at));
}

fn fleet(jobs: &[u32]) -> Leader {
    let mut leader = leader();
    (0..5).for_each(|n| drop(add_live_machine(&mut leader, &format!("vm-{n}"), "a")));
    for &n in jobs {
        let job = job(n, "sweep", "red", "normal");
        leader.jobs.insert(job.spec.id.clone(), job);
    }
    leader
}

fn suspected(leader: &Leader, n: u32) -> bool {
    leader.jobs[&format!("wk-{n}").parse().expect("an id")].is_suspected()
}

fn usable(leader: &Leader, at: u64) -> usize {
    let at = now(at).time;
    leader
        .fleet
        .machines
        .values()
        .filter(|m| m.quarantined_until <= at)
        .count()
}

/// Broken jobs must not quarantine every machine of a small fleet, because then no other work could start.
#[test]
fn broken_jobs_quarantine_no_machines() {
    let mut leader = fleet(&[1, 2]);
    for at in 0..20 {
        let machine = format!("vm-{}", at % 5);
        fail(&mut leader, 1, &machine, at + 1);
        fail(&mut leader, 2, &machine, at + 1);
        if at == 2 {
            // Failures on a third machine are enough, and the first two machines leave quarantine at once.
            assert_eq!(usable(&leader, 3), 5);
        }
    }
    assert!(suspected(&leader, 1) && suspected(&leader, 2));
    assert_eq!(usable(&leader, 21), 5);
    // A broken job is tried again, one task at a time, after growing pauses.
    let broken = &leader.jobs[&"wk-1".parse().expect("an id")];
    assert_eq!(broken.startable_tasks(), 1);
    assert!(broken.retry_at >= now(21).time + Span(32_000));
}

/// The machine is blamed, not the sound jobs that failed on it, which are soon tried elsewhere.
#[test]
fn a_faulty_machine_is_quarantined() {
    let mut leader = fleet(&[1, 2, 3]);
    for n in 1..4 {
        fail(&mut leader, n, "vm-0", u64::from(n));
    }
    assert!((1..4).all(|n| !suspected(&leader, n)));
    assert!(leader.fleet.machines[&"vm-0".into()].is_suspected());
    assert_eq!((usable(&leader, 4), usable(&leader, 40)), (4, 5));
    let job = &leader.jobs[&"wk-3".parse().expect("an id")];
    assert!(job.retry_at <= now(4).time);
    assert!(job.failures.avoids_machine(&"vm-0".into(), now(4).time));
    assert!(!job.failures.avoids_machine(&"vm-1".into(), now(4).time));
}

/// Faulty machines may mislead the leader. The first success clears the job, and a service whose replicas run elsewhere
/// is never suspected.
#[test]
fn a_success_clears_a_job() {
    let mut leader = fleet(&[1]);
    fail(&mut leader, 1, "vm-0", 1);
    fail(&mut leader, 1, "vm-1", 2);
    assert!(suspected(&leader, 1));
    leader.clear_suspicions(&"vm-2".into(), &"wk-1".parse().expect("an id"), now(9).time);
    assert!(!suspected(&leader, 1));
    fail(&mut leader, 1, "vm-0", 10);
    fail(&mut leader, 1, "vm-1", 11);
    assert!(!suspected(&leader, 1));
    let service = job(2, "standing", "red", "prod");
    add_running_task(&mut leader, &service, 1, &"vm-3".into());
    (0..3).for_each(|n| fail(&mut leader, 2, &format!("vm-{n}"), 40 + n));
    assert!(!suspected(&leader, 2));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    /// Compares with the actual faults: in whatever order jobs, some of them broken, are tried on five machines, up to
    /// two of them faulty, broken jobs end up suspected, sound ones done, and sound machines in use, with a bounded
    /// number of failures.
    #[test]
    fn faults_are_attributed_in_whatever_order_jobs_are_tried_on_machines(
        broken in prop::collection::vec(any::<bool>(), 6),
        faulty in prop::collection::btree_set(0usize..5, 0..3),
        order in prop::collection::vec((0usize..6, 0usize..5), 400),
    ) {
        let mut leader = fleet(&[0, 1, 2, 3, 4, 5]);
        let mut done = [false; 6];
        let mut failures = [0u32; 6];
        for (at, (n, machine)) in order.into_iter().enumerate() {
            let time = now(at as u64).time;
            let (id, vm) = (format!("wk-{n}"), format!("vm-{machine}"));
            let job = &leader.jobs[&id.parse().expect("an id")];
            let may = job.retry_at <= time && !job.failures.avoids_machine(&vm.as_str().into(), time)
                && leader.fleet.machines[&vm.as_str().into()].quarantined_until <= time;
            if done[n] || !may {
                continue;
            }
            if broken[n] || faulty.contains(&machine) {
                fail(&mut leader, n as u32, &vm, at as u64);
                failures[n] += 1;
            } else {
                leader.clear_suspicions(&vm.as_str().into(), &id.parse().expect("an id"), time);
                done[n] = true;
            }
        }
        for n in 0..6 {
            prop_assert_eq!(done[n], !broken[n]);
            prop_assert!(!broken[n] || suspected(&leader, n as u32));
            prop_assert!(failures[n] <= 16, "{} failures", failures[n]);
        }
        let late = now(400 + 8);
        for n in (0..5).filter(|n| !faulty.contains(n)) {
            let machine = &leader.fleet.machines[&format!("vm-{n}").as_str().into()];
            prop_assert!(machine.quarantined_until <= late.time, "vm-{n} is still quarantined");
        }
    }
}
