//! Forwards status reports from a node that does not lead to the leader.
//!
//! Several hundred agents are too many for one node, so in a fleet above a certain size every node accepts reports. It
//! forwards them to the leader, batched and shortened, and answers each agent only with the leader's answer.
//!
//! **Safety.** Whether an agent is answered stays a decision of the leader alone. An agent's lease counts from the
//! sending of its report, which came before that decision; so however late this node answers, it does not renew a
//! lease for longer than the leader assumes. If the leader does not answer, agents get 503 at once and try another
//! node.
//!
//! **Shortening.** A report whose list of tasks the leader has already applied refers to that list. A leader that
//! does not have the list asks for the whole report.

use crate::fleet::MessageOrder;
use crate::io::{json, CallId, ReqId};
use crate::units::{Span, Time};
use rudderreel_wire::ids::{Epoch, FencingToken, MachineId, NodeName};
use rudderreel_wire::peer::{
    ForwardedAnswer, ForwardedReport, ForwardedReportsReply, ForwardedTasks, MAX_MESSAGE_BYTES,
};
use rudderreel_wire::worker::{StatusReport, StatusReportReply, TaskStatus};
use std::collections::BTreeMap;

/// Approximate limit on the size of the reports of a batch, in bytes.
const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// Limit on the number of reports of a batch: their answers have to fit into a message, too.
const MAX_BATCH_REPORTS: usize = 1_000;
/// Approximate size of a forwarded report without its list of tasks, in bytes.
const REPORT_BYTES: usize = 80;
/// Limit on the number of batches that are open at once.
const MAX_OPEN_BATCHES: usize = 3;
/// Wait of the oldest report beyond which another report is refused at once: an agent gives up after 4 s, so the other
/// report would only be answered too late. The number of waiting reports follows from the rate at which they are
/// forwarded, and from the number of connections that agents may have: each agent has one report in flight.
pub(crate) const MAX_REPORT_WAIT: Span = Span(2_000);

/// A report whose agent waits for an answer.
pub(crate) struct HeldReport {
    req: ReqId,
    report: StatusReport,
    /// Whether the leader has asked for the whole list of tasks.
    must_be_whole: bool,
    received_at: Time,
}

impl HeldReport {
    /// Returns the request to answer.
    pub(crate) fn req(&self) -> ReqId {
        self.req
    }

    /// Returns the machine whose agent waits.
    pub(crate) fn machine(&self) -> &MachineId {
        &self.report.machine
    }
}

/// The leader that reports are forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardingTarget {
    /// Node that leads.
    pub(crate) node: NodeName,
    /// Epoch of the leader.
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
    /// Returns the held reports of a batch that can't be forwarded.
    pub(crate) fn into_held(self) -> Vec<HeldReport> {
        self.held
    }
}

/// The answer to an agent whose report was forwarded.
pub(crate) struct AgentAnswer {
    /// Request of the agent.
    pub(crate) req: ReqId,
    /// The agent's report.
    pub(crate) report: StatusReport,
    /// Body of the answer; none if the leader refuses to answer.
    pub(crate) body: Option<String>,
}

/// Outcome of a forwarded batch.
pub(crate) enum BatchResult {
    /// The leader gave no answer: no agent is answered.
    Unanswered(Vec<HeldReport>),
    /// The leader has answered.
    Answered {
        /// Lowest fencing token of the leader that has answered.
        token: FencingToken,
        /// Answers to the agents. Reports that the leader asked for in whole wait again.
        answers: Vec<AgentAnswer>,
    },
}

/// Reports that wait to be forwarded, or for the leader's answer.
#[derive(Default)]
pub struct ReportForwarding {
    /// Reports to be forwarded, in the order in which they were queued.
    waiting: Vec<HeldReport>,
    /// Time since which reports are collected for the next batch.
    collecting_since: Option<Time>,
    open: BTreeMap<CallId, Vec<HeldReport>>,
    last_call: u64,
    /// By machine: the last list that was forwarded whole and that `applied_by` has applied.
    applied: BTreeMap<MachineId, AppliedList>,
    applied_by: Option<ForwardingTarget>,
}

