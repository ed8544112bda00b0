//! Starts and ends of tasks as the agents themselves record them, and a check at every instant that teams keep to their
//! limits and that no task runs twice.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// What happened to a task on a machine. Of events at the same instant, ends are ordered before starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    Ended,
    Started,
}

/// A start or an end of a task on an agent's machine.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub change: Change,
    pub machine: String,
    pub team: String,
    /// The task's id, without the attempt.
    pub task: String,
    pub cpus: f64,
}

/// A violation of the users' rules.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A team's running tasks used more CPUs than its limit.
    OverLimit { team: String, cpus: f64 },
    /// A task started on a machine while it was already running.
    RanTwice { task: String, machine: String },
}

/// Events of all agents, in the order in which they were recorded.
#[derive(Default)]
pub struct History {
    events: Mutex<Vec<Event>>,
}

impl History {
    /// Records an event.
    pub fn record(&self, event: Event) {
        self.events.lock().expect("the history").push(event);
    }

    /// Returns all events, ordered by time.
    pub fn events(&self) -> Vec<Event> {
        let mut events = self.events.lock().expect("the history").clone();
        events.sort_by_key(|event| (event.at, event.change));
        events
    }
}

/// CPUs that a team's tasks use, at present and at the peak.
#[derive(Clone, Copy, Debug, Default)]
struct TeamUsage {
    now: f64,
    peak: f64,
}

/// Result of the check of a history.
#[derive(Debug, Default)]
pub struct CheckedHistory {
    pub violations: Vec<Violation>,
    /// Number of task starts.
    pub starts: usize,
    by_team: BTreeMap<String, TeamUsage>,
}

impl CheckedHistory {
    /// Returns the maximum number of CPUs that a team's tasks used at any instant.
    pub fn peak_cpus(&self, team: &str) -> f64 {
        self.by_team.get(team).map_or(0.0, |usage| usage.peak)
    }
}

/// Checks events, which must be ordered by time, against the CPU limits of teams. A team that has no limit in `limits`
/// may use no CPUs.
pub fn check(events: &[Event], limits: &BTreeMap<String, f64>) -> CheckedHistory {
    let mut checked = CheckedHistory::default();
    let mut running: BTreeMap<&str, u32> = BTreeMap::new();
    for event in events {
        let usage = checked.by_team.entry(event.team.clone()).or_default();
        let instances = running.entry(&event.task).or_default();
        match event.change {
            Change::Ended => {
                usage.now -= event.cpus;
                *instances -= 1;
            }
            Change::Started => {
                usage.now += event.cpus;
                usage.peak = usage.peak.max(usage.now);
                *instances += 1;
                checked.starts += 1;
                if *instances > 1 {
                    let (task, machine) = (event.task.clone(), event.machine.clone());
                    checked
                        .violations
                        .push(Violation::RanTwice { task, machine });
                }
                let limit = limits.get(&event.team).copied().unwrap_or(0.0);
                if usage.now > limit + 1e-9 {
                    let (team, cpus) = (event.team.clone(), usage.now);
                    checked.violations.push(Violation::OverLimit { team, cpus });
                }
            }
        }
    }
    checked
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn events(rows: &[(u64, Change, &str, &str)]) -> Vec<Event> {
        let start = Instant::now();
        let history = History::default();
        for (ms, change, machine, task) in rows {
            history.record(Event {
                at: start + Duration::from_millis(*ms),
                change: *change,
                machine: (*machine).into(),
                team: "red".into(),
                task: (*task).into(),
                cpus: 2.0,
            });
        }
        history.events()
    }

    fn limits() -> BTreeMap<String, f64> {
        BTreeMap::from([("red".into(), 4.0)])
    }

    /// A violation is found however short it is, and in whatever order its events were recorded.
    #[test]
    fn violations_are_found() {
        use Change::{Ended, Started};
        let valid = [
            (0, Started, "a", "x"),
            (5, Started, "b", "y"),
            (9, Ended, "a", "x"),
            (9, Started, "c", "z"),
        ];
        assert_eq!(check(&events(&valid), &limits()).violations, Vec::new());
        // Task z starts a millisecond before task x ends, but its start is recorded after that end.
        let over_limit = [
            (0, Started, "a", "x"),
            (9, Ended, "a", "x"),
            (5, Started, "b", "y"),
            (8, Started, "c", "z"),
        ];
        let found = check(&events(&over_limit), &limits());
        let expected = Violation::OverLimit {
            team: "red".into(),
            cpus: 6.0,
        };
        assert_eq!(found.violations, vec![expected]);
        assert_eq!(found.peak_cpus("red"), 6.0);
        let on_two_machines = [(0, Started, "a", "x"), (5, Started, "b", "x")];
        let expected = Violation::RanTwice {
            task: "x".into(),
            machine: "b".into(),
        };
        assert_eq!(
            check(&events(&on_two_machines), &limits()).violations,
            vec![expected]
        );
    }
}
