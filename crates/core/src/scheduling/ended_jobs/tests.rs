use super::*;
use crate::fleet::MachineDescription;
use crate::units::{Resources, Wall};

const NOW: Time = Time(1_000_000);

fn machine(last_heard_at: Option<Time>) -> Machine {
    let mut machine = Machine::new(MachineDescription {
        id: "vm-1".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        is_spot: false,
        capacity: Resources::default(),
        known_since: Wall(0),
    });
    machine.last_heard_at = last_heard_at;
    machine
}

/// Returns whether a machine must be returned, given the time since the cancellation and since the election.
fn requires_return(machine: &Machine, cancelled_for: Span, led_for: Span) -> bool {
    let deadline = CancelledTaskDeadline {
        cancelled_for,
        led_for,
        cancel_deadline: Span(37_000),
        report_interval: Span(2_500),
        heartbeat_timeout: Span(10_000),
    };
    deadline.requires_return(machine, NOW)
}

/// A new leader recovered a record that a machine may hold a task of a job that was cancelled long ago. It returned
/// the machine at once, together with twenty replicas that ran on it.
#[test]
fn new_leader_waits_for_status_reports_before_it_returns_machines() {
    let silent = machine(None);
    let long = Span(300_000);
    assert!(!requires_return(&silent, long, Span(30)));
    // Agents of the node that ended were still looking for another node when their machines were returned.
    assert!(!requires_return(&silent, long, Span(6_000)));
    assert!(requires_return(&silent, long, Span(11_000)));
    // A task that must be gone soon cannot wait for the reports.
    let soon = Span(35_000);
    assert!(requires_return(&silent, soon, Span(6_000)));
}

#[test]
fn machine_that_is_heard_is_returned_only_shortly_before_the_deadline() {
    let led_for = Span(60_000);
    let heard = machine(Some(NOW));
    assert!(!requires_return(&heard, Span(25_000), led_for));
    assert!(requires_return(&heard, Span(30_000), led_for));
    let silent = machine(Some(Time(0)));
    assert!(requires_return(&silent, Span(20_000), led_for));
}
