//! What goes into the election and what comes out of it.

use crate::io::StoreCall;
use crate::store::records::{LeaderKey, StoredLeader};
use crate::units::Time;
use rudderreel_wire::ids::{Epoch, LeaseId, Version};

/// The leader's key, as a node knows it.
#[derive(Clone, Copy, Debug)]
pub enum LeaderSlot<'a> {
    /// Nobody holds the key that leaders hold.
    Vacant {
        /// What the common key holds, if leaders hold the gated one by now.
        superseded: Option<&'a StoredLeader>,
    },
    /// Somebody leads, by this key.
    Held(LeaderKey),
    /// Somebody leads who must not lead any more, by the common key.
    Outdated(&'a StoredLeader),
}

impl LeaderSlot<'_> {
    /// The key that leaders hold.
    pub(super) fn key(&self) -> LeaderKey {
        match self {
            Self::Vacant {
                superseded: Some(_),
            } => LeaderKey::Gated,
            Self::Held(key) => *key,
            Self::Vacant { superseded: None } | Self::Outdated(_) => LeaderKey::Common,
        }
    }
}

/// The last step of a campaign: the commit that sets the leader's key and bumps the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The lease that the key hangs on.
    pub lease: LeaseId,
    /// When the call that took the lease was sent.
    pub lease_sent: Time,
    /// The epoch of the new term.
    pub epoch: Epoch,
}

/// What a call of the election is for.
#[derive(Clone, Debug)]
pub enum ElectionCall {
    /// Read a leader's key.
    ReadLeaderKey(LeaderKey),
    /// Campaign: end the lease of a superseded leader.
    EndSupersededLease,
    /// Campaign: read the epoch.
    ReadEpoch,
    /// Campaign: take a lease.
    TakeLease,
    /// Campaign: set the leader's key.
    Claim(Claim),
    /// Campaign: see whether a claim of unknown outcome was carried out.
    VerifyClaim(Claim),
    /// Renew the leader's lease.
    Renew(LeaseId),
    /// End a lease; nothing depends on the outcome.
    EndLease,
    /// Take an outdated leader's key off its lease; what came of it is read from the key.
    Supersede,
}

/// A call that the election wants made.
#[derive(Debug)]
pub struct ElectionRequest {
    /// The call to the store.
    pub call: StoreCall,
    /// What it is for; the answer is handed back with it.
    pub purpose: ElectionCall,
}

impl ElectionRequest {
    pub(super) fn new(call: StoreCall, purpose: ElectionCall) -> Self {
        Self { call, purpose }
    }
}

/// How a node came to lead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ElectionWin {
    /// The epoch of its term.
    pub epoch: Epoch,
    /// The lease that the leader's key hangs on.
    pub lease: LeaseId,
    /// When the call that took the lease was sent.
    pub lease_sent: Time,
    /// The leader's key.
    pub key: LeaderKey,
    /// The version of that key, and of the epoch's key.
    pub version: Version,
}

/// What the node must do after an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ElectionEvent {
    /// Nothing.
    #[default]
    Nothing,
    /// Note what a leader's key was read to hold.
    LeaderKeyRead(LeaderKey, Option<StoredLeader>),
    /// Begin a term: this node leads from now on.
    Won(ElectionWin),
    /// Step down: this node no longer leads.
    Lost,
}

/// What follows from the answer to a call of the election.
#[derive(Debug, Default)]
pub struct ElectionProgress {
    /// What the node must do.
    pub event: ElectionEvent,
    /// The call to make next, if there is one.
    pub request: Option<ElectionRequest>,
}

impl ElectionProgress {
    pub(super) fn event(event: ElectionEvent) -> Self {
        Self {
            event,
            request: None,
        }
    }

    pub(super) fn request(call: StoreCall, purpose: ElectionCall) -> Self {
        Self {
            event: ElectionEvent::Nothing,
            request: Some(ElectionRequest::new(call, purpose)),
        }
    }
}
