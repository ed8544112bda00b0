use super::*;
use crate::testing::{core, job_of, lead, NOW};

/// Counts of all jobs were sent whatever came of it: a message of more than 1 MiB is refused, and with it
/// every fourth heartbeat.
#[test]
fn the_counts_of_a_hundred_thousand_jobs_fit_into_a_heartbeat() {
    let mut node = core();
    let mut lead = lead();
    for n in 0..100_000 {
        let mut job = job_of(n, "sweep", "red", "normal", 2, 1.0);
        if n % 2 == 0 {
            job.finish(0);
        }
        lead.jobs.insert(job.spec.id.clone(), job);
    }
    node.lead = Some(lead);
    node.beat(NOW);
    let Some(Output::Heartbeat(beat)) = node.out.pop() else {
        panic!("no heartbeat");
    };
    let counts = beat.counts.clone().expect("counts");
    assert_eq!(counts.len(), MOST_COUNTS);
    assert!(bitcode::encode(&beat).len() < MAX_MESSAGE_BYTES);
    // What is not named has neither tasks that are done nor any that run.
    assert!(counts.iter().all(|count| count.done + count.running > 0));
}
