//! Admission of submissions: whether a job can ever run, and the commit that accepts it.
//!
//! Any node accepts a job, by creating the job's record on the condition that there is none yet. A job with
//! dependencies is accepted only if all of them were accepted; acceptance is permanent, so this may be checked before
//! the commit. The same commit confirms that none of the job's dependencies, direct or transitive, was cancelled
//! meanwhile. A job that depends on a cancelled job, directly or transitively, is accepted as cancelled.
//!
//! [`Admission`] decides on the basis of what the node knows, and has no state of its own.

use crate::cache::dependencies::Ancestry;
use crate::cache::job_cache::JobCache;
use crate::io::StoreCall;
use crate::jobs::node_affinity::usable_machine_types;
use crate::store::limits::StoreLimits;
use crate::store::records::{job_key, JobRecord};
use crate::store::transactions::{condition, put};
use crate::teams::team_tree::{amounts, TeamTree};
use crate::units::{Resources, Wall};
use rudderreel_wire::cloud::Catalog;
use rudderreel_wire::ids::{JobId, Version};
use rudderreel_wire::job::{JobSpec, JobState, Kind};
use rudderreel_wire::state::Transaction;
use std::collections::BTreeMap;

/// Tolerance for rounding errors when a need is compared with a limit.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// The reason why a job can never run. The submission is refused with status 422 and is not to be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NeverRuns {
    /// The team does not exist.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job allows can hold one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachine,
    /// The job needs more than its team's limit, or the limit of a group above the team.
    #[error("the job needs more than its team's limit")]
    OverLimit,
    /// The job depends on itself.
    #[error("the job depends on itself")]
    DependsOnItself,
    /// The job depends on a service, which is never done.
    #[error("the job depends on a service, which is never done")]
    DependsOnService,
    /// The job's record would be larger than the store accepts.
    #[error("the submission is too large to be stored: fewer dependencies or machine types")]
    TooLarge,
}

/// Whether a job can ever run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feasibility {
    /// The job can run.
    Runnable,
    /// The job can never run.
    Never(NeverRuns),
    /// This can't be decided yet, because the machine types are not known.
    Undecided,
}

/// The knowledge of a node on which it decides about submissions.
#[derive(Clone, Copy)]
pub struct Admission<'a> {
    /// The machine types; none until they are known.
    pub catalog: Option<&'a Catalog>,
    /// The teams with their limits.
    pub teams: &'a TeamTree,
    /// The accepted jobs that this node knows of.
    pub jobs: &'a JobCache,
    /// The limits of the store.
    pub limits: &'a StoreLimits,
}

/// A job that is being created.
#[derive(Clone, Debug)]
pub struct NewJob {
    /// The job's record.
    pub record: JobRecord,
    /// The dependencies that the commit confirms.
    pub confirms: ConfirmedDependencies,
}

/// The dependencies of a new job that its commit confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmedDependencies {
    /// All dependencies that are not done, direct and transitive.
    All,
    /// No dependency: there are too many for one transaction, so they are confirmed before the user is answered.
    None,
}

/// The next step in creating a job.
#[derive(Clone, Debug)]
pub enum Creation {
    /// Read this dependency first, since this node does not know it.
    ReadDependency(JobId),
    /// Send this commit, which creates the job.
    Commit(StoreCall, Box<NewJob>),
}

