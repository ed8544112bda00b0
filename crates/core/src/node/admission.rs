//! Carries out the admission of submissions: reads the dependencies that this node does not know, and commits new jobs.

use crate::api::admission::{Admission, ConfirmedDependencies, Creation, Feasibility, NewJob};
use crate::api::refusal::Refusal;
use crate::api::user_requests::{PendingRequest, UserCall};
use crate::io::{json, StoreAnswer, StoreCall, UserRequest};
use crate::node::Node;
use crate::store::records::{job_key, JobRecord, JOB_PREFIX};
use crate::units::Now;
use rudderreel_wire::ids::JobId;
use rudderreel_wire::job::{JobAnswer, JobSpec, JobState};

/// HTTP status of a newly accepted submission.
const CREATED: u16 = 201;

impl Node {
    fn admission(&self) -> Admission<'_> {
        Admission {
            catalog: self.catalog.as_ref(),
            teams: &self.tree,
            jobs: &self.job_cache,
            limits: &self.store_limits,
        }
    }

    /// Returns whether a job can ever run.
    pub(crate) fn feasibility(&self, spec: &JobSpec) -> Feasibility {
        self.admission().feasibility(spec)
    }

    /// Creates a job that can run and is not known to have been accepted.
    pub(crate) fn create_job(&mut self, request: PendingRequest, now: Now) {
        let UserRequest::Submit(spec) = request.request() else {
            return;
        };
        match self.admission().creation_of(spec, now.wall) {
            Creation::ReadDependency(id) => self.read_dependency(request, id),
            Creation::Commit(call, job) => {
                self.user_call(call, UserCall::CreateJob(request, job));
            }
        }
    }

    fn read_dependency(&mut self, request: PendingRequest, id: JobId) {
        let call = StoreCall::Get(job_key(&id));
        self.user_call(call, UserCall::ReadDependency(request, id));
    }

    /// Handles the answer to a read of a job that a submission depends on.
    pub(crate) fn dependency_read(
        &mut self,
        request: PendingRequest,
        id: JobId,
        answer: StoreAnswer,
        now: Now,
    ) {
        match answer {
            StoreAnswer::Found(item) => {
                let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
                    return self.refuse(request.id(), Refusal::UnreadableRecord);
                };
                self.job_cache.update_job(id, item.version, record);
            }
            // The read is older than what the cache has learned since.
            StoreAnswer::Missing if self.job_cache.contains_job(&id) => {}
            StoreAnswer::Missing => {
                return self.refuse(request.id(), Refusal::UnknownDependency(id));
            }
            _ => return self.forward_or_refuse(request, now),
        }
        if request.is_overdue(now.time) {
            return self.refuse(request.id(), Refusal::StoreTimeout);
        }
        self.serve(request, now);
    }

    /// Handles the answer to the commit that creates a job.
    pub(crate) fn job_created(
        &mut self,
        request: PendingRequest,
        job: NewJob,
        answer: StoreAnswer,
        now: Now,
    ) {
        match answer {
            StoreAnswer::Committed(version) => {
                let id = request.job().clone();
                self.job_cache.update_job(id.clone(), version, job.record);
                // Another node may have read the new job and cancelled it meanwhile, or a job that it depends on.
                let is_unconfirmed = job.confirms == ConfirmedDependencies::None;
                let is_cancelled = self.job_cache.ancestry_of(&id).cancelled.is_some();
                if self.job_cache.is_final(&id) || is_unconfirmed || is_cancelled {
                    return self.respond_to_read(request, now);
                }
                let state = JobState::Queued;
                self.answer(request.id(), CREATED, json(&JobAnswer { id, state }));
            }
            StoreAnswer::Conflict(keys) => self.creation_conflicted(request, &keys, now),
            // The job may have been created, or may still be: reading or creating it again is safe.
            StoreAnswer::Unknown => self.retry(request, now),
            _ => self.forward_or_refuse(request, now),
        }
    }

    /// Handles a conflict: the job exists already, or the cached versions of its dependencies are out of date.
    fn creation_conflicted(&mut self, request: PendingRequest, failed_keys: &[String], now: Now) {
        let own_key = job_key(request.job());
        if failed_keys.contains(&own_key) {
            return self.retry(request, now);
        }
        let ids = failed_keys
            .iter()
            .filter_map(|key| key.strip_prefix(JOB_PREFIX));
        match ids.filter_map(|id| id.parse::<JobId>().ok()).next() {
            Some(stale_dependency) => self.read_dependency(request, stale_dependency),
            None => self.retry(request, now),
        }
    }
}
