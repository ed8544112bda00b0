//! Requests to the cloud for more machines, and which offers it has refused.
//!
//! A request has a name that is never given out twice. The cloud carries out a request of one name once, so a request
//! whose answer was lost is repeated under its name until the cloud has answered it.

use crate::fleet::Machine;
use crate::units::{Span, Time};
use rudderreel_wire::cloud::{Rent, MACHINES_PER_RENTAL};
use rudderreel_wire::ids::{Epoch, TypeName, Zone};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

/// An offer that was refused is not asked for again for so long, and twice as long with each further refusal.
const REFUSAL_BACKOFF: Span = Span(4_000);
/// The backoff doubles so many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// No new requests are made while more than so many are open: meanwhile what is wanted adds up. One by one, small
/// requests for each job that arrives would hold up the large ones.
const MAX_OPEN_BEFORE_NEW: usize = 1;

/// A kind of machine on offer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// Machine type.
    pub machine_type: TypeName,
    /// Zone.
    pub zone: Zone,
    /// Whether it is a spot instance, which the cloud may reclaim.
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

impl From<&Rent> for InstanceOffer {
    fn from(request: &Rent) -> Self {
        Self {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// How many machines of an offer are wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WantedMachines {
    /// Whether work that can't be preempted wants any.
    pub is_urgent: bool,
    /// How many.
    pub count: u32,
}

/// An offer that the cloud refused.
#[derive(Clone, Copy, Default)]
struct Refusal {
    /// Until when it is not asked for.
    until: Time,
    /// How often it was refused in a row, up to a bound.
    doublings: u32,
}

/// Scale-out requests of a leader.
#[derive(Default)]
pub struct ScaleOutRequests {
    /// Requests that wait to go out, are out, or must be repeated.
    open: Vec<Rent>,
    refused: BTreeMap<InstanceOffer, Refusal>,
    named: u64,
}

impl ScaleOutRequests {
    /// Requests that wait to go out, are out, or must be repeated.
    pub fn open_requests(&self) -> &[Rent] {
        &self.open
    }

    /// Opens requests for wanted machines: for urgent ones first, then for the largest number, and only so many that
    /// at most `max_open` are open. What is not requested now is counted again in the next cycle.
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
            let mut left = machines.count;
            while left > 0 && self.open.len() < max_open {
                let part = left.min(MACHINES_PER_RENTAL);
                left -= part;
                self.open_request(&offer, part, epoch);
            }
        }
    }

    fn open_request(&mut self, offer: &InstanceOffer, count: u32, epoch: Epoch) {
        let request = self.next_name(epoch);
        log::info!("scale-out requested request={request} count={count} {offer}");
        self.open.push(Rent {
            request,
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
        });
    }

    /// The name of a new request. It is never given out twice, since no epoch is.
    fn next_name(&mut self, epoch: Epoch) -> String {
        self.named += 1;
        format!("{epoch}-{}", self.named)
    }

    /// Notes that the cloud has answered a request with so many machines. If these are fewer than were asked for, it
    /// has no more of them.
    pub fn fulfil(&mut self, request: &Rent, machines: usize, now: Time) {
        if (machines as u32) < request.count {
            self.refuse(request, now);
        } else {
            self.close(request);
            self.refused.remove(&InstanceOffer::from(request));
        }
    }

    /// Notes that the cloud has refused a request, or the rest of it.
    pub fn refuse(&mut self, request: &Rent, now: Time) {
        self.close(request);
        let refusal = self
            .refused
            .entry(InstanceOffer::from(request))
            .or_default();
        refusal.until = now + Span(REFUSAL_BACKOFF.0 << refusal.doublings);
        refusal.doublings = (refusal.doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    fn close(&mut self, request: &Rent) {
        self.open.retain(|open| open.request != request.request);
    }

    /// Whether an offer may be asked for.
    pub fn may_request(&self, offer: &InstanceOffer, now: Time) -> bool {
        (self.refused.get(offer)).is_none_or(|refusal| now >= refusal.until)
    }

    /// Notes that a machine was returned, so that another like it can be had again.
    pub fn forget_refusal(&mut self, offer: &InstanceOffer) {
        self.refused.remove(offer);
    }
}

#[cfg(test)]
mod tests;
