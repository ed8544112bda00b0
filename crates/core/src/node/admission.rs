//! Submissions that are admitted.

use crate::api::admission::{put_job, NeverRuns, NewJob};
use crate::api::user_requests::{UserCall, Waiting, PATIENCE};
use crate::cache::dependencies::Ancestry;
use crate::io::{error_body, json, StoreAnswer, StoreCall, UserRequest};
use crate::node::Node;
use crate::store::records::{job_key, JobRecord, JOB_PREFIX};
use crate::units::{Now, Resources};
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::{JobAnswer, JobSpec, JobState, Kind};

impl Node {
    /// Why a job can never run; none if that can't be decided yet.
    pub(crate) fn check_runnable(&self, spec: &JobSpec) -> Option<Result<(), NeverRuns>> {
        let catalog = self.catalog.as_ref()?;
        let Some(leaf) = self.tree.find(&spec.team) else {
            return Some(Err(NeverRuns::UnknownTeam));
        };
        let need = Resources::of_task(spec);
        let fits = catalog.types.iter().any(|t| {
            spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && (spec.zone.as_ref()).is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
                && Resources::of_machine(t).holds(&need)
        });
        if !fits {
            return Some(Err(NeverRuns::FitsNoMachine));
        }
        let whole = if spec.kind == Kind::Array {
            1
        } else {
            spec.tasks
        };
        let need = crate::teams::team_tree::amounts(&need.times(whole));
        let allowed = self.tree.chain(leaf).all(|n| {
            let limit = &self.tree.nodes[n].limit;
            need.iter().zip(limit).all(|(n, l)| *n <= *l + 1e-9)
        });
        if !allowed {
            return Some(Err(NeverRuns::OverLimit));
        }
        Some(self.check_dependencies(spec))
    }

    fn check_dependencies(&self, spec: &JobSpec) -> Result<(), NeverRuns> {
        if spec.dependencies.contains(&spec.id) {
            return Err(NeverRuns::DependsOnItself);
        }
        let is_service = |id: &JobId| {
            let known = self.job_cache.jobs.get(id);
            let spec = known.and_then(|k| k.record.spec.as_ref());
            spec.is_some_and(|s| s.kind == Kind::Service)
        };
        if spec.dependencies.iter().any(is_service) {
            return Err(NeverRuns::DependsOnService);
        }
        let record = JobRecord::queued(&self.without_done(spec), Default::default());
        if !self.limits.fits(&record) {
            return Err(NeverRuns::TooLarge);
        }
        Ok(())
    }

    /// A submission without the dependencies that are done: nothing waits for these.
    fn without_done(&self, spec: &JobSpec) -> JobSpec {
        let mut spec = spec.clone();
        let done = |id: &JobId| {
            let known = self.job_cache.jobs.get(id);
            known.is_some_and(|k| k.record.state == JobState::Done)
        };
        spec.dependencies.retain(|id| !done(id));
        spec
    }

    /// Creates a job that can run and is not known to be accepted.
    pub(crate) fn create(&mut self, waiting: Waiting, now: Now) {
        let UserRequest::Submit(spec) = &waiting.request else {
            return;
        };
        let known = |id: &&JobId| self.job_cache.jobs.contains_key(*id);
        if let Some(unknown) = spec.dependencies.iter().find(|id| !known(id)) {
            let unknown = unknown.clone();
            return self.read_dependency(waiting, unknown);
        }
        let id = spec.id.clone();
        let Ancestry {
            cancelled,
            mut unfinished,
        } = self.job_cache.ancestry(&spec.dependencies);
        let mut record = JobRecord::queued(&self.without_done(spec), now.wall);
        // Those that are done are not stored, but that there were some shows that dependencies are in use.
        record.names_dependencies = !spec.dependencies.is_empty();
        if let Some(by) = &cancelled {
            record = record.cancelled(now.wall, Some(by), &self.limits);
            unfinished.clear();
        }
        let confirmed = unfinished.len() < self.limits.conditions();
        if !confirmed {
            unfinished.clear();
        }
        let call = put_job(&id, Version(0), &record, &unfinished);
        let job = NewJob { record, confirmed };
        self.user_call(call, UserCall::Create(waiting, Box::new(job)));
    }

    fn read_dependency(&mut self, waiting: Waiting, id: JobId) {
        let call = StoreCall::Get(job_key(&id));
        self.user_call(call, UserCall::ReadDependency(waiting, id));
    }

    /// The answer to a read of a job that a submission depends on.
    pub(crate) fn dependency_was_read(
        &mut self,
        waiting: Waiting,
        id: JobId,
        answer: StoreAnswer,
        now: Now,
    ) {
        match answer {
            StoreAnswer::Found(item) => {
                let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
                    return self.refuse(waiting.req, "unreadable record");
                };
                self.job_cache.update_job(id, item.version, record);
            }
            // It was read before what the cache has learned since.
            StoreAnswer::Missing if self.job_cache.jobs.contains_key(&id) => {}
            StoreAnswer::Missing => {
                let text = format!("the job depends on {id}, which was never accepted");
                return self.answer(waiting.req, 422, error_body(&text));
            }
            _ => return self.forward_or_refuse(waiting, now),
        }
        if now.time > waiting.since + PATIENCE {
            return self.refuse(waiting.req, "the state service did not answer in time");
        }
        self.serve(waiting, now);
    }

    /// The answer to a job's creation.
    pub(crate) fn was_created(
        &mut self,
        waiting: Waiting,
        job: NewJob,
        answer: StoreAnswer,
        now: Now,
    ) {
        match answer {
            StoreAnswer::Committed(version) => {
                let id = waiting.job().clone();
                self.job_cache.update_job(id.clone(), version, job.record);
                // Another node may have read it and cancelled it meanwhile, or what it depends on.
                let cancelled = self.job_cache.ancestry_of(&id).cancelled;
                if self.is_final(&id) || !job.confirmed || cancelled.is_some() {
                    return self.respond_to_read(waiting, now);
                }
                let state = JobState::Queued;
                self.answer(waiting.req, 201, json(&JobAnswer { id, state }));
            }
            StoreAnswer::Conflict(keys) => self.creation_conflicts(waiting, &keys, now),
            // It may have been created, or may yet be: reading or creating it again is safe.
            StoreAnswer::Unknown => self.retry(waiting, now),
            _ => self.forward_or_refuse(waiting, now),
        }
    }

    /// The job exists already, or what is known of its dependencies is out of date.
    fn creation_conflicts(&mut self, waiting: Waiting, keys: &[String], now: Now) {
        let stale =
            (keys.iter()).filter_map(|key| key.strip_prefix(JOB_PREFIX)?.parse::<JobId>().ok());
        let mut others = stale.filter(|id| id != waiting.job());
        match others.next() {
            Some(dependency) if keys.iter().all(|k| *k != job_key(waiting.job())) => {
                self.read_dependency(waiting, dependency)
            }
            _ => self.retry(waiting, now),
        }
    }
}
