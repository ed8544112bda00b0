//! Classes of equivalent tasks: if one task of a class finds no room, no other task of that class does.

use crate::jobs::job::Job;
use crate::scheduling::snapshot::has_zone_rules;
use crate::units::{Resources, Time};
use rudderreel_wire::ids::{JobId, TypeName, Zone};
use rudderreel_wire::job::Kind;

/// The properties by which tasks are equivalent.
#[derive(PartialEq, Eq, Hash)]
pub(super) struct TaskClass {
    need: Resources,
    machine_types: Option<Vec<TypeName>>,
    zone: Option<Zone>,
    tolerates_spot: bool,
    kind: Kind,
    gang_size: Option<u32>,
    one_zone: bool,
    takes_any_room: bool,
    /// The job, if the results for other jobs do not apply to its tasks.
    job: Option<JobId>,
}

impl TaskClass {
    /// Returns the class of a job's tasks. A job with zone rules is a class of its own, because its placement depends
    /// on where its tasks are; so is a job that avoids machines where it failed.
    pub(super) fn of(job: &Job, now: Time) -> Self {
        let spec = &job.spec;
        let needs_own_class = has_zone_rules(spec) || job.failures.avoids_any_machine(now);
        Self {
            need: job.need,
            machine_types: spec.types.clone(),
            zone: spec.zone.clone(),
            tolerates_spot: spec.spot,
            kind: spec.kind,
            gang_size: (spec.kind == Kind::Gang).then_some(spec.tasks),
            one_zone: spec.one_zone,
            takes_any_room: job.takes_any_room(now),
            job: needs_own_class.then(|| spec.id.clone()),
        }
    }
}
