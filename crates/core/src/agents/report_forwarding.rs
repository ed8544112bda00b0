//! Forwards status reports from a node that does not lead to the leader.
//!
//! Several hundred agents are too many for one node, so from a certain size of the fleet on every node takes
//! reports. It forwards them to the leader, many at once and shortened, and answers each agent only with what the
//! leader says.
//!
//! **Safety.** Whether an agent is answered stays a decision of the leader alone. An agent's lease counts from the
//! sending of its report, which came before that decision; so however late this node answers, it does not renew a
//! lease for longer than the leader reckons with. If the leader says nothing, agents get 503 at once and try another
//! node.
//!
//! **Shortening.** A report whose list of tasks the leader has applied already refers to that list. A leader that
//! does not have it asks for the whole report.

use crate::fleet::MessageOrder;
use crate::io::{json, CallId, ReqId};
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Epoch, MachineId, NodeName};
use rudderreel_wire::peer::{
    ForwardedAnswer, ForwardedReport, ForwardedReportsReply, ForwardedTasks, MAX_MESSAGE_BYTES,
};
use rudderreel_wire::worker::{StatusReport, StatusReportReply, TaskStatus};
use std::collections::BTreeMap;

/// Bytes that the reports of a batch have, roughly.
const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// Reports of a batch: their answers have to fit into a message, too.
const MAX_BATCH_REPORTS: usize = 1_000;
/// Bytes of a forwarded report without its list of tasks.
const REPORT_BYTES: usize = 80;
/// Batches that may be open at once.
const MAX_OPEN_BATCHES: usize = 3;
/// An agent gives up after 4 s. While the oldest report has waited for so long, another would only be answered too
/// late, and is refused at once. How many wait follows from how fast they are forwarded, and from the connections
/// that agents may have: each has one report under way.
pub(crate) const MAX_WAIT: Span = Span(2_000);

/// A report whose agent waits for an answer.
pub(crate) struct HeldReport {
    req: ReqId,
    report: StatusReport,
    /// Whether the leader has asked for its whole list of tasks.
    must_be_whole: bool,
    received_at: Time,
}

impl HeldReport {
    /// The request to answer.
    pub(crate) fn req(&self) -> ReqId {
        self.req
    }

    /// The machine whose agent waits.
    pub(crate) fn machine(&self) -> &MachineId {
        &self.report.machine
    }
}

/// The leader that reports are forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardingTarget {
    /// Its node.
    pub(crate) node: NodeName,
    /// Its epoch.
    pub(crate) epoch: Epoch,
}

/// A list of tasks that the leader has applied.
struct AppliedList {
    message: MessageOrder,
    tasks: Vec<TaskStatus>,
}

impl AppliedList {
    fn is_repeated_by(&self, report: &StatusReport) -> bool {
        self.message.incarnation == report.incarnation && self.tasks == report.tasks
    }
}

/// Reports that are forwarded together.
pub(crate) struct ReportBatch {
    held: Vec<HeldReport>,
    reports: Vec<ForwardedReport>,
}

impl ReportBatch {
    /// The reports, if they can't be forwarded.
    pub(crate) fn into_held(self) -> Vec<HeldReport> {
        self.held
    }
}

/// What an agent is answered after its report was forwarded.
pub(crate) struct AgentAnswer {
    /// Its request.
    pub(crate) req: ReqId,
    /// The body of the answer; none if the leader refuses to answer.
    pub(crate) body: Option<String>,
}

/// What the end of a forwarded batch means.
pub(crate) enum BatchResult {
    /// The leader gave no answer: nobody is answered.
    Unanswered(Vec<HeldReport>),
    /// The leader has answered under an epoch.
    Answered {
        /// Its epoch.
        epoch: Epoch,
        /// The answers. Reports that it asked for whole wait again.
        answers: Vec<AgentAnswer>,
    },
}

/// Reports that wait to be forwarded, or for the leader's answer.
#[derive(Default)]
pub struct ReportForwarding {
    /// The oldest first.
    waiting: Vec<HeldReport>,
    /// Since when reports are collected for the next batch.
    collecting_since: Option<Time>,
    open: BTreeMap<CallId, Vec<HeldReport>>,
    last_call: u64,
    /// By machine: the last list that `applied_by` has applied in whole.
    applied: BTreeMap<MachineId, AppliedList>,
    applied_by: Option<ForwardingTarget>,
}

impl ReportForwarding {
    /// Whether reports wait for so long that another would be answered too late.
    pub(crate) fn is_overloaded(&self, now: Time) -> bool {
        (self.waiting.first()).is_some_and(|held| now > held.received_at + MAX_WAIT)
    }

    /// Keeps a report until it is forwarded and answered. Another leader than before knows no lists.
    pub(crate) fn enqueue(
        &mut self,
        req: ReqId,
        report: StatusReport,
        target: ForwardingTarget,
        now: Time,
    ) {
        if self.applied_by.as_ref() != Some(&target) {
            self.applied.clear();
            self.applied_by = Some(target);
        }
        self.wait(
            HeldReport {
                req,
                report,
                must_be_whole: false,
                received_at: now,
            },
            now,
        );
    }

