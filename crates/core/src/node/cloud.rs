//! Makes the calls to the cloud that are due, and handles the cloud's answers.

use crate::capacity::scale_in::{MachinesToReturn, ReturnUrgency};
use crate::cloud::calls::PendingCloudCall;
use crate::fleet::{Machine, MachineDescription};
use crate::io::{CallId, CloudAnswer};
use crate::node::Node;
use crate::units::{Now, Span, Time};
use rudderreel_wire::cloud::{Catalog, MachineNames, MachinePage, ScaleOutRequest};
use rudderreel_wire::ids::MachineId;

/// Interval at which idle machines are returned together, since few calls to the cloud are allowed.
const RETURN_INTERVAL: Span = Span(2_000);
/// Time for which a follower waits for the stored machine types before it requests them from the cloud.
const FOLLOWER_CATALOG_INTERVAL: Span = Span(10_000);
/// Delay before the machine types are read again after a call for them had no answer.
const CATALOG_RETRY_INTERVAL: Span = Span(5_000);
/// Interval at which the machine types are read.
const CATALOG_INTERVAL: Span = Span(60_000);
/// Minimum time between two readings of the machine list.
const MIN_LIST_INTERVAL: Span = Span(4_000);
/// Time for which no calls are made after one was refused or had no answer.
const REFUSED_CALL_PAUSE: Span = Span(700);

impl Node {
    /// Sends queued calls to the cloud, if this node leads.
    pub(crate) fn send_cloud_calls(&mut self, now: Now) {
        if self.leader.is_some() {
            self.cloud.send_queued(now.time, &mut self.out);
        }
    }

    /// Requests the machine types from the cloud if this node is a follower and the stored ones did not arrive in time:
    /// they may be too large to be stored.
    pub(crate) fn fetch_catalog(&mut self, now: Now) {
        if self.leader.is_some() || self.catalog.is_some() || !self.job_cache.is_complete() {
            return;
        }
        let cloud = &mut self.cloud;
        if cloud.next_catalog == Time(0) {
            cloud.next_catalog = now.time + FOLLOWER_CATALOG_INTERVAL;
        }
        if now.time >= cloud.next_catalog {
            cloud.next_catalog = now.time + FOLLOWER_CATALOG_INTERVAL;
            cloud.enqueue(PendingCloudCall::Catalog);
        }
        cloud.send_queued(now.time, &mut self.out);
    }

    /// Makes the leader's calls to the cloud that are due.
    pub(crate) fn call_cloud_if_due(&mut self, now: Now) {
        let Some(leader) = &self.leader else {
            return;
        };
        let may_change_fleet = leader.recovery.is_complete() && leader.term.may_act(now.time);
        self.read_catalog_if_due(now);
        if may_change_fleet {
            self.return_machines(now);
            self.repeat_scale_out_requests();
            self.list_machines_if_due(now);
        }
        self.cloud.send_queued(now.time, &mut self.out);
    }

    fn read_catalog_if_due(&mut self, now: Now) {
        let is_pending = (self.cloud).has_pending(|call| matches!(call, PendingCloudCall::Catalog));
        if now.time >= self.cloud.next_catalog && !is_pending {
            self.cloud.next_catalog = now.time + CATALOG_RETRY_INTERVAL;
            self.cloud.enqueue(PendingCloudCall::Catalog);
        }
    }

    /// Returns machines to the cloud: urgent ones at once, idle ones together.
    fn return_machines(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let MachinesToReturn { machines, urgency } = leader.machines_to_return(now);
        let is_due = match urgency {
            ReturnUrgency::Immediate => true,
            ReturnUrgency::CanWait => !machines.is_empty() && now.time >= self.cloud.next_return,
        };
        if is_due {
            self.cloud.next_return = now.time + RETURN_INTERVAL;
            leader.record_return_request(&machines, now);
            self.cloud.enqueue(PendingCloudCall::ScaleIn(machines));
        }
    }

