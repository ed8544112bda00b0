//! The inputs and outputs of the election.

use crate::io::StoreCall;
use crate::leadership::fencing_tokens::TokenRange;
use crate::store::records::{LeaderKey, StoredLeader};
use crate::units::Time;
use rudderreel_wire::ids::{LeaseId, Version};

/// The state of the leader key, as this node knows it.
#[derive(Clone, Copy, Debug)]
pub enum LeaderKeyState<'a> {
    /// No node holds the key that leaders hold.
    Vacant {
        /// The record in the common key, if leaders hold the gated key by now.
        superseded: Option<&'a StoredLeader>,
    },
    /// A node leads and holds this key.
    Held(LeaderKey),
    /// A node that must not lead any more leads and holds the common key.
    Outdated(&'a StoredLeader),
}

impl LeaderKeyState<'_> {
    /// Returns the key that leaders hold, be it vacant or not.
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

/// The last step of a campaign: the commit that sets the leader key and bumps the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The lease that the key is attached to.
    pub lease: LeaseId,
    /// Time at which the call that acquired the lease was sent.
    pub lease_sent: Time,
    /// The fencing tokens of the new term, and so its epoch.
    pub tokens: TokenRange,
}

/// The purpose of a call of the election.
#[derive(Clone, Debug)]
pub enum ElectionCall {
    /// Read a leader key.
    ReadLeaderKey(LeaderKey),
    /// Campaign: end the lease of a superseded leader.
    EndSupersededLease,
    /// Campaign: read the epoch.
    ReadEpoch,
    /// Campaign: acquire a lease.
    AcquireLease,
    /// Campaign: set the leader key.
    Claim(Claim),
    /// Campaign: read the leader key to see whether a claim of unknown outcome was carried out.
    VerifyClaim(Claim),
    /// Renew the leader's lease.
    Renew(LeaseId),
    /// End a lease; nothing depends on the outcome.
    EndLease,
    /// Detach the key of an outdated leader from its lease; the outcome is read from the key.
    Supersede,
}

/// A call that the node must make for the election.
#[derive(Debug)]
pub struct ElectionRequest {
    /// The call to the store.
    pub call: StoreCall,
    /// The purpose of the call; the answer is passed to the election together with it.
    pub purpose: ElectionCall,
}

impl ElectionRequest {
    pub(super) fn new(call: StoreCall, purpose: ElectionCall) -> Self {
        Self { call, purpose }
    }
}

/// The result of a campaign that a node won.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ElectionWin {
    /// The fencing tokens of the new term, and so its epoch.
    pub tokens: TokenRange,
    /// The lease that the leader key is attached to.
    pub lease: LeaseId,
    /// Time at which the call that acquired the lease was sent.
    pub lease_sent: Time,
    /// The leader key that the node holds.
    pub key: LeaderKey,
    /// The version of the leader key and of the epoch's key: one commit sets both.
    pub version: Version,
}

/// The action that the node must take after an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ElectionEvent {
    /// No action.
    #[default]
    Nothing,
    /// Record the content of a leader key that was read; none if it holds no leader's record.
    LeaderKeyRead(LeaderKey, Option<StoredLeader>),
    /// Begin a term: this node now leads.
    Won(ElectionWin),
    /// Step down: this node no longer leads.
    Lost,
}

/// The result of handling the answer to a call of the election.
#[derive(Debug, Default)]
pub struct ElectionProgress {
    /// The action that the node must take.
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
