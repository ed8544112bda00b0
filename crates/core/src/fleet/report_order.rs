//! The order of an agent's messages, and the last list of tasks that it reported.

use super::machine::Machine;
use rudderreel_wire::ids::{Incarnation, Seq};
use rudderreel_wire::worker::{StatusReport, TaskStatus};
use std::sync::Arc;

/// Position of a message in the order of its agent's messages: by incarnation, then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Sequence number of the message within the incarnation.
    pub seq: Seq,
}

impl MessageOrder {
    /// Returns the position of a status report.
    pub fn of(report: &StatusReport) -> Self {
        Self {
            incarnation: report.incarnation,
            seq: report.seq,
        }
    }
}

/// A full list of tasks that an agent has reported.
#[derive(Clone, Debug)]
pub struct ReportedTasks {
    /// Message that a later one may refer to instead of repeating the list.
    pub message: MessageOrder,
    /// Tasks on the list.
    pub tasks: Arc<[TaskStatus]>,
}

impl Machine {
    /// Stores the list of tasks of the newest report, for later reports that refer to it.
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