    /// Queues a call for each open scale-out request that has no pending call.
    fn repeat_scale_out_requests(&mut self) {
        let Some(leader) = &self.leader else {
            return;
        };
        for request in leader.scale_out.open_requests() {
            let is_pending = self.cloud.has_pending(|call| {
                matches!(call, PendingCloudCall::ScaleOut(other) if other.request == request.request)
            });
            if !is_pending {
                let call = PendingCloudCall::ScaleOut(request.clone());
                self.cloud.enqueue(call);
            }
        }
    }

    fn list_machines_if_due(&mut self, now: Now) {
        let Some(leader) = &self.leader else {
            return;
        };
        let is_pending = (self.cloud).has_pending(|call| matches!(call, PendingCloudCall::List(_)));
        if now.time >= self.cloud.next_list && !is_pending {
            let min_listing_interval = self.cloud.min_listing_interval(leader.fleet.machines.len());
            let interval = MIN_LIST_INTERVAL
                .max(self.list_lag)
                .max(min_listing_interval);
            self.cloud.next_list = now.time + interval;
            self.cloud.enqueue(PendingCloudCall::List(None));
        }
    }

    /// Handles the cloud's answer to a call.
    pub(crate) fn cloud_call_answered(&mut self, id: CallId, answer: CloudAnswer, now: Now) {
        let Some(call) = self.cloud.take_answered(id) else {
            return;
        };
        if matches!(answer, CloudAnswer::Refused | CloudAnswer::Unknown) {
            self.cloud.pause_until(now.time + REFUSED_CALL_PAUSE);
        }
        match (call, answer) {
            (PendingCloudCall::Catalog, CloudAnswer::Catalog(catalog)) => {
                self.catalog_read(catalog, now);
            }
            (PendingCloudCall::ScaleOut(request), answer) => {
                self.scale_out_answered(&request, answer, now);
            }
            (PendingCloudCall::ScaleIn(machines), CloudAnswer::Returned) => {
                self.machines_returned(&machines, now);
            }
            // A list has many pages. If it were read from the beginning after each refused page, the remaining pages
            // would not be read for a long time.
            (PendingCloudCall::List(after), CloudAnswer::Refused | CloudAnswer::Unknown) => {
                self.cloud.enqueue(PendingCloudCall::List(after));
            }
            (PendingCloudCall::List(_), CloudAnswer::Page(page)) => self.page_read(&page, now),
            _ => {}
        }
    }

    fn catalog_read(&mut self, catalog: Catalog, now: Now) {
        self.cloud.next_catalog = now.time + CATALOG_INTERVAL;
        if let Some(leader) = self.leader.as_mut() {
            leader.set_catalog(catalog.clone());
            leader.request_cycle(now.time);
        }
        if self.catalog.is_none() {
            self.store_catalog(&catalog);
        }
        self.catalog = Some(catalog);
    }

    fn machines_returned(&mut self, machines: &[MachineId], now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for id in machines {
            leader.record_return(id);
            leader.forget_machine(id, now);
        }
    }

    fn page_read(&mut self, page: &MachinePage, now: Now) {
        if let Some(leader) = self.leader.as_mut() {
            leader.apply_cloud_list(&page.machines, now);
        }
        if page.more {
            let last = page.machines.last().map(|machine| machine.id.clone());
            self.cloud.enqueue(PendingCloudCall::List(last));
        }
    }

    fn scale_out_answered(&mut self, request: &ScaleOutRequest, answer: CloudAnswer, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        match answer {
            CloudAnswer::Rented(MachineNames { machines }) => {
                leader.scale_out.fulfil(request, machines.len(), now.time);
                for id in machines {
                    let machine = Machine::new(MachineDescription {
                        id,
                        machine_type: request.machine_type.clone(),
                        zone: request.zone.clone(),
                        is_spot: request.spot,
                        capacity: leader.policy.capacity_of(&request.machine_type),
                        known_since: now.wall,
                    });
                    leader.add_machine(machine);
                }
                leader.request_cycle(now.time);
            }
            CloudAnswer::NoCapacity | CloudAnswer::Rejected => {
                leader.scale_out.refuse(request, now.time);
                leader.request_cycle(now.time);
            }
            // The request may have been carried out: it is repeated under the same request id.
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
