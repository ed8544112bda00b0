//! Start commands that must not be sent any more although calls with them wait in a queue.
//!
//! The core decides on a call, which then waits for a free thread. Meanwhile the core may learn that the job is
//! cancelled, or step down. It revokes the starts before anybody can learn from this node that the job is cancelled, and
//! each thread looks here before it sends a call.

use rudderreel_core::units::{Span, Time};
use rudderreel_core::StartRevocation;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::worker::Command;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Time for which the revocation of a job's starts is kept: no start waits for as long, since it may be sent only while
/// the leader's lease lasts that it was decided under.
const KEPT_FOR: Span = Span(10_000);

/// The number of times that all start commands have been revoked. A call keeps the number from when it was queued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RevocationCount(u64);

/// The start commands that were revoked; shared by the threads that send calls.
#[derive(Clone, Default)]
pub(super) struct RevokedStarts(Arc<RwLock<Revocations>>);

#[derive(Default)]
struct Revocations {
    count: RevocationCount,
    /// Jobs whose starts were revoked, and when.
    jobs: BTreeMap<JobId, Time>,
}

impl RevokedStarts {
    fn read(&self) -> RwLockReadGuard<'_, Revocations> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Revocations> {
        self.0.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how often all start commands have been revoked.
    pub(super) fn count(&self) -> RevocationCount {
        self.read().count
    }

    /// Revokes the start commands that wait now.
    pub(super) fn revoke(&self, revocation: StartRevocation, now: Time) {
        let mut revocations = self.write();
        match revocation {
            StartRevocation::All => revocations.count.0 += 1,
            StartRevocation::OfJob(id) => {
                (revocations.jobs).retain(|_, revoked_at| now < *revoked_at + KEPT_FOR);
                revocations.jobs.insert(id, now);
            }
        }
    }

    /// Returns whether any of the commands of a call is a revoked start. `queued_at`: the number of revocations when the
    /// call was queued.
    pub(super) fn contain_any_of(&self, commands: &[Command], queued_at: RevocationCount) -> bool {
        let revocations = self.read();
        let is_revoked = |command: &Command| match command {
            Command::Start { task, .. } => {
                queued_at < revocations.count || revocations.jobs.contains_key(&task.job)
            }
            Command::Stop { .. } | Command::Forget { .. } => false,
        };
        commands.iter().any(is_revoked)
    }
}
