//! A leader that can't do its work makes way for one that can, before its lease runs out.
//!
//! Making way is a planned hand-over: the lease is ended, so that another node can win at once, and this one
//! holds off for a while.

use crate::leader::Leader;
use crate::leadership::step_down_reason::StepDownReason;
use crate::node::Node;
use crate::units::{Now, Span, Time};

/// A leader that no worker reaches for so long, while workers reach others, makes way.
const CUT_OFF: Span = Span(5_000);
/// So does one that has been far behind for so long: its workers have leases of several times that.
const FAR_BEHIND: Span = Span(3_000);
/// But not before it has led for so long. After a take-over all workers come at once, and where all nodes are
/// slow the next leader would be no better: they would lead by turns, and read the state back each time.
const LED_LONG: Span = Span(60_000);
/// A node that made way does not campaign for so long.
const HOLD_OFF: Span = Span(15_000);
/// A peer is near if it was heard so lately.
const NEAR: Span = Span(1_500);
/// Workers reach a node if one did so lately.
const REACHED: Span = Span(2_000);

impl Node {
    /// Makes way if this leader can't do its work and another node probably can.
    pub(crate) fn transfer_leadership_if_unfit(&mut self, now: Now) {
        let Some(why) = self.unfit_because(now.time) else {
            return;
        };
        self.election.hold_off = now.time + HOLD_OFF;
        self.step_down(why);
    }

    fn unfit_because(&mut self, now: Time) -> Option<StepDownReason> {
        if self.is_cut_off(now) {
            return Some(StepDownReason::AgentsUnreachable);
        }
        let leader = self.leader.as_ref()?;
        let slow = self.backlog.far_behind_for(now) >= FAR_BEHIND;
        let led_long = now - leader.term.elected_at >= LED_LONG;
        (slow && led_long && self.has_fit_peer(now)).then_some(StepDownReason::Overloaded)
    }

    /// Whether some peer could lead: it was heard lately and the state service answers it.
    fn has_fit_peer(&self, now: Time) -> bool {
        (self.peers.values())
            .any(|peer| now < peer.last_heartbeat_at + NEAR && peer.store_reachable)
    }

    /// Whether no worker reaches this leader while they reach others.
    fn is_cut_off(&mut self, now: Time) -> bool {
        let reached = self.peers.values().any(|peer| {
            now < peer.last_heartbeat_at + NEAR
                && peer.agent_silence < REACHED
                && peer.store_reachable
        });
        // The first workers to come up may just have found another node first.
        if !reached {
            self.peers_reached_since = None;
        } else if self.peers_reached_since.is_none() {
            self.peers_reached_since = Some(now);
        }
        let silence = |since: Time| now - since > CUT_OFF;
        let others_long = self.peers_reached_since.is_some_and(silence);
        let Some(leader) = &self.leader else {
            return false;
        };
        let heard_nobody =
            silence(leader.term.elected_at) && self.last_report_at.is_none_or(silence);
        let has_machines = !leader.fleet.machines.is_empty();
        others_long && heard_nobody && has_machines && self.is_unreached(leader, now)
    }

    /// In a large fleet, hardly any worker may have been sent here: then calls must fail, too.
    fn is_unreached(&self, leader: &Leader, now: Time) -> bool {
        !self.is_report_forwarding_on(leader.fleet.machines.len() as u32)
            || leader.reaches_no_agent(now)
    }
}

#[cfg(test)]
mod tests;
