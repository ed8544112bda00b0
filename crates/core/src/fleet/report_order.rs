//! The order of an agent's messages, and the last list of tasks that it reported.

use super::machine::Machine;
use rudderreel_wire::ids::{Incarnation, Seq};
use rudderreel_wire::worker::{StatusReport, TaskStatus};
use std::sync::Arc;

/// Which of two messages of an agent is the newer one: incarnations first, then sequence numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The message's number in it.
    pub seq: Seq,
}

impl MessageOrder {
    /// Of a status report.
    pub fn of(report: &StatusReport) -> Self {
        Self {
            incarnation: report.incarnation,
            seq: report.seq,
        }
    }
}

/// A full list of tasks that an agent reported.
#[derive(Clone, Debug)]
pub struct ReportedTasks {
    /// The message that a later one may refer to instead of repeating the list.
    pub message: MessageOrder,
    /// The tasks.
    pub tasks: Arc<[TaskStatus]>,
}

impl Machine {
    /// Keeps the list of tasks of the newest report, for later reports that refer to it.
    pub fn remember_reported_tasks(&mut self, report: &StatusReport) {
        let message = MessageOrder::of(report);
        let is_same_list = self.reported_tasks.message.incarnation == report.incarnation
            && *self.reported_tasks.tasks == *report.tasks;
        if message == self.last_message && !is_same_list {
            self.reported_tasks = ReportedTasks {
                message,
                tasks: report.tasks.as_slice().into(),
            };
        }
    }
}
