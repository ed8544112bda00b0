//! Leadership transfer: a leader that can't do its work gives up its term before its lease runs out, so that a node
//! which can is elected.
//!
//! The lease is ended, so that another node can win at once, and this node does not campaign for a while. There are
//! two reasons. Agents reach other nodes but not this one; or this node has been far behind with its inputs for long,
//! while the agents' leases are only several times that. The second is no reason soon after an election: all agents
//! come at once then, and where all nodes are slow the next leader would be no better. They would lead by turns, and
//! recover the state each time.

use crate::leader::Leader;
use crate::leadership::step_down_reason::StepDownReason;
use crate::node::Node;
use crate::units::{Now, Span, Time};

/// A leader that no agent reaches for longer than this, while agents reach others, transfers leadership.
const AGENTS_UNREACHABLE_TIMEOUT: Span = Span(5_000);
/// So does one that has been far behind for so long.
const FAR_BEHIND_TIMEOUT: Span = Span(3_000);
/// But not before it has led for so long.
const MIN_TERM_BEFORE_OVERLOAD: Span = Span(60_000);
/// A node that transferred leadership does not campaign for so long.
const CAMPAIGN_PAUSE: Span = Span(15_000);

impl Node {
    /// Transfers leadership if this leader can't do its work and another node probably can.
    pub(super) fn transfer_leadership_if_unfit(&mut self, now: Now) {
        let Some(reason) = self.unfit_because(now.time) else {
            return;
        };
        self.election
            .pause_campaigns_until(now.time + CAMPAIGN_PAUSE);
        self.step_down(reason);
    }

    fn unfit_because(&mut self, now: Time) -> Option<StepDownReason> {
        self.update_peers_reached_since(now);
        let leader = self.leader.as_ref()?;
        if self.is_unreached_by_agents(leader, now) {
            return Some(StepDownReason::AgentsUnreachable);
        }
        let is_overloaded = self.backlog.far_behind_for(now) >= FAR_BEHIND_TIMEOUT
            && now - leader.term.elected_at() >= MIN_TERM_BEFORE_OVERLOAD
            && self.peers.first_served_by_store(now).is_some();
        is_overloaded.then_some(StepDownReason::Overloaded)
    }

    /// Notes since when agents have reached other nodes all the time.
    fn update_peers_reached_since(&mut self, now: Time) {
        if !self.peers.is_any_reached_by_agents(now) {
            self.peers_reached_since = None;
        } else if self.peers_reached_since.is_none() {
            self.peers_reached_since = Some(now);
        }
    }

    /// Whether no agent reaches this leader while agents reach others. The others must have been reached for as long:
    /// the first agents to come up may just have found another node first.
    fn is_unreached_by_agents(&self, leader: &Leader, now: Time) -> bool {
        let is_long_ago = |since: Time| now - since > AGENTS_UNREACHABLE_TIMEOUT;
        self.peers_reached_since.is_some_and(is_long_ago)
            && is_long_ago(leader.term.elected_at())
            && self.last_report_at.is_none_or(is_long_ago)
            && !leader.fleet.machines.is_empty()
            && self.is_lack_of_reports_conclusive(leader, now)
    }

    /// In a large fleet hardly any agent may have been sent to this node: then direct calls must fail, too.
    fn is_lack_of_reports_conclusive(&self, leader: &Leader, now: Time) -> bool {
        !self.is_report_forwarding_on(leader.fleet.machines.len() as u32)
            || leader.fleet.reachability.reaches_no_agent(now)
    }
}

#[cfg(test)]
mod tests;
