//! Leadership transfer: a leader that can't do its work gives up its term before its lease runs out, so that a node
//! that can is elected.
//!
//! The leader ends its lease, so that another node can win at once, and does not campaign for a while. There are two
//! reasons for a transfer:
//!
//! - Agents reach other nodes but not this one.
//! - This node has been far behind with its inputs for `FAR_BEHIND_TIMEOUT`, while the agents' leases last only several
//!   times that long. This is no reason soon after an election: all agents report at once then, and where all nodes are
//!   slow the next leader would be no better. Nodes would lead in turn, and recover the state each time.

use crate::leader::Leader;
use crate::leadership::step_down_reason::StepDownReason;
use crate::node::Node;
use crate::units::{Now, Span, Time};

/// A leader that no agent reaches for longer than this, while agents reach other nodes, transfers leadership.
const AGENTS_UNREACHABLE_TIMEOUT: Span = Span(5_000);
/// A leader that has been far behind with its inputs for this long transfers leadership.
const FAR_BEHIND_TIMEOUT: Span = Span(3_000);
/// Minimum time for which a leader has led before it transfers leadership because it is far behind.
const MIN_TERM_BEFORE_OVERLOAD: Span = Span(60_000);
/// Time for which a node does not campaign after it transferred leadership.
const CAMPAIGN_PAUSE: Span = Span(15_000);

impl Node {
    /// Transfers leadership if this leader can't do its work and another node probably can.
    pub(super) fn transfer_leadership_if_unfit(&mut self, now: Now) {
        let Some(reason) = self.transfer_reason(now.time) else {
            return;
        };
        self.election
            .pause_campaigns_until(now.time + CAMPAIGN_PAUSE);
        self.step_down(reason);
    }

    fn transfer_reason(&mut self, now: Time) -> Option<StepDownReason> {
        self.update_peers_reached_since(now);
        let leader = self.leader.as_ref()?;
        if self.is_unreachable_for_agents(leader, now) {
            return Some(StepDownReason::AgentsUnreachable);
        }
        let is_overloaded = self.backlog.far_behind_for(now) >= FAR_BEHIND_TIMEOUT
            && now - leader.term.elected_at() >= MIN_TERM_BEFORE_OVERLOAD
            && self.peers.first_served_by_store(now).is_some();
        is_overloaded.then_some(StepDownReason::Overloaded)
    }

    /// Updates the time since which agents have continuously reached other nodes.
    fn update_peers_reached_since(&mut self, now: Time) {
        if !self.peers.is_any_reached_by_agents(now) {
            self.peers_reached_since = None;
        } else if self.peers_reached_since.is_none() {
            self.peers_reached_since = Some(now);
        }
    }

    /// Returns whether no agent reaches this leader while agents reach others. The others must have been reached for as
    /// long: the first agents to start may merely have found another node first.
    fn is_unreachable_for_agents(&self, leader: &Leader, now: Time) -> bool {
        let is_long_ago = |since: Time| now - since > AGENTS_UNREACHABLE_TIMEOUT;
        self.peers_reached_since.is_some_and(is_long_ago)
            && is_long_ago(leader.term.elected_at())
            && self.last_report_at.is_none_or(is_long_ago)
            && !leader.fleet.machines.is_empty()
            && self.is_lack_of_reports_conclusive(leader, now)
    }

    /// Returns whether the lack of reports shows that agents can't reach this leader. In a large fleet hardly any agent
    /// may have been sent to this node, so direct calls must fail as well.
    fn is_lack_of_reports_conclusive(&self, leader: &Leader, now: Time) -> bool {
        !self.is_report_forwarding_on(leader.fleet.machines.len() as u32)
            || leader.fleet.reachability.reaches_no_agent(now)
    }
}

#[cfg(test)]
mod tests;
