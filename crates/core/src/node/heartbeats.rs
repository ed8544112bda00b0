//! What the nodes tell one another of themselves, and what the load balancer is told.

use crate::api::refusal::Refusal;
use crate::io::{Output, ReqId};
use crate::leader::Leader;
use crate::leadership::step_down_reason::StepDownReason;
use crate::node::Node;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Epoch, JobId, NodeName, Zone};
use rudderreel_wire::peer::{Count, Heartbeat, HeartbeatReply, MAX_MESSAGE_BYTES};

/// Jobs whose tasks a heartbeat counts, at most: an entry has fewer than 40 bytes, and the whole has to
/// fit into a message. They are for display.
const MOST_COUNTS: usize = MAX_MESSAGE_BYTES / 2 / 40;

impl Node {
    pub(crate) fn send_heartbeat(&mut self, now: Now) {
        self.heartbeats_sent += 1;
        let counts = match &self.leader {
            // They are for display, and many: not with every heartbeat.
            Some(leader) if self.heartbeats_sent % 4 == 1 => {
                let running = leader.running_tasks_by_job();
                // Of what is not named nothing is done and nothing runs.
                let counts: Vec<Count> = (leader.jobs.iter())
                    .map(|(id, job)| (id, job.done.len(), running.get(id).copied().unwrap_or(0)))
                    .filter(|(_, done, running)| done + running > 0)
                    .take(MOST_COUNTS)
                    .map(|(id, done, running)| Count {
                        job: id.to_string(),
                        done,
                        running,
                    })
                    .collect();
                Some(counts)
            }
            _ => None,
        };
        if let Some(counts) = &counts {
            self.update_task_counts(counts);
        }
        let load = self.reported_load(now.time);
        self.out.push(Output::Heartbeat(Heartbeat {
            from: self.settings.node.to_string(),
            epoch: self
                .leader
                .as_ref()
                .map_or(self.election.epoch, |l| l.term.epoch),
            leads: self.leader.is_some(),
            store_reachable: self.election.store_reachable(now.time),
            requests_lease_vote: self.leader.is_some() || self.election.could_stand_in(now.time),
            machines: self.leader.as_ref().map_or(0, Leader::fleet_size),
            workers: load,
            forwards_reports: self.leader.is_some() || self.reachable_leader(now.time).is_some(),
            worker_silence_ms: self.agent_silence(now.time).0,
            partitioned_zones: (self.leader.iter().flat_map(|l| &l.fleet.partitioned_zones))
                .map(|(zone, since)| (zone.to_string(), (now.time - *since).0))
                .collect(),
            counts,
            cancellation_watermark: self.cancellations.watermark(),
        }));
        self.update_old_leaders_fenced_at(now.time);
    }

    fn update_task_counts(&mut self, counts: &[Count]) {
        self.task_counts = (counts.iter())
            .filter_map(|c| Some((c.job.parse().ok()?, (c.done, c.running))))
            .collect();
    }

    /// Tasks of a job that are done and that run, for display.
    pub(crate) fn task_counts(&self, id: &JobId) -> (u32, u32) {
        self.task_counts.get(id).copied().unwrap_or_default()
    }

    pub(crate) fn heartbeat(&mut self, req: ReqId, heartbeat: Heartbeat, now: Now) {
        let silence = Span(heartbeat.worker_silence_ms);
        self.update_peer(
            &heartbeat.from,
            heartbeat.store_reachable,
            silence,
            now.time,
        );
        self.update_peer_load(&heartbeat);
        if heartbeat.leads && heartbeat.epoch >= self.election.epoch {
            self.election.observe_leader(now.time);
        }
        let catchup = self.catch_up_for(&heartbeat);
        let whole = catchup.as_ref().is_some_and(|offer| offer.is_complete);
        let grants_lease_vote = whole
            && self
                .election
                .grant_lease_vote(now.time, heartbeat.epoch, heartbeat.leads);
        // Only an outage makes words, and catching up by them, needed.
        let catchup = catchup.filter(|_| !self.election.store_reachable(now.time));
        self.election.observe_epoch(heartbeat.epoch, now.time);
        if heartbeat.leads && heartbeat.epoch >= self.election.epoch {
            self.leader_machines = heartbeat.machines;
            self.leader_partitioned_zones = (heartbeat.partitioned_zones.iter())
                .map(|(zone, ms)| {
                    (
                        Zone::from(zone.as_str()),
                        Time(now.time.0.saturating_sub(*ms)),
                    )
                })
                .collect();
            if let Some(counts) = &heartbeat.counts {
                self.update_task_counts(counts);
            }
        }
        self.check_epoch(heartbeat.epoch);
        let reply = HeartbeatReply {
            from: self.settings.node.to_string(),
            epoch: self.election.epoch,
            store_reachable: self.election.store_reachable(now.time),
            grants_lease_vote,
            worker_silence_ms: self.agent_silence(now.time).0,
            cancellation_watermark: self.cancellations.watermark(),
            catchup: catchup.map(|offer| offer.catchup),
        };
        self.out.push(Output::AnswerHeartbeat(req, reply));
    }

