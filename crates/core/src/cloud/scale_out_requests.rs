//! Requests to the cloud for more machines, and the offers that the cloud has refused.
//!
//! The id of a request is never reused. The cloud carries out a request with a given id only once, so a request whose
//! answer was lost is repeated with its id until the cloud has answered it.

use crate::fleet::Machine;
use crate::units::{Span, Time};
use rudderreel_wire::cloud::{ScaleOutRequest, MAX_MACHINES_PER_SCALE_OUT};
use rudderreel_wire::ids::{Epoch, TypeName, Zone};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

/// Time after a refusal during which the offer is not requested again. It doubles with each further refusal.
const REFUSAL_BACKOFF: Span = Span(4_000);
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// No new requests are made while more than this number are open, so that wanted machines accumulate into larger
/// requests. Otherwise small requests, one for each job that arrives, would delay the large ones.
const MAX_OPEN_BEFORE_NEW: usize = 1;

/// A kind of machine that the cloud offers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// Name of the machine type.
    pub machine_type: TypeName,
    /// Zone of the machines.
    pub zone: Zone,
    /// Whether the machines are spot instances, which the cloud may reclaim.
    pub spot: bool,
}

impl fmt::Display for InstanceOffer {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let market = if self.spot { "spot" } else { "on-demand" };
        write!(
            f,
            "type={} zone={} market={market}",
            self.machine_type, self.zone
        )
    }
}

impl From<&Machine> for InstanceOffer {
    fn from(machine: &Machine) -> Self {
        Self {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.is_spot,
        }
    }
}

impl From<&ScaleOutRequest> for InstanceOffer {
    fn from(request: &ScaleOutRequest) -> Self {
        Self {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// The machines of an offer that are wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WantedMachines {
    /// Whether any of the machines is wanted for work that can't be preempted.
    pub is_urgent: bool,
    /// Number of machines.
    pub count: u32,
}

/// The latest refusal of an offer by the cloud.
#[derive(Clone, Copy, Default)]
struct Refusal {
    /// The offer is not requested before this time.
    until: Time,
    /// Number of refusals in a row, at most [`MAX_BACKOFF_DOUBLINGS`].
    doublings: u32,
}

/// Open scale-out requests of a leader, and the offers that were refused.
#[derive(Default)]
pub struct ScaleOutRequests {
    /// Requests that are queued, sent, or to be repeated.
    open: Vec<ScaleOutRequest>,
    refused: BTreeMap<InstanceOffer, Refusal>,
    /// Number of the last request.
    last_number: u64,
}

impl ScaleOutRequests {
    /// Returns the requests that are queued, sent, or to be repeated.
    pub fn open_requests(&self) -> &[ScaleOutRequest] {
        &self.open
    }

    /// Opens requests for wanted machines, until `max_open` requests are open: urgent offers first, then those with the
    /// most machines. Machines that are not requested now are counted again in the next cycle.
    pub fn request(
        &mut self,
        wanted: BTreeMap<InstanceOffer, WantedMachines>,
        max_open: usize,
        epoch: Epoch,
    ) {
        if self.open.len() > MAX_OPEN_BEFORE_NEW {
            return;
        }
        let mut wanted: Vec<(InstanceOffer, WantedMachines)> = wanted.into_iter().collect();
        wanted.sort_by_key(|(_, machines)| (!machines.is_urgent, Reverse(machines.count)));
        for (offer, machines) in wanted {
            let mut remaining = machines.count;
            while remaining > 0 && self.open.len() < max_open {
                let count = remaining.min(MAX_MACHINES_PER_SCALE_OUT);
                remaining -= count;
                self.open_request(&offer, count, epoch);
            }
        }
    }

    fn open_request(&mut self, offer: &InstanceOffer, count: u32, epoch: Epoch) {
        let request = self.next_request_id(epoch);
        log::info!("scale-out requested request={request} count={count} {offer}");
        self.open.push(ScaleOutRequest {
            request,
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
        });
    }

    /// Returns the id of a new request. It is never reused, since no epoch is.
    fn next_request_id(&mut self, epoch: Epoch) -> String {
        self.last_number += 1;
        format!("{epoch}-{}", self.last_number)
    }

    /// Records that the cloud has answered a request with this many machines. If they are fewer than were requested,
    /// the cloud has no more of them, and the offer counts as refused.
    pub fn fulfil(&mut self, request: &ScaleOutRequest, machines: usize, now: Time) {
        if (machines as u32) < request.count {
            self.refuse(request, now);
        } else {
            self.close(request);
            self.refused.remove(&InstanceOffer::from(request));
        }
    }

    /// Records that the cloud has refused a request, or the rest of it.
    pub fn refuse(&mut self, request: &ScaleOutRequest, now: Time) {
        self.close(request);
        let refusal = self
            .refused
            .entry(InstanceOffer::from(request))
            .or_default();
        refusal.until = now + Span(REFUSAL_BACKOFF.0 << refusal.doublings);
        refusal.doublings = (refusal.doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    fn close(&mut self, request: &ScaleOutRequest) {
        self.open.retain(|open| open.request != request.request);
    }

    /// Returns whether an offer may be requested, that is, whether its backoff after a refusal is over.
    pub fn may_request(&self, offer: &InstanceOffer, now: Time) -> bool {
        (self.refused.get(offer)).is_none_or(|refusal| now >= refusal.until)
    }

    /// Ends the backoff of an offer: one of its machines was returned, so another one may be available.
    pub fn forget_refusal(&mut self, offer: &InstanceOffer) {
        self.refused.remove(offer);
    }
}

#[cfg(test)]
mod tests;
