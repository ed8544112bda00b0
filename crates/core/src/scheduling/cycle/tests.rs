use crate::testing;

/// Replicas whose image no machine had cached were put off until the end of a cycle, and an array of another team
/// took each machine that came up, so that the replicas waited for a minute.
#[test]
fn services_are_placed_before_arrays_also_without_their_image() {
    let mut leader = testing::leader();
    testing::add_live_machine(&mut leader, "vm-1", "a");
    for job in [
        testing::job(1, "sweep", "red", "normal"),
        testing::job(2, "standing", "blue", "prod"),
    ] {
        leader.jobs.insert(job.spec.id.clone(), job);
    }
    leader.run_cycle(testing::NOW);
    let placed = |id: &str| leader.jobs[&id.parse().expect("an id")].placement_count();
    assert_eq!((placed("wk-1"), placed("wk-2")), (0, 4));
}