impl Admission<'_> {
    /// Returns whether a job can ever run.
    pub fn feasibility(&self, spec: &JobSpec) -> Feasibility {
        let Some(catalog) = self.catalog else {
            return Feasibility::Undecided;
        };
        let checked = (self.check_resources(spec, catalog))
            .and_then(|()| check_own_dependency(spec))
            .and_then(|()| self.check_service_dependencies(spec))
            .and_then(|()| self.check_size(spec));
        checked.map_or_else(Feasibility::Never, |()| Feasibility::Runnable)
    }

    fn check_resources(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), NeverRuns> {
        let team = self.teams.find(&spec.team).ok_or(NeverRuns::UnknownTeam)?;
        let task = Resources::of_task(spec);
        if usable_machine_types(catalog, spec, &task).next().is_none() {
            return Err(NeverRuns::FitsNoMachine);
        }
        // Tasks of an array may run one after another; tasks of the other kinds run together.
        let tasks_at_once = match spec.kind {
            Kind::Array => 1,
            _ => spec.tasks,
        };
        let need = amounts(&task.times(tasks_at_once));
        let is_within_limit = |node: usize| {
            let limit = &self.teams.nodes[node].limit;
            (need.iter().zip(limit)).all(|(need, limit)| *need <= *limit + LIMIT_TOLERANCE)
        };
        if !self.teams.path_to_root(team).all(is_within_limit) {
            return Err(NeverRuns::OverLimit);
        }
        Ok(())
    }

    fn check_service_dependencies(&self, spec: &JobSpec) -> Result<(), NeverRuns> {
        let is_service = |id: &JobId| {
            let known = self.jobs.job(id);
            let spec = known.and_then(|known| known.record.spec.as_ref());
            spec.is_some_and(|spec| spec.kind == Kind::Service)
        };
        if spec.dependencies.iter().any(is_service) {
            return Err(NeverRuns::DependsOnService);
        }
        Ok(())
    }

    fn check_size(&self, spec: &JobSpec) -> Result<(), NeverRuns> {
        let record = JobRecord::queued(&self.without_done_dependencies(spec), Wall::default());
        if !self.limits.fits(&record) {
            return Err(NeverRuns::TooLarge);
        }
        Ok(())
    }

    /// Returns a copy of a submission without the dependencies that are done, since the job need not wait for them.
    fn without_done_dependencies(&self, spec: &JobSpec) -> JobSpec {
        let is_done = |id: &JobId| {
            let known = self.jobs.job(id);
            known.is_some_and(|known| known.record.state == JobState::Done)
        };
        let mut spec = spec.clone();
        spec.dependencies.retain(|id| !is_done(id));
        spec
    }

    /// Returns the next step in creating a job that can run and is not known to be accepted.
    pub fn creation_of(&self, spec: &JobSpec, now: Wall) -> Creation {
        let is_unknown = |id: &&JobId| !self.jobs.contains_job(id);
        if let Some(unknown) = spec.dependencies.iter().find(is_unknown) {
            return Creation::ReadDependency(unknown.clone());
        }
        let Ancestry {
            cancelled,
            mut unfinished,
        } = self.jobs.ancestry(&spec.dependencies);
        let mut record = JobRecord::queued(&self.without_done_dependencies(spec), now);
        // Dependencies that are done are not stored. That the submission had any is recorded nevertheless, since it
        // shows that dependencies are in use.
        record.names_dependencies = !spec.dependencies.is_empty();
        if let Some(dependency) = &cancelled {
            record = record.cancelled(now, Some(dependency), self.limits);
            unfinished.clear();
        }
        // One of the transaction's conditions is that on the job's own key.
        let confirms = if unfinished.len() < self.limits.max_conditions() {
            ConfirmedDependencies::All
        } else {
            unfinished.clear();
            ConfirmedDependencies::None
        };
        let call = put_job(&spec.id, Version(0), &record, &unfinished);
        Creation::Commit(call, Box::new(NewJob { record, confirms }))
    }
}

fn check_own_dependency(spec: &JobSpec) -> Result<(), NeverRuns> {
    if spec.dependencies.contains(&spec.id) {
        return Err(NeverRuns::DependsOnItself);
    }
    Ok(())
}

/// Returns a commit of a job's record, on the condition that this job and some other jobs still have these versions.
pub fn put_job(
    id: &JobId,
    version: Version,
    record: &JobRecord,
    others: &BTreeMap<JobId, Version>,
) -> StoreCall {
    let key = job_key(id);
    let mut conditions = vec![condition(key.clone(), version)];
    let others = others.iter();
    conditions.extend(others.map(|(id, &version)| condition(job_key(id), version)));
    StoreCall::Commit(Transaction {
        conditions,
        changes: vec![put(key, record)],
    })
}
