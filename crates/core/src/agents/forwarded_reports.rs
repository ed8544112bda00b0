//! Applies the status reports that peers forward to the leader.

use crate::cache::job_cache::JobCache;
use crate::fleet::MessageOrder;
use crate::io::json;
use crate::leader::Leader;
use crate::units::Now;
use rudderreel_wire::ids::{FencingToken, Incarnation, MachineId, Seq};
use rudderreel_wire::peer::{ForwardedAnswer, ForwardedReport, ForwardedTasks};
use rudderreel_wire::worker::{StatusReport, StatusReportReply};

impl Leader {
    /// Reconciles a forwarded report, and returns what the peer has to answer the agent.
    pub(crate) fn apply_forwarded_report(
        &mut self,
        forwarded: ForwardedReport,
        job_cache: &JobCache,
        now: Now,
    ) -> ForwardedAnswer {
        let is_whole = matches!(forwarded.tasks, ForwardedTasks::Whole(_));
        let report = match self.restore_report(forwarded) {
            Ok(report) => report,
            Err(answer) => return answer,
        };
        let answer = self.answer_report(&report, job_cache, now);
        if is_whole {
            self.remember_forwarded_list(&report);
        }
        // What a peer answers by itself if the leader names no commands.
        let default_reply = StatusReportReply::without_commands(self.term.tokens().first);
        match answer {
            Some(reply) if reply == default_reply => ForwardedAnswer::Answered(None),
            Some(reply) => ForwardedAnswer::Answered(Some(json(&reply))),
            None => ForwardedAnswer::Refused,
        }
    }

    /// Returns the agent's report, or the answer to the peer if the report can't be restored.
    fn restore_report(&self, forwarded: ForwardedReport) -> Result<StatusReport, ForwardedAnswer> {
        let id = MachineId::from(forwarded.machine.as_str());
        match forwarded.tasks {
            ForwardedTasks::Whole(text) => (serde_json::from_str::<StatusReport>(&text).ok())
                .filter(|report| report.machine == id)
                .ok_or(ForwardedAnswer::Refused),
            ForwardedTasks::SameAs(seq) => {
                let list = MessageOrder {
                    incarnation: Incarnation(forwarded.incarnation),
                    seq: Seq(seq),
                };
                let repeated = (self.report_with_list(&id, list)).ok_or(ForwardedAnswer::Whole)?;
                Ok(StatusReport {
                    seq: Seq(forwarded.seq),
                    token: FencingToken(forwarded.token),
                    reclaim_in_s: forwarded.reclaim_in_s,
                    ..repeated
                })
            }
        }
    }

    /// Returns a report with the list of tasks of an earlier message, if that is the last list that this leader has
    /// applied.
    fn report_with_list(&self, id: &MachineId, list: MessageOrder) -> Option<StatusReport> {
        let machine = self.fleet.machines.get(id)?;
        if machine.reported_tasks.message != list || !self.recovery.is_complete() {
            return None;
        }
        Some(StatusReport {
            machine: id.clone(),
            addr: machine.addr.clone()?,
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.is_spot,
            incarnation: list.incarnation,
            seq: list.seq,
            token: machine.acknowledged_token,
            reclaim_in_s: None,
            tasks: machine.reported_tasks.tasks.to_vec(),
        })
    }

    /// Records that the peer refers to the list of a whole report from now on, also if an earlier message had the same
    /// list.
    fn remember_forwarded_list(&mut self, report: &StatusReport) {
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            if machine.last_message == MessageOrder::of(report) {
                machine.reported_tasks.message = machine.last_message;
            }
        }
    }
}
