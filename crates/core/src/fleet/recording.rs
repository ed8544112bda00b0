//! Tracking of which parts of a machine and its tasks the placement log has recorded.

use super::machine::Machine;
use super::placed_task::Phase;
use crate::store::records::SegmentId;
use rudderreel_wire::ids::TaskId;
use rudderreel_wire::worker::Cause;

impl Machine {
    /// Returns whether a segment names the machine, committed or not.
    pub fn is_named_in_log(&self) -> bool {
        self.segment != SegmentId::NONE || self.pending_segment != SegmentId::NONE
    }

    /// Records that a segment of the placement log is committed. Returns whether the segment records any task for the
    /// first time.
    pub fn segment_committed(&mut self, segment: SegmentId) -> bool {
        if self.pending_segment == segment {
            (self.segment, self.pending_segment) = (segment, SegmentId::NONE);
        }
        let mut first_recorded = false;
        for task in (self.tasks.iter_mut()).filter(|t| t.pending_segment == segment) {
            first_recorded |= !task.is_recorded();
            (task.segment, task.pending_segment) = (segment, SegmentId::NONE);
        }
        first_recorded
    }

    /// Records that a segment of the placement log will never be written: the machine and tasks that it names wait for
    /// another one.
    pub fn segment_rejected(&mut self, segment: SegmentId) {
        if self.pending_segment == segment {
            self.pending_segment = SegmentId::NONE;
        }
        for task in (self.tasks.iter_mut()).filter(|t| t.pending_segment == segment) {
            task.pending_segment = SegmentId::NONE;
        }
    }

    /// Lets the agent forget those completed tasks that are recorded as done according to `is_recorded`: only then are
    /// the agent's reports of them not needed any more.
    pub fn mark_recorded_outcomes(&mut self, is_recorded: impl Fn(&TaskId) -> bool) {
        for task in self.tasks.iter_mut().filter(|t| !t.outcome_recorded) {
            if task.phase == Phase::Exited(Cause::Done) {
                task.outcome_recorded = is_recorded(&task.task);
            }
        }
    }
}
