//! What the nodes tell one another of themselves, and what the load balancer is told.

use crate::core::Core;
use crate::election::{CONTACT, LEASE, WORD};
use crate::io::{Output, ReqId};
use crate::lead::Lead;
use crate::units::{Now, Span, Time};
use rudderreel_wire::ids::{Epoch, JobId, NodeName, Zone};
use rudderreel_wire::peer::{Count, Heartbeat, HeartbeatReply, MAX_MESSAGE_BYTES};

/// Jobs whose tasks a heartbeat counts, at most: an entry has fewer than 40 bytes, and the whole has to
/// fit into a message. They are for display.
const MOST_COUNTS: usize = MAX_MESSAGE_BYTES / 2 / 40;

impl Core {
    pub(crate) fn beat(&mut self, now: Now) {
        self.beats += 1;
        let counts = match &self.lead {
            // They are for display, and many: not with every heartbeat.
            Some(lead) if self.beats % 4 == 1 => {
                let running = lead.running();
                // Of what is not named nothing is done and nothing runs.
                let counts: Vec<Count> = (lead.jobs.iter())
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
            self.learn_counts(counts);
        }
        let load = self.load(now.time);
        self.out.push(Output::Heartbeat(Heartbeat {
            from: self.settings.node.to_string(),
            epoch: self.lead.as_ref().map_or(self.election.epoch, |l| l.epoch),
            leads: self.lead.is_some(),
            state_ok: self.election.state_ok(now.time),
            asks_word: self.lead.is_some() || self.election.would_care(now.time),
            machines: self.lead.as_ref().map_or(0, Lead::fleet_size),
            workers: load,
            passes: self.lead.is_some() || self.near_leader(now.time).is_some(),
            worker_silence_ms: self.worker_silence(now.time).0,
            dark: (self.lead.iter().flat_map(|l| &l.dark))
                .map(|(zone, since)| (zone.to_string(), (now.time - *since).0))
                .collect(),
            counts,
            known_to: self.cancellations.known_to,
        }));
        self.note_fence(now.time);
    }

    fn learn_counts(&mut self, counts: &[Count]) {
        self.counts = (counts.iter())
            .filter_map(|c| Some((c.job.parse().ok()?, (c.done, c.running))))
            .collect();
    }

    /// Tasks of a job that are done and that run, for display.
    pub(crate) fn counts(&self, id: &JobId) -> (u32, u32) {
        self.counts.get(id).copied().unwrap_or_default()
    }

    pub(crate) fn heartbeat(&mut self, req: ReqId, beat: Heartbeat, now: Now) {
        let silence = Span(beat.worker_silence_ms);
        self.note_peer(&beat.from, beat.state_ok, silence, now.time);
        self.note_load(&beat);
        if beat.leads && beat.epoch >= self.election.epoch {
            self.election.hear_leader(now.time);
        }
        let catchup = self.catchup_for(&beat);
        let whole = catchup.as_ref().is_some_and(|(_, whole)| *whole);
        let word = whole && self.election.give_word(now.time, beat.epoch, beat.leads);
        // Only an outage makes words, and catching up by them, needed.
        let catchup = catchup.filter(|_| !self.election.state_ok(now.time));
        self.election.hear_epoch(beat.epoch, now.time);
        if beat.leads && beat.epoch >= self.election.epoch {
            self.leader_machines = beat.machines;
            self.leader_dark = (beat.dark.iter())
                .map(|(zone, ms)| {
                    (
                        Zone::from(zone.as_str()),
                        Time(now.time.0.saturating_sub(*ms)),
                    )
                })
                .collect();
            if let Some(counts) = &beat.counts {
                self.learn_counts(counts);
            }
        }
        self.check_epoch(beat.epoch);
        let reply = HeartbeatReply {
            from: self.settings.node.to_string(),
            epoch: self.election.epoch,
            state_ok: self.election.state_ok(now.time),
            word,
            worker_silence_ms: self.worker_silence(now.time).0,
            known_to: self.cancellations.known_to,
            catchup: catchup.map(|(catchup, _)| catchup),
        };
        self.out.push(Output::AnswerHeartbeat(req, reply));
    }

    pub(crate) fn heartbeat_reply(&mut self, sent: Time, mut reply: HeartbeatReply, now: Now) {
        self.catch_up(&mut reply);
        let silence = Span(reply.worker_silence_ms);
        self.note_peer(&reply.from, reply.state_ok, silence, now.time);
        self.election.hear_epoch(reply.epoch, now.time);
        self.check_epoch(reply.epoch);
        let name = NodeName::from(reply.from.as_str());
        if let Some(lead) = self.lead.as_mut() {
            if !self.peers.contains_key(&name) {
                return;
            }
            if reply.word {
                let at = lead.words.entry(name.clone()).or_insert(sent);
                *at = (*at).max(sent);
            }
            if reply.epoch == lead.epoch {
                let at = lead.acks.entry(name).or_insert(sent);
                *at = (*at).max(sent);
                self.note_fence(now.time);
            }
        } else if reply.word && self.peers.contains_key(&name) {
            self.election.hear_word(name, sent);
        }
    }

    /// A higher epoch than this leader's own means that another node leads.
    pub(crate) fn check_epoch(&mut self, epoch: Epoch) {
        let raising = self.lead.as_ref().is_some_and(|l| l.raised.1);
        if !raising && self.lead.as_ref().is_some_and(|l| epoch > l.epoch) {
            self.step_down("a higher epoch is known");
        }
    }

    /// Once a majority has acknowledged the epoch, no older leader goes on, and nobody takes care
    /// in this one's place, for longer than a word is good for: as long as the majority goes on
    /// acknowledging.
    pub(crate) fn note_fence(&mut self, now: Time) {
        let majority = self.election.majority();
        let superseding = !self.job_cache.complete || self.job_cache.dependencies_in_use();
        if let Some(lead) = self.lead.as_mut() {
            let acks = lead.acks.values().filter(|&&sent| now < sent + CONTACT);
            if acks.count() + 1 < majority {
                lead.fence = None;
            } else if lead.fence.is_none() {
                let fence = now + WORD.with_drift();
                // A leader that was superseded goes on by its own clock for so long.
                let superseded_until = lead.since + LEASE.with_drift();
                lead.fence = Some(if superseding {
                    fence.max(superseded_until)
                } else {
                    fence
                });
            }
        }
    }

    fn note_load(&mut self, beat: &Heartbeat) {
        let name = NodeName::from(beat.from.as_str());
        self.forwarding.sent.remove(&name);
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.leads = beat.leads;
            peer.epoch = beat.epoch;
            peer.workers = beat.workers;
            peer.passes = beat.passes;
        }
    }

    /// How long no worker has reported here.
    pub(crate) fn worker_silence(&self, now: Time) -> Span {
        self.last_report.map_or(Span(u64::MAX), |t| now - t)
    }

    fn note_peer(&mut self, name: &str, state_ok: bool, silence: Span, now: Time) {
        if let Some(peer) = self.peers.get_mut(&NodeName::from(name)) {
            peer.heard = now;
            peer.state_ok = state_ok;
            peer.worker_silence = silence;
        }
    }

    pub(crate) fn health(&mut self, req: ReqId, now: Now) {
        let peer = (self.peers.values()).any(|p| p.state_ok && now.time < p.heard + Span(1_500));
        if self.election.state_ok(now.time) || peer {
            self.answer(req, 200, "{}".into());
        } else {
            self.refuse(req, "the state service does not answer");
        }
    }
}

#[cfg(test)]
mod tests;
