//! Workers' reports at nodes that don't lead.
//!
//! Several hundred workers are too many for one node, so from a certain size on every node takes
//! reports. It passes them on to the leader, many at once and shortened, and answers each worker only
//! with what the leader says. That a worker is answered stays a decision of the leader alone: a
//! worker's lease counts from the sending of the report, which came before that decision, so however
//! late this node answers, it does not renew a lease for longer than the leader reckons with.
//!
//! If the leader says nothing, workers get 503 at once and try another node.

use crate::cache::job_cache::JobCache;
use crate::fleet::MessageOrder;
use crate::io::{json, CallId, ReqId};
use crate::leader::Leader;
use crate::leadership::peers::PeerStatus;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Epoch, Incarnation, MachineId, NodeName, Seq};
use rudderreel_wire::peer::{ForwardedAnswer, ForwardedReport, ForwardedTasks, MAX_MESSAGE_BYTES};
use rudderreel_wire::worker::{StatusReport, StatusReportReply, TaskStatus};
use std::collections::BTreeMap;

/// Bytes that the reports of a batch have, roughly, and how many there are: their answers have to fit
/// into a message, too.
const BATCH_BYTES: usize = MAX_MESSAGE_BYTES / 2;
const BATCH_REPORTS: usize = 1_000;
/// Bytes of a report that is passed on, without its list.
const REPORT_BYTES: usize = 80;
/// A worker that has missed a report, with so much to spare, reports elsewhere; but not before the
/// least.
pub(crate) const LEFT_SPARE: Span = Span(2_000);
pub(crate) const LEFT_LEAST: Span = Span(8_000);
/// How often workers that have left are looked for.
const PRUNE: Span = Span(200);
/// A node with workers that none of them has reached for so long is perhaps cut off from them; with
/// few workers, for so many times the usual pause between their reports.
const UNREACHED: Span = Span(1_500);
const PAUSES: u64 = 5;
/// To a node that no worker reaches one is sent on trial, so often.
const TRIAL: Span = Span(1_000);
pub(crate) const SILENT: Span = Span(3_000);

/// A report that waits to be passed on, or for the leader's answer.
pub(crate) struct HeldReport {
    pub(crate) req: ReqId,
    pub(crate) report: StatusReport,
    pub(crate) whole: bool,
    /// When it came.
    pub(crate) since: Time,
}

/// What a follower remembers of reports.
#[derive(Default)]
pub struct ReportForwarding {
    pub(crate) waiting: Vec<HeldReport>,
    pub(crate) since: Option<Time>,
    pub(crate) open: BTreeMap<CallId, Vec<HeldReport>>,
    pub(crate) next: u64,
    /// By machine: the last list that the leader took in whole.
    pub(crate) taken: BTreeMap<MachineId, (Incarnation, Seq, Vec<TaskStatus>)>,
    /// Whose memory that is.
    pub(crate) leader: Option<(NodeName, Epoch)>,
    /// When each worker last reported here, and when those that have left were last looked for.
    pub(crate) workers: BTreeMap<MachineId, Time>,
    pruned: Time,
    /// Workers sent to each peer since it last said how many it has.
    pub sent: BTreeMap<NodeName, u32>,
    /// When a worker was last sent to a peer that none reached.
    pub(crate) trials: BTreeMap<NodeName, Time>,
}

/// Bytes of a report in a message, roughly.
fn bytes_of(report: &ForwardedReport) -> usize {
    let list = match &report.tasks {
        ForwardedTasks::SameAs(_) => 0,
        ForwardedTasks::Whole(text) => text.len(),
    };
    REPORT_BYTES + report.machine.len() + list
}

impl ReportForwarding {
    /// How many workers report here.
    pub fn workers(&mut self, now: Time, report: Span) -> u32 {
        // Asked for with every report, so looking through all of them each time would cost by the
        // square of the fleet.
        if now - self.pruned >= PRUNE {
            let left = LEFT_LEAST.max(Span(report.0 * 5 / 4) + LEFT_SPARE);
            self.workers.retain(|_, heard| now - *heard < left);
            self.pruned = now;
        }
        self.workers.len() as u32
    }

