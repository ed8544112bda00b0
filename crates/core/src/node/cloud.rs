//! Calls to the cloud.

use crate::capacity::scale_in::IDLE;
use crate::cloud::calls::PendingCloudCall;
use crate::cloud::scale_out_requests::InstanceOffer;
use crate::fleet::machine::Machine;
use crate::io::{CallId, CloudAnswer, CloudCall};
use crate::node::Node;
use crate::units::{Now, Span, Time};
use rudderreel_wire::cloud::{MachineNames, Rent};

/// Idle machines are returned together, so often.
const RETURNS: Span = Span(2_000);
/// So long a follower waits for the stored machine types before it asks for them.
const CATALOG_WAIT: Span = Span(10_000);

impl Node {
    /// Lets out calls to the cloud that wait.
    pub(crate) fn cloud_pump(&mut self, now: Now) {
        if self.leader.is_some() {
            self.cloud.pump(now.time, &mut self.out);
        }
    }

    /// A follower that has waited in vain for the stored machine types asks the cloud itself: they may
    /// be too large to be stored.
    pub(crate) fn fetch_catalog(&mut self, now: Now) {
        if self.leader.is_some() || self.catalog.is_some() || !self.job_cache.is_complete {
            return;
        }
        let cloud = &mut self.cloud;
        if cloud.next_catalog == Time(0) {
            cloud.next_catalog = now.time + CATALOG_WAIT;
        }
        if now.time >= cloud.next_catalog {
            cloud.next_catalog = now.time + CATALOG_WAIT;
            cloud.call(CloudCall::Catalog, PendingCloudCall::Catalog);
        }
        cloud.pump(now.time, &mut self.out);
    }

    /// Calls to the cloud that are due.
    pub(crate) fn cloud_tick(&mut self, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let cloud = &mut self.cloud;
        let catalog_due = now.time >= cloud.next_catalog;
        if catalog_due && !cloud.has(|s| matches!(s, PendingCloudCall::Catalog)) {
            cloud.next_catalog = now.time + Span(5_000);
            cloud.call(CloudCall::Catalog, PendingCloudCall::Catalog);
        }
        if !leader.recovery.is_complete || !leader.term.is_lease_valid(now.time) {
            return cloud.pump(now.time, &mut self.out);
        }
        let names = leader.machines_to_return(now);
        let urgent = (names.iter()).any(|id| {
            leader
                .fleet
                .machines
                .get(id)
                .is_some_and(|m| m.retire_reason != Some(IDLE))
        });
        if urgent || (!names.is_empty() && now.time >= cloud.next_return) {
            cloud.next_return = now.time + RETURNS;
            leader.record_return_request(&names, now);
            let call = CloudCall::Return(MachineNames {
                machines: names.clone(),
            });
            cloud.call(call, PendingCloudCall::Return(names));
        }
        for rent in &leader.scale_out.open {
            let open =
                cloud.has(|s| matches!(s, PendingCloudCall::Rent(r) if r.request == rent.request));
            if !open {
                cloud.call(
                    CloudCall::Rent(rent.clone()),
                    PendingCloudCall::Rent(rent.clone()),
                );
            }
        }
        let list_due = now.time >= cloud.next_list;
        if list_due && !cloud.has(|s| matches!(s, PendingCloudCall::List(_))) {
            let pause = Span(4_000).max(self.list_lag);
            cloud.next_list = now.time + pause.max(cloud.listing_span(leader.fleet.machines.len()));
            cloud.call(CloudCall::List(None), PendingCloudCall::List(None));
        }
        cloud.pump(now.time, &mut self.out);
    }

    /// The cloud's answer.
    pub(crate) fn cloud_answer(&mut self, id: CallId, answer: CloudAnswer, now: Now) {
        let Some(step) = self.cloud.finish(id) else {
            return;
        };
        if matches!(answer, CloudAnswer::Refused | CloudAnswer::Unknown) {
            self.cloud.after = self.cloud.after.max(now.time + Span(700));
        }
        match (step, answer) {
            (PendingCloudCall::Catalog, CloudAnswer::Catalog(catalog)) => {
                self.cloud.next_catalog = now.time + Span(60_000);
                if let Some(leader) = self.leader.as_mut() {
                    leader.set_catalog(catalog.clone());
                    leader.request_cycle(now.time);
                }
                if self.catalog.is_none() {
                    self.keep_catalog(&catalog);
                }
                self.catalog = Some(catalog);
            }
            (PendingCloudCall::Rent(rent), answer) => self.rented(rent, answer, now),
            (PendingCloudCall::Return(names), CloudAnswer::Returned) => {
                for id in names {
                    if let Some(leader) = self.leader.as_mut() {
                        leader.record_return(&id);
                    }
                    if let Some(leader) = self.leader.as_mut() {
                        leader.forget_machine(&id, now);
                    }
                }
            }
            // What is missing of a list that takes many pages would not be read for long if it was begun
            // anew each time.
            (PendingCloudCall::List(after), CloudAnswer::Refused | CloudAnswer::Unknown) => {
                let call = CloudCall::List(after.clone());
                self.cloud.call(call, PendingCloudCall::List(after));
            }
            (PendingCloudCall::List(_), CloudAnswer::Page(page)) => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.apply_cloud_list(&page.machines, now);
                }
                if page.more {
                    let last = page.machines.last().map(|m| m.id.clone());
                    let call = CloudCall::List(last.clone());
                    self.cloud.call(call, PendingCloudCall::List(last));
                }
            }
            _ => {}
        }
    }

    fn rented(&mut self, rent: Rent, answer: CloudAnswer, now: Now) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let offer = InstanceOffer {
            machine_type: rent.machine_type.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
        };
        match answer {
            CloudAnswer::Rented(names) => {
                leader.scale_out.open.retain(|r| r.request != rent.request);
                if (names.machines.len() as u32) < rent.count {
                    leader.scale_out.refuse(offer, now.time);
                } else {
                    leader.scale_out.refused.remove(&offer);
                }
                for id in names.machines {
                    let room = leader.policy.capacity_of(&rent.machine_type);
                    let (t, z) = (rent.machine_type.clone(), rent.zone.clone());
                    let machine = Machine::new(id, t, z, rent.spot, room, now.wall);
                    leader.add_machine(machine);
                }
                leader.request_cycle(now.time);
            }
            CloudAnswer::NoCapacity | CloudAnswer::Rejected => {
                leader.scale_out.open.retain(|r| r.request != rent.request);
                leader.scale_out.refuse(offer, now.time);
                leader.request_cycle(now.time);
            }
            // It may have been carried out: the same request is repeated, by the same name.
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
