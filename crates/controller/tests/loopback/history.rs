//! What agents ran, as they saw it themselves, and a check of every instant.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// That a task began or ended on a machine. Ends come first of what happened at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    Ended,
    Began,
}

/// Something that an agent did.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub change: Change,
    pub machine: String,
    pub team: String,
    /// The task, whatever its attempt.
    pub task: String,
    pub cpus: f64,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A team's tasks used more than its limit.
    OverLimit { team: String, cpus: f64 },
    /// A task began on a machine while it ran on another.
    RanTwice { task: String, machine: String },
}

/// What agents did, in the order in which they noted it.
#[derive(Default)]
pub struct History {
    events: Mutex<Vec<Event>>,
}

impl History {
    /// Notes an event.
    pub fn note(&self, event: Event) {
        self.events.lock().expect("the history").push(event);
    }

    /// All events, in the order of their times.
    pub fn events(&self) -> Vec<Event> {
        let mut events = self.events.lock().expect("the history").clone();
        events.sort_by_key(|event| (event.at, event.change));
        events
    }
}

/// What one team used at most.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    now: f64,
    most: f64,
}

/// The result of a check.
#[derive(Debug, Default)]
pub struct CheckedHistory {
    pub violations: Vec<Violation>,
    pub starts: usize,
    by_team: BTreeMap<String, Use>,
}

impl CheckedHistory {
    /// What a team used at most at any instant.
    pub fn most_used(&self, team: &str) -> f64 {
        self.by_team.get(team).map_or(0.0, |used| used.most)
    }
}

/// Checks events in the order of their times against the limits of teams.
pub fn check(events: &[Event], limits: &BTreeMap<String, f64>) -> CheckedHistory {
    let mut checked = CheckedHistory::default();
    let mut running: BTreeMap<&str, u32> = BTreeMap::new();
    for event in events {
        let used = checked.by_team.entry(event.team.clone()).or_default();
        let copies = running.entry(&event.task).or_default();
        match event.change {
            Change::Ended => {
                used.now -= event.cpus;
                *copies -= 1;
            }
            Change::Began => {
                used.now += event.cpus;
                used.most = used.most.max(used.now);
                *copies += 1;
                checked.starts += 1;
                if *copies > 1 {
                    let (task, machine) = (event.task.clone(), event.machine.clone());
                    checked
                        .violations
                        .push(Violation::RanTwice { task, machine });
                }
                let limit = limits.get(&event.team).copied().unwrap_or(0.0);
                if used.now > limit + 1e-9 {
                    let (team, cpus) = (event.team.clone(), used.now);
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
        let begun = Instant::now();
        let history = History::default();
        for (ms, change, machine, task) in rows {
            history.note(Event {
                at: begun + Duration::from_millis(*ms),
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

    /// The check finds what it is for, however short it was and in whatever order it was noted.
    #[test]
    fn a_planted_violation_is_found() {
        use Change::{Began, Ended};
        let sound = [
            (0, Began, "a", "x"),
            (5, Began, "b", "y"),
            (9, Ended, "a", "x"),
            (9, Began, "c", "z"),
        ];
        assert_eq!(check(&events(&sound), &limits()).violations, Vec::new());
        // The third begins a millisecond before the first has ended; it was noted later.
        let over = [
            (0, Began, "a", "x"),
            (9, Ended, "a", "x"),
            (5, Began, "b", "y"),
            (8, Began, "c", "z"),
        ];
        let found = check(&events(&over), &limits());
        let expected = Violation::OverLimit {
            team: "red".into(),
            cpus: 6.0,
        };
        assert_eq!(found.violations, vec![expected]);
        assert_eq!(found.most_used("red"), 6.0);
        let twice = [(0, Began, "a", "x"), (5, Began, "b", "x")];
        let expected = Violation::RanTwice {
            task: "x".into(),
            machine: "b".into(),
        };
        assert_eq!(check(&events(&twice), &limits()).violations, vec![expected]);
    }
}