impl ReportForwarding {
    /// Returns whether reports have waited for so long that another one would be answered too late.
    pub(crate) fn is_overloaded(&self, now: Time) -> bool {
        (self.waiting.first()).is_some_and(|held| now > held.received_at + MAX_REPORT_WAIT)
    }

    /// Holds a report until it is forwarded and answered. If `target` is another leader than before, it has applied no
    /// lists.
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

    /// Takes the batch that is due, if any: the reports that have waited longest, as many as fit into a message.
    pub(crate) fn take_due_batch(&mut self, interval: Span, now: Time) -> Option<ReportBatch> {
        let is_due = (self.collecting_since).is_some_and(|since| now >= since + interval);
        if !is_due || self.open.len() >= MAX_OPEN_BATCHES {
            return None;
        }
        let batch = self.take_batch();
        self.collecting_since = (!self.waiting.is_empty()).then_some(now);
        Some(batch)
    }

    /// Takes a batch of at least one report, if any reports wait.
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

    /// Returns a report as it is forwarded: with its list of tasks, or with a reference to a list that the leader has.
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

    /// Records that a batch is sent. Returns the call and the reports to send.
    pub(crate) fn open_batch(&mut self, batch: ReportBatch) -> (CallId, Vec<ForwardedReport>) {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.open.insert(call, batch.held);
        (call, batch.reports)
    }

    /// Handles the answer to a batch, or the lack of one. Returns none if the call is not open.
    pub(crate) fn batch_answered(
        &mut self,
        call: CallId,
        reply: Option<ForwardedReportsReply>,
        now: Time,
    ) -> Option<BatchResult> {
        let held = self.open.remove(&call)?;
        let Some(ForwardedReportsReply {
            token: Some(token),
            answers,
        }) = reply.filter(|reply| reply.answers.len() == held.len())
        else {
            return Some(BatchResult::Unanswered(held));
        };
        let answers = (held.into_iter().zip(answers))
            .filter_map(|(held, answer)| self.report_answered(held, answer, token, now))
            .collect();
        Some(BatchResult::Answered { token, answers })
    }

    /// Handles the leader's answer to one report. Returns the answer to the agent, or none if the report is to be sent
    /// again.
    fn report_answered(
        &mut self,
        mut held: HeldReport,
        answer: ForwardedAnswer,
        token: FencingToken,
        now: Time,
    ) -> Option<AgentAnswer> {
        let body = match answer {
            ForwardedAnswer::Answered(commands) => {
                self.remember_applied(&held);
                Some(commands.unwrap_or_else(|| json(&StatusReportReply::without_commands(token))))
            }
            ForwardedAnswer::Whole if !held.must_be_whole => {
                held.must_be_whole = true;
                self.applied.remove(&held.report.machine);
                self.wait(held, now);
                return None;
            }
            ForwardedAnswer::Whole | ForwardedAnswer::Refused => None,
        };
        Some(AgentAnswer {
            req: held.req,
            report: held.report,
            body,
        })
    }

    /// Records that the leader has applied a report. The recorded list stays the last one that was forwarded whole.
    fn remember_applied(&mut self, held: &HeldReport) {
        let report = &held.report;
        let is_known = (self.applied.get(&report.machine))
            .is_some_and(|applied| applied.is_repeated_by(report));
        if !is_known || held.must_be_whole {
            let list = AppliedList {
                message: MessageOrder::of(report),
                tasks: report.tasks.clone(),
            };
            self.applied.insert(report.machine.clone(), list);
        }
    }
}

/// Returns the approximate size of a report in a message, in bytes.
fn estimated_bytes(report: &ForwardedReport) -> usize {
    let list = match &report.tasks {
        ForwardedTasks::SameAs(_) => 0,
        ForwardedTasks::Whole(text) => text.len(),
    };
    REPORT_BYTES + report.machine.len() + list
}

#[cfg(test)]
mod tests;
