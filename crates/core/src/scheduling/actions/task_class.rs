//! Classes of tasks that are decided alike: where one finds no room, neither does another.

use crate::jobs::job::Job;
use crate::scheduling::snapshot::has_zone_rules;
use crate::units::{Resources, Time};
use rudderreel_wire::ids::{JobId, TypeName, Zone};
use rudderreel_wire::job::Kind;

/// What makes tasks alike.
#[derive(PartialEq, Eq, Hash)]
pub(super) struct TaskClass {
    need: Resources,
    machine_types: Option<Vec<TypeName>>,
    zone: Option<Zone>,
    tolerates_spot: bool,
    kind: Kind,
    gang_size: Option<u32>,
    one_zone: bool,
    /// The job, if its tasks can't be judged by those of others.
    job: Option<JobId>,
}

impl TaskClass {
    /// The class of a job's tasks. A job with rules for zones is a class of its own, since it depends on where its
    /// tasks are; so is one that avoids machines where it failed.
    pub(super) fn of(job: &Job, now: Time) -> Self {
        let spec = &job.spec;
        let is_unlike_others = has_zone_rules(spec) || job.failures.avoids_any_machine(now);
        Self {
            need: job.need,
            machine_types: spec.types.clone(),
            zone: spec.zone.clone(),
            tolerates_spot: spec.spot,
            kind: spec.kind,
            gang_size: (spec.kind == Kind::Gang).then_some(spec.tasks),
            one_zone: spec.one_zone,
            job: is_unlike_others.then(|| spec.id.clone()),
        }
    }
}