    pub(crate) fn heartbeat_reply(&mut self, sent: Time, mut reply: HeartbeatReply, now: Now) {
        self.catch_up(&mut reply);
        let silence = Span(reply.worker_silence_ms);
        self.update_peer(&reply.from, reply.store_reachable, silence, now.time);
        self.election.observe_epoch(reply.epoch, now.time);
        self.check_epoch(reply.epoch);
        let name = NodeName::from(reply.from.as_str());
        if let Some(leader) = self.leader.as_mut() {
            if !self.peers.contains_key(&name) {
                return;
            }
            if reply.grants_lease_vote {
                leader.term.record_lease_vote(name.clone(), sent);
            }
            if reply.epoch == leader.term.epoch {
                leader.term.record_acknowledgement(name, sent);
                self.update_old_leaders_fenced_at(now.time);
            }
        } else if reply.grants_lease_vote && self.peers.contains_key(&name) {
            self.election.record_lease_vote(name, sent);
        }
    }

    /// A higher epoch than this leader's own means that another node leads.
    pub(crate) fn check_epoch(&mut self, epoch: Epoch) {
        let raising = self
            .leader
            .as_ref()
            .is_some_and(|l| l.term.epoch_bump.in_progress);
        if !raising && self.leader.as_ref().is_some_and(|l| epoch > l.term.epoch) {
            self.step_down(StepDownReason::HigherEpoch);
        }
    }

    /// Once a majority has acknowledged the epoch, no older leader goes on, and nobody takes care
    /// in this one's place, for longer than a word is good for: as long as the majority goes on
    /// acknowledging.
    pub(crate) fn update_old_leaders_fenced_at(&mut self, now: Time) {
        let majority = self.election.majority();
        let superseding = !self.job_cache.is_complete || self.job_cache.dependencies_in_use();
        if let Some(leader) = self.leader.as_mut() {
            (leader.term).update_old_leaders_fenced_at(now, majority, superseding);
        }
    }

    fn update_peer_load(&mut self, heartbeat: &Heartbeat) {
        let name = NodeName::from(heartbeat.from.as_str());
        self.forwarding.sent.remove(&name);
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.leads = heartbeat.leads;
            peer.epoch = heartbeat.epoch;
            peer.workers = heartbeat.workers;
            peer.forwards_reports = heartbeat.forwards_reports;
        }
    }

    /// How long no worker has reported here.
    pub(crate) fn agent_silence(&self, now: Time) -> Span {
        self.last_report_at.map_or(Span(u64::MAX), |t| now - t)
    }

    fn update_peer(&mut self, name: &str, store_reachable: bool, silence: Span, now: Time) {
        if let Some(peer) = self.peers.get_mut(&NodeName::from(name)) {
            peer.last_heartbeat_at = now;
            peer.store_reachable = store_reachable;
            peer.agent_silence = silence;
        }
    }

    pub(crate) fn health(&mut self, req: ReqId, now: Now) {
        let peer = (self.peers.values())
            .any(|p| p.store_reachable && now.time < p.last_heartbeat_at + Span(1_500));
        if self.election.store_reachable(now.time) || peer {
            self.answer(req, 200, "{}".into());
        } else {
            self.refuse(req, Refusal::StoreUnreachable);
        }
    }
}

#[cfg(test)]
mod tests;
