//! Requests to the cloud for more machines, and which offers it has refused.

use crate::units::{Span, Time};
use rudderreel_wire::cloud::Rent;
use rudderreel_wire::ids::{Epoch, TypeName, Zone};
use std::collections::BTreeMap;

/// An offer that was refused is asked for again after so long, and twice as long each time, up to
/// a bound.
const REFUSED: Span = Span(4_000);
const REFUSED_MOST: u32 = 3;

/// A kind of machine on offer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// Machine type.
    pub machine_type: TypeName,
    /// Zone.
    pub zone: Zone,
    /// Spot or ordinary.
    pub spot: bool,
}

/// Rental requests of a leader.
#[derive(Default)]
pub struct ScaleOutRequests {
    /// Requests that wait to go out, are out, or must be repeated.
    pub open: Vec<Rent>,
    /// Offers that were refused: until when they are not asked for again, and how often in a row.
    pub refused: BTreeMap<InstanceOffer, (Time, u32)>,
    named: u64,
}

impl ScaleOutRequests {
    pub(crate) fn refuse(&mut self, offer: InstanceOffer, now: Time) {
        let (until, times) = self.refused.entry(offer).or_default();
        *until = now + Span(REFUSED.0 << *times);
        *times = (*times + 1).min(REFUSED_MOST);
    }

    /// The name of a new request. It is never given out twice, since no epoch is.
    pub fn name(&mut self, epoch: Epoch) -> String {
        self.named += 1;
        format!("{epoch}-{}", self.named)
    }

    /// Whether an offer may be asked for.
    pub fn is_open(&self, offer: &InstanceOffer, now: Time) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|(until, _)| now >= *until)
    }

    /// A machine was returned, so another like it can be had again.
    pub fn came_free(&mut self, offer: &InstanceOffer) {
        self.refused.remove(offer);
    }
}
