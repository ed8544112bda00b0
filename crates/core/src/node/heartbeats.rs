//! Heartbeats between the nodes, the lease votes and acknowledgements that their replies carry, and the answer to the
//! load balancer's health check.
//!
//! A heartbeat goes to every peer at a fixed interval. It requests a lease vote if its sender leads, or could stand in
//! for the leader. A reply that names the leader's own epoch acknowledges that epoch. Votes and acknowledgements count
//! from the sending of the heartbeat, so a late reply counts for a shorter time.

use crate::api::refusal::Refusal;
use crate::api::user_requests::TaskProgress;
use crate::io::{Output, ReqId};
use crate::leader::Leader;
use crate::leadership::election::VoteRequester;
use crate::leadership::step_down_reason::StepDownReason;
use crate::node::Node;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Epoch, JobId, NodeName, Zone};
use rudderreel_wire::peer::{Count, Heartbeat, HeartbeatReply, MAX_MESSAGE_BYTES};

/// Interval of the heartbeats to the other nodes.
const HEARTBEAT_INTERVAL: Span = Span(500);
/// One in this many heartbeats carries the leader's task counts, which are large and only for display.
const HEARTBEATS_PER_COUNTS: u64 = 4;
/// Maximum size of one job's counts in a heartbeat, in bytes.
const MAX_COUNT_BYTES: usize = 40;
/// Maximum number of jobs whose task counts a heartbeat carries, so that it fits into a message.
const MAX_COUNTS: usize = MAX_MESSAGE_BYTES / 2 / MAX_COUNT_BYTES;

impl Node {
    /// Sends a heartbeat if one is due.
    pub(super) fn heartbeat_tick(&mut self, now: Now) {
        if now.time >= self.next_heartbeat_at {
            self.next_heartbeat_at = now.time + HEARTBEAT_INTERVAL;
            self.send_heartbeat(now);
        }
    }

    fn send_heartbeat(&mut self, now: Now) {
        self.heartbeats_sent += 1;
        let counts = self.counts_to_send();
        if let Some(counts) = &counts {
            self.update_task_progress(counts);
        }
        let heartbeat = self.build_heartbeat(counts, now);
        self.out.push(Output::Heartbeat(heartbeat));
        self.update_old_leaders_fenced_at(now.time);
    }

    /// Returns the task counts for the next heartbeat; `None` if it carries none.
    fn counts_to_send(&self) -> Option<Vec<Count>> {
        let carries_counts = self.heartbeats_sent % HEARTBEATS_PER_COUNTS == 1;
        let leader = self.leader.as_ref().filter(|_| carries_counts)?;
        Some(task_counts(leader))
    }

    fn build_heartbeat(&mut self, counts: Option<Vec<Count>>, now: Now) -> Heartbeat {
        let agents = self.reported_load(now.time);
        let leader = self.leader.as_ref();
        Heartbeat {
            from: self.settings.node.to_string(),
            epoch: leader.map_or(self.election.epoch(), |leader| leader.term.epoch()),
            leads: leader.is_some(),
            store_reachable: self.election.store_reachable(now.time),
            requests_lease_vote: leader.is_some() || self.election.could_stand_in(now.time),
            machines: leader.map_or(0, Leader::fleet_size),
            agents,
            forwards_reports: leader.is_some() || self.reachable_leader(now.time).is_some(),
            agent_silence_ms: self.agent_silence(now.time).0,
            partitioned_zones: (leader
                .iter()
                .flat_map(|leader| leader.fleet.partitioned_zones.iter()))
            .map(|(zone, since)| (zone.to_string(), (now.time - since).0))
            .collect(),
            counts,
            cancellation_watermark: self.cancellations.watermark(),
        }
    }

    fn update_task_progress(&mut self, counts: &[Count]) {
        let progress_by_job = counts.iter().filter_map(|count| {
            let job: JobId = count.job.parse().ok()?;
            let progress = TaskProgress {
                done: count.done,
                running: count.running,
            };
            Some((job, progress))
        });
        self.task_progress = progress_by_job.collect();
    }

    /// Returns the numbers of done and running tasks of a job, as the leader last counted them.
    pub(crate) fn task_progress(&self, id: &JobId) -> TaskProgress {
        self.task_progress.get(id).copied().unwrap_or_default()
    }

    /// Handles a peer's heartbeat: records its content, decides on the lease vote, and replies.
    pub(super) fn heartbeat_received(&mut self, req: ReqId, heartbeat: Heartbeat, now: Now) {
        self.record_peer_heartbeat(&heartbeat, now);
        let is_from_leader = heartbeat.leads && heartbeat.epoch >= self.election.epoch();
        if is_from_leader {
            self.election.observe_leader(now.time);
        }
        let catchup = self.catch_up_for(&heartbeat);
        // The requester must know every cancellation that this node knows.
        let is_caught_up = catchup.as_ref().is_some_and(|offer| offer.is_complete);
        let requester = if heartbeat.leads {
            VoteRequester::Leader
        } else {
            VoteRequester::StandIn
        };
        let grants_lease_vote =
            is_caught_up && (self.election).grant_lease_vote(now.time, heartbeat.epoch, requester);
        // Lease votes, and the catch-up that comes with them, are needed only in an outage of the store.
        let catchup = catchup.filter(|_| !self.election.store_reachable(now.time));
        self.election.observe_epoch(heartbeat.epoch, now.time);
        if is_from_leader {
            self.record_leader_view(&heartbeat, now.time);
        }
        self.step_down_if_outdated(heartbeat.epoch);
        let reply = HeartbeatReply {
            from: self.settings.node.to_string(),
            epoch: self.election.epoch(),
            store_reachable: self.election.store_reachable(now.time),
            grants_lease_vote,
            agent_silence_ms: self.agent_silence(now.time).0,
            cancellation_watermark: self.cancellations.watermark(),
            catchup: catchup.map(|offer| offer.catchup),
        };
        self.out.push(Output::AnswerHeartbeat(req, reply));
    }