    fn wait(&mut self, held: HeldReport, now: Time) {
        self.collecting_since.get_or_insert(now);
        self.waiting.push(held);
    }

    /// Takes the batch that is due: the reports that wait longest, as many as a message holds.
    pub(crate) fn take_due_batch(&mut self, interval: Span, now: Time) -> Option<ReportBatch> {
        let is_due = (self.collecting_since).is_some_and(|since| now >= since + interval);
        if !is_due || self.open.len() >= MAX_OPEN_BATCHES {
            return None;
        }
        let batch = self.take_batch();
        self.collecting_since = (!self.waiting.is_empty()).then_some(now);
        Some(batch)
    }

    /// Takes one report at least, if any wait.
    fn take_batch(&mut self) -> ReportBatch {
        let mut bytes = 0;
        let mut reports = Vec::new();
        for held in self.waiting.iter().take(MAX_BATCH_REPORTS) {
            let report = self.shorten(held);
            bytes += estimated_bytes(&report);
            if bytes > MAX_BATCH_BYTES && !reports.is_empty() {
                break;
            }
            reports.push(report);
        }
        let rest = self.waiting.split_off(reports.len());
        let held = std::mem::replace(&mut self.waiting, rest);
        ReportBatch { held, reports }
    }

    /// A report as it is forwarded: with its list of tasks, or by reference to one that the leader has.
    fn shorten(&self, held: &HeldReport) -> ForwardedReport {
        let report = &held.report;
        let applied = (self.applied.get(&report.machine))
            .filter(|applied| applied.is_repeated_by(report) && !held.must_be_whole);
        let tasks = match applied {
            Some(applied) => ForwardedTasks::SameAs(applied.message.seq.0),
            None => ForwardedTasks::Whole(json(report)),
        };
        ForwardedReport {
            machine: report.machine.to_string(),
            incarnation: report.incarnation.0,
            seq: report.seq.0,
            token: report.token.0,
            reclaim_in_s: report.reclaim_in_s,
            tasks,
        }
    }

    /// A batch is sent: returns the call and what to send.
    pub(crate) fn open_batch(&mut self, batch: ReportBatch) -> (CallId, Vec<ForwardedReport>) {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.open.insert(call, batch.held);
        (call, batch.reports)
    }

    /// A batch was answered, or was not. None if the call is not open.
    pub(crate) fn batch_answered(
        &mut self,
        call: CallId,
        reply: Option<ForwardedReportsReply>,
        now: Time,
    ) -> Option<BatchResult> {
        let held = self.open.remove(&call)?;
        let Some(ForwardedReportsReply {
            token: Some(epoch),
            answers,
        }) = reply.filter(|reply| reply.answers.len() == held.len())
        else {
            return Some(BatchResult::Unanswered(held));
        };
        let answers = (held.into_iter().zip(answers))
            .filter_map(|(held, answer)| self.report_answered(held, answer, epoch, now))
            .collect();
        Some(BatchResult::Answered { epoch, answers })
    }

    /// The leader's answer to one report; none if it is to be sent again.
    fn report_answered(
        &mut self,
        mut held: HeldReport,
        answer: ForwardedAnswer,
        epoch: Epoch,
        now: Time,
    ) -> Option<AgentAnswer> {
        let req = held.req;
        let body = match answer {
            ForwardedAnswer::Answered(commands) => {
                self.remember_applied(held);
                Some(commands.unwrap_or_else(|| no_commands(epoch)))
            }
            ForwardedAnswer::Whole if !held.must_be_whole => {
                held.must_be_whole = true;
                self.applied.remove(&held.report.machine);
                self.wait(held, now);
                return None;
            }
            ForwardedAnswer::Whole | ForwardedAnswer::Refused => None,
        };
        Some(AgentAnswer { req, body })
    }

    /// The leader has applied a report. Its list is the last one that was forwarded whole.
    fn remember_applied(&mut self, held: HeldReport) {
        let report = held.report;
        let is_known = (self.applied.get(&report.machine))
            .is_some_and(|applied| applied.is_repeated_by(&report));
        if !is_known || held.must_be_whole {
            let list = AppliedList {
                message: MessageOrder::of(&report),
                tasks: report.tasks,
            };
            self.applied.insert(report.machine, list);
        }
    }
}

/// The body of an answer without commands.
fn no_commands(epoch: Epoch) -> String {
    json(&StatusReportReply {
        token: epoch,
        commands: Vec::new(),
    })
}

/// Bytes of a report in a message, roughly.
fn estimated_bytes(report: &ForwardedReport) -> usize {
    let list = match &report.tasks {
        ForwardedTasks::SameAs(_) => 0,
        ForwardedTasks::Whole(text) => text.len(),
    };
    REPORT_BYTES + report.machine.len() + list
}

#[cfg(test)]
mod tests;
