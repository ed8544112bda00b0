use super::*;
use crate::testing::{job_of, leader, node, NOW};

/// A message of more than 1 MiB is refused. When a heartbeat carried the counts of all jobs regardless of its size,
/// every fourth heartbeat was refused.
#[test]
fn the_counts_of_a_hundred_thousand_jobs_fit_into_a_heartbeat() {
    let mut node = node();
    let mut leader = leader();
    for n in 0..100_000 {
        let mut job = job_of(n, "sweep", "red", "normal", 2, 1.0);
        if n % 2 == 0 {
            job.finish(0);
        }
        leader.jobs.insert(job.spec.id.clone(), job);
    }
    node.leader = Some(leader);
    node.send_heartbeat(NOW);
    let Some(Output::Heartbeat(heartbeat)) = node.out.pop() else {
        panic!("no heartbeat");
    };
    let counts = heartbeat.counts.clone().expect("counts");
    assert_eq!(counts.len(), MAX_COUNTS);
    assert!(bitcode::encode(&heartbeat).len() < MAX_MESSAGE_BYTES);
    // Jobs with neither done nor running tasks are omitted.
    assert!(counts.iter().all(|count| count.done + count.running > 0));
}