    fn record_peer_heartbeat(&mut self, heartbeat: &Heartbeat, now: Now) {
        let name = NodeName::from(heartbeat.from.as_str());
        let silence = Span(heartbeat.agent_silence_ms);
        self.peers
            .record_contact(&name, heartbeat.store_reachable, silence, now.time);
        self.peers.record_heartbeat(&name, heartbeat);
        self.agent_balancer.peer_load_updated(&name);
    }

    /// Records what the leader reports about the fleet, which a follower can't observe itself.
    fn record_leader_view(&mut self, heartbeat: &Heartbeat, now: Time) {
        self.leader_machines = heartbeat.machines;
        self.leader_partitioned_zones = (heartbeat.partitioned_zones.iter())
            .map(|(zone, ms)| (Zone::from(zone.as_str()), Time(now.0.saturating_sub(*ms))))
            .collect();
        if let Some(counts) = &heartbeat.counts {
            self.update_task_progress(counts);
        }
    }

    /// Handles a peer's reply to a heartbeat that was sent at `sent`.
    pub(super) fn heartbeat_reply_received(
        &mut self,
        sent: Time,
        mut reply: HeartbeatReply,
        now: Now,
    ) {
        // The catch-up must be applied before the lease vote in the same reply counts.
        self.apply_catch_up(&mut reply);
        let name = NodeName::from(reply.from.as_str());
        let silence = Span(reply.agent_silence_ms);
        self.peers
            .record_contact(&name, reply.store_reachable, silence, now.time);
        self.election.observe_epoch(reply.epoch, now.time);
        self.step_down_if_outdated(reply.epoch);
        if self.peers.contains(&name) {
            self.record_vote_and_acknowledgement(name, sent, &reply, now);
        }
    }

    fn record_vote_and_acknowledgement(
        &mut self,
        peer: NodeName,
        sent: Time,
        reply: &HeartbeatReply,
        now: Now,
    ) {
        let Some(leader) = self.leader.as_mut() else {
            if reply.grants_lease_vote {
                self.election.record_lease_vote(peer, sent);
            }
            return;
        };
        if reply.grants_lease_vote {
            leader.term.record_lease_vote(peer.clone(), sent);
        }
        if reply.epoch == leader.term.epoch() {
            leader.term.record_acknowledgement(peer, sent);
            self.update_old_leaders_fenced_at(now.time);
        }
    }

    /// Steps down if `epoch` is higher than this leader's own: then another node leads, unless this leader is just
    /// bumping its own epoch.
    fn step_down_if_outdated(&mut self, epoch: Epoch) {
        let is_outdated = (self.leader.as_ref())
            .is_some_and(|leader| epoch > leader.term.epoch() && !leader.term.is_bumping_epoch());
        if is_outdated {
            self.step_down(StepDownReason::HigherEpoch);
        }
    }

    /// Updates the time from which no older leader answers agents and no node stands in for this leader: once a
    /// majority has acknowledged the epoch for longer than a lease vote is valid, and as long as the majority keeps
    /// acknowledging.
    pub(crate) fn update_old_leaders_fenced_at(&mut self, now: Time) {
        let majority = self.election.majority();
        let may_have_superseded =
            !self.job_cache.is_complete() || self.job_cache.dependencies_in_use();
        if let Some(leader) = self.leader.as_mut() {
            (leader.term).update_old_leaders_fenced_at(now, majority, may_have_superseded);
        }
    }

    /// Returns the time since an agent last reported to this node.
    fn agent_silence(&self, now: Time) -> Span {
        self.last_report_at.map_or(Span(u64::MAX), |at| now - at)
    }

    /// Answers the load balancer's health check: a node is healthy if the store answers it, or answers a peer that it
    /// can forward requests to.
    pub(super) fn health_check_received(&mut self, req: ReqId, now: Now) {
        let is_peer_served = self.peers.first_served_by_store(now.time).is_some();
        if self.election.store_reachable(now.time) || is_peer_served {
            self.answer(req, 200, "{}".into());
        } else {
            self.refuse(req, Refusal::StoreUnreachable);
        }
    }
}

/// Returns a leader's task counts by job, for at most [`MAX_COUNTS`] jobs. Jobs with neither done nor running tasks are
/// omitted, and a job that is omitted counts as having none.
fn task_counts(leader: &Leader) -> Vec<Count> {
    let running = leader.running_tasks_by_job();
    (leader.jobs.iter())
        .map(|(id, job)| (id, job.done.len(), running.get(id).copied().unwrap_or(0)))
        .filter(|(_, done, running)| done + running > 0)
        .take(MAX_COUNTS)
        .map(|(id, done, running)| Count {
            job: id.to_string(),
            done,
            running,
        })
        .collect()
}

#[cfg(test)]
mod tests;