    /// Whether a worker may be sent to a peer: if none reaches it, only one now and then, to see
    /// whether it can be reached again. A leader that was cut off from workers looked idle to the
    /// others, and they sent it all of theirs, again and again, until their leases ran out.
    pub(crate) fn may_send(
        &self,
        name: &NodeName,
        peer: &PeerStatus,
        report: Span,
        now: Time,
    ) -> bool {
        let pause = PAUSES * report.0 / u64::from(peer.workers.max(1));
        let reached = peer.workers > 0 && peer.agent_silence < UNREACHED.max(Span(pause));
        reached || self.trials.get(name).is_none_or(|t| now - *t > TRIAL)
    }

    /// The reports that wait longest, as many as a message holds; one at least if any wait.
    pub(crate) fn next_batch(&self) -> Vec<ForwardedReport> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for held in self.waiting.iter().take(BATCH_REPORTS) {
            let report = self.shortened(held);
            bytes += bytes_of(&report);
            if bytes > BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(report);
        }
        batch
    }

    fn shortened(&self, held: &HeldReport) -> ForwardedReport {
        let report = &held.report;
        let as_in = (self.taken.get(&report.machine))
            .filter(|(incarnation, _, tasks)| {
                *incarnation == report.incarnation && *tasks == report.tasks
            })
            .map(|(_, seq, _)| seq.0);
        let tasks = match as_in {
            Some(seq) if !held.whole => ForwardedTasks::SameAs(seq),
            _ => ForwardedTasks::Whole(json(report)),
        };
        ForwardedReport {
            machine: report.machine.to_string(),
            incarnation: report.incarnation.0,
            seq: report.seq.0,
            token: report.token.0,
            notice_s: report.notice_s,
            tasks,
        }
    }
}

impl Leader {
    pub(crate) fn apply_forwarded_report(
        &mut self,
        passed: ForwardedReport,
        job_cache: &JobCache,
        now: Now,
    ) -> ForwardedAnswer {
        let id = MachineId::from(passed.machine.as_str());
        let whole = matches!(passed.tasks, ForwardedTasks::Whole(_));
        let report = match passed.tasks {
            ForwardedTasks::Whole(text) => match serde_json::from_str::<StatusReport>(&text) {
                Ok(report) if report.machine == id => report,
                _ => return ForwardedAnswer::Refused,
            },
            ForwardedTasks::SameAs(seq) => {
                match self.repeat_report(&id, Incarnation(passed.incarnation), Seq(seq)) {
                    Some(mut report) => {
                        report.seq = Seq(passed.seq);
                        report.token = Epoch(passed.token);
                        report.notice_s = passed.notice_s;
                        report
                    }
                    None => return ForwardedAnswer::Whole,
                }
            }
        };
        let answer = self.answer_report(&report, job_cache, now);
        if let Some(machine) = self.fleet.machines.get_mut(&id).filter(|_| whole) {
            // What the peer may refer to from now on.
            if machine.last_message == MessageOrder::of(&report) {
                machine.reported_tasks.message = machine.last_message;
            }
        }
        match answer {
            Some(commands) if commands.is_empty() => ForwardedAnswer::Answered(None),
            Some(commands) => {
                let token = self.term.epoch();
                ForwardedAnswer::Answered(Some(json(&StatusReportReply { token, commands })))
            }
            None => ForwardedAnswer::Refused,
        }
    }

    /// A report that lists what an earlier one did, which this leader took in last.
    fn repeat_report(
        &self,
        id: &MachineId,
        incarnation: Incarnation,
        seq: Seq,
    ) -> Option<StatusReport> {
        let machine = self.fleet.machines.get(id)?;
        if machine.reported_tasks.message != (MessageOrder { incarnation, seq })
            || !self.recovery.is_complete
        {
            return None;
        }
        Some(StatusReport {
            machine: id.clone(),
            addr: machine.addr.clone()?,
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.is_spot,
            incarnation,
            seq,
            token: self.term.epoch(),
            notice_s: None,
            tasks: machine.reported_tasks.tasks.to_vec(),
        })
    }
}
